#pragma once

#include "rwf/command.h"

namespace rwf {

// Adds, withdraws and lists keys of workspaces.
class KeyCommand : public Command {
 public:
  KeyCommand();

 protected:
  void AddFlags(cxxopts::OptionAdder* flags) override;
  int Execute(const Input& input, Environment* environment) override;

 private:
  static int Add(const Input& input, Environment* environment);
  int Withdraw(const Input& input, Environment* environment) const;
  static int List(const Input& input, Environment* environment);
};

}  // namespace rwf
