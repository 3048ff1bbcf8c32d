#pragma once

#include "rwf/command.h"

namespace rwf {

// Checks a configuration file without any endpoint.
class CheckCommand : public Command {
 public:
  CheckCommand();

 protected:
  int Execute(const Input& input, Environment* environment) override;
};

}  // namespace rwf
