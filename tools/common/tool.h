#pragma once

#include <cxxopts.hpp>
#include <string>
#include <vector>

#include "base/error.h"
#include "base/json_reader.h"
#include "net/event_loop.h"

namespace rwf {

// Command-line handling shared by the test programs: --help, --version,
// --stop-after, a clean stop on SIGTERM and SIGINT, and exit code 2 for an
// invalid command line.
class Tool {
 public:
  Tool(const std::string& name, const std::string& purpose);

  cxxopts::OptionAdder Add() { return options_.add_options(); }

  // Exits the process after --help, --version or an invalid command line.
  const cxxopts::ParseResult& Parse(int argc, char** argv);

  // Stops `loop` on SIGTERM, on SIGINT and when --stop-after has passed.
  void StopLoopOnRequest(EventLoop* loop);

 private:
  std::string name_;
  cxxopts::Options options_;
  cxxopts::ParseResult parsed_;
  std::unique_ptr<Timer> stop_timer_;
};

// Parses a file as JSON with comments.
Result<Json> ReadJsonFile(const std::string& path);

// Prints `message` to standard error and exits the process with `code`.
[[noreturn]] void ExitWith(int code, const std::string& message);

}  // namespace rwf
