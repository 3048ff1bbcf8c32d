#pragma once

#include "rwf/command.h"

namespace rwf {

// Shows the current configuration.
class ShowCommand : public Command {
 public:
  ShowCommand();

 protected:
  void AddFlags(cxxopts::OptionAdder* flags) override;
  int Execute(const Input& input, Environment* environment) override;
};

}  // namespace rwf
