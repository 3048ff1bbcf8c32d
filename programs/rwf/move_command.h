#pragma once

#include "rwf/command.h"

namespace rwf {

// Starts, pauses, resumes and stops planned moves.
class MoveCommand : public Command {
 public:
  MoveCommand();

 protected:
  void AddFlags(cxxopts::OptionAdder* flags) override;
  int Execute(const Input& input, Environment* environment) override;
};

}  // namespace rwf
