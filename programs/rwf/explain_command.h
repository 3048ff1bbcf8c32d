#pragma once

#include "rwf/command.h"

namespace rwf {

// Shows where a request of a client would go, and why.
class ExplainCommand : public Command {
 public:
  ExplainCommand();

 protected:
  void AddFlags(cxxopts::OptionAdder* flags) override;
  int Execute(const Input& input, Environment* environment) override;
};

}  // namespace rwf
