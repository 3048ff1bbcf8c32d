#pragma once

#include <cxxopts.hpp>
#include <string>
#include <vector>

#include "base/error.h"
#include "base/json_reader.h"
#include "net/event_loop.h"

namespace rwf {

// What every test program has in common: --help, --version, --stop-after, a
// clean end on SIGTERM and SIGINT, and exit code 2 for a wrong command line.
class Tool {
 public:
  Tool(const std::string& name, const std::string& purpose);

  cxxopts::OptionAdder Add() { return options_.add_options(); }

  // Ends the process after --help, --version or a wrong command line.
  const cxxopts::ParseResult& Parse(int argc, char** argv);

  // Stops `loop` on SIGTERM, on SIGINT and when --stop-after has passed.
  void StopLoopOnRequest(EventLoop* loop);

 private:
  std::string name_;
  cxxopts::Options options_;
  cxxopts::ParseResult parsed_;
  std::unique_ptr<Timer> stop_timer_;
};

// The whole content of a file, parsed as JSON with comments.
Result<Json> ReadJsonFile(const std::string& path);

// Prints `message` to standard error and ends the process with `code`.
[[noreturn]] void ExitWith(int code, const std::string& message);

}  // namespace rwf
