#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace rwf {

enum class RunState { kRunning, kCompleted, kAborted, kCancelled };

const char* RunStateName(RunState state);

// One request that started to run.
struct Run {
  std::string load_id;
  std::string instance;
  std::string workspace;
  std::string method;
  std::string path;
  int64_t started_ms = 0;  // wall time
  RunState state = RunState::kRunning;
};

// All requests that started to run at any instance of the process.
class RunLedger {
 public:
  size_t Begin(Run run);
  void End(size_t index, RunState state) { runs_[index].state = state; }

  // Returns up to `limit` runs from index `from` on as JSON lines.
  std::string Lines(size_t from, size_t limit) const;

 private:
  std::vector<Run> runs_;
};

}  // namespace rwf
