#include "upstream/run_ledger.h"

#include <algorithm>
#include <array>

#include "base/json_reader.h"

namespace rwf {

const char* RunStateName(RunState state) {
  static constexpr std::array<const char*, 4> kNames = {"running", "completed",
                                                        "cut", "cancelled"};
  return kNames[static_cast<size_t>(state)];
}

size_t RunLedger::Begin(Run run) {
  runs_.push_back(std::move(run));
  return runs_.size() - 1;
}

std::string RunLedger::Lines(size_t from, size_t limit) const {
  std::string out;
  const size_t end = std::min(runs_.size(), from + limit);
  for (size_t n = from; n < end; ++n) {
    const Run& run = runs_[n];
    out += Json{{"load_id", run.load_id},
                {"instance", run.instance},
                {"workspace", run.workspace},
                {"method", run.method},
                {"path", run.path},
                {"started_ms", run.started_ms},
                {"state", RunStateName(run.state)}}
               .dump(-1, ' ', false, Json::error_handler_t::replace) +
           "\n";
  }
  return out;
}

}  // namespace rwf
