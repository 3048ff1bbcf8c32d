#pragma once

#include "rwf/command.h"

namespace rwf {

// Starts and stops drains.
class DrainCommand : public Command {
 public:
  DrainCommand();

 protected:
  void AddFlags(cxxopts::OptionAdder* flags) override;
  int Execute(const Input& input, Environment* environment) override;
};

}  // namespace rwf
