#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "base/error.h"
#include "config/config.h"
#include "rwf/environment.h"

namespace rwf {

// One change that an operator asks for.
struct ChangeRequest {
  std::string who;
  std::string action;  // for the audit record, e.g. "drain start zone delta-a"
  bool force = false;
  bool as_json = false;  // print the outcome as JSON
};

// The configuration in force, as an endpoint reports it.
struct CurrentConfig {
  uint64_t generation = 0;
  std::string digest;
  std::shared_ptr<const Config> config;  // null before the first one
};

Result<CurrentConfig> FetchCurrentConfig(Endpoint* endpoint);

// Edits a copy of the configuration in force. An ExitStatus other than kDone
// ends the change; the edit has printed why.
using ConfigEdit = std::function<int(Config*)>;

// Attempts at a change that loses races against other operators. A rejection is
// certain, so that a new attempt cannot apply a change twice.
inline constexpr int kMaxAttempts = 3;

// Reads the configuration in force, edits it, checks it and posts it with the
// generation that was read; tries again when another change came first. Prints
// the outcome and returns the exit status.
int EditConfig(Endpoint* endpoint, const ChangeRequest& request,
               const ConfigEdit& edit, Environment* environment);

// Posts `config` once, to replace generation `expected`. After a lost response
// asks how the operation ended and never posts again. Prints the outcome and
// returns the exit status. Unless `conflict` is null, a rejection because
// another generation is in force is not printed but reported there.
int PostConfig(Endpoint* endpoint, const ChangeRequest& request,
               const Config& config, uint64_t expected,
               Environment* environment, bool* conflict = nullptr);

// A new operation id: 32 random hexadecimal characters.
std::string MakeOperationId();

}  // namespace rwf
