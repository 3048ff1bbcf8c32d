#pragma once

#include "rwf/command.h"

namespace rwf {

// Checks a configuration file offline.
class CheckCommand : public Command {
 public:
  CheckCommand();

 protected:
  int Execute(const Input& input, Environment* environment) override;
};

}  // namespace rwf
