#pragma once

#include "rwf/command.h"

namespace rwf {

// Generates a configuration file from a questionnaire.
class InitCommand : public Command {
 public:
  InitCommand();

 protected:
  void AddFlags(cxxopts::OptionAdder* flags) override;
  int Execute(const Input& input, Environment* environment) override;
};

}  // namespace rwf
