#pragma once

#include "rwf/command.h"

namespace rwf {

// Shows the differences between two configuration files.
class DiffCommand : public Command {
 public:
  DiffCommand();

 protected:
  int Execute(const Input& input, Environment* environment) override;
};

}  // namespace rwf
