#pragma once

#include "rwf/command.h"

namespace rwf {

// Applies a configuration file.
class ApplyCommand : public Command {
 public:
  ApplyCommand();

 protected:
  void AddFlags(cxxopts::OptionAdder* flags) override;
  int Execute(const Input& input, Environment* environment) override;
};

}  // namespace rwf
