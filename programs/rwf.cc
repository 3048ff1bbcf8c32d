// Command-line tool of the operators.

#include <iostream>
#include <thread>

#include "config/questionnaire.h"
#include "rwf/command.h"
#include "rwf/operator_client.h"

int main(int argc, char** argv) {
  rwf::Environment environment{
      .out = std::cout,
      .err = std::cerr,
      .connect =
          [](const std::string& url, const std::string& token) {
            return std::make_unique<rwf::OperatorClient>(url, token);
          },
      .sleep = [](rwf::Duration d) { std::this_thread::sleep_for(d); },
      .make_key = rwf::MakeKey,
  };
  return rwf::RunProgram({argv + 1, argv + argc}, &environment);
}
