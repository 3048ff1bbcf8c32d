#pragma once

#include "rwf/command.h"

namespace rwf {

// Shows the audit records of changes.
class HistoryCommand : public Command {
 public:
  HistoryCommand();

 protected:
  void AddFlags(cxxopts::OptionAdder* flags) override;
  int Execute(const Input& input, Environment* environment) override;
};

}  // namespace rwf
