#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "base/error.h"
#include "config/config.h"
#include "rwf/environment.h"

namespace rwf {

// A change requested by an operator.
struct ChangeRequest {
  std::string who;
  std::string action;  // for the audit record, e.g. "drain start zone delta-a"
  bool force = false;
  bool as_json = false;  // print the outcome as JSON
};

// The current configuration, as reported by an endpoint.
struct CurrentConfig {
  uint64_t generation = 0;
  std::string digest;
  std::shared_ptr<const Config> config;  // null before the first one
};

Result<CurrentConfig> FetchCurrentConfig(Endpoint* endpoint);

// Edits a copy of the current configuration. Any ExitStatus other than kDone
// aborts the change; the edit has then printed the reason.
using ConfigEdit = std::function<int(Config*)>;

// Attempts at a change that conflicts with changes of other operators. A
// rejected change has certainly not been applied, so a retry cannot apply it
// twice.
inline constexpr int kMaxAttempts = 3;

// Reads the current configuration, edits it, validates it and posts it with the
// generation that was read. Retries if another change was accepted in between.
// Prints the outcome and returns the exit status.
int EditConfig(Endpoint* endpoint, const ChangeRequest& request,
               const ConfigEdit& edit, Environment* environment);

// Posts `config` once, to replace generation `expected`. If the response is
// lost, queries the outcome of the operation and never posts again. Prints the
// outcome and returns the exit status. Unless `conflict` is null, a rejection
// because another generation is in force sets it and is not printed.
int PostConfig(Endpoint* endpoint, const ChangeRequest& request,
               const Config& config, uint64_t expected,
               Environment* environment, bool* conflict = nullptr);

// Returns a random operation id of 32 hexadecimal characters.
std::string MakeOperationId();

}  // namespace rwf
