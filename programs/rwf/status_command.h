#pragma once

#include "rwf/command.h"

namespace rwf {

// Shows the VMs, or waits until all of them have applied a generation.
class StatusCommand : public Command {
 public:
  StatusCommand();

 protected:
  void AddFlags(cxxopts::OptionAdder* flags) override;
  int Execute(const Input& input, Environment* environment) override;
};

}  // namespace rwf
