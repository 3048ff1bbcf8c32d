#include "rwf/config_change.h"

#include <fmt/format.h>

#include <ostream>
#include <vector>

#include "base/digest.h"
#include "config/parser.h"

namespace rwf {
namespace {

// Outcome of an operation, from POST /v1/config or GET /v1/operations/ID.
struct Outcome {
  std::string result;  // accepted, rejected or unknown
  uint64_t generation = 0;
  std::string message;
};

Result<Outcome> ReadOutcome(const Json& response) {
  std::vector<JsonProblem> problems;
  // Newer endpoints may add members, so Finish() is not called.
  JsonReader reader(response, "", &problems);
  Outcome out;
  out.result = reader.Choice("result", {"accepted", "rejected", "unknown"});
  out.generation =
      static_cast<uint64_t>(reader.Integer("generation", 0, INT64_MAX, 0));
  out.message = reader.String("message", "");
  if (!problems.empty())
    return Fail(EndpointErrc::kFailed, FormatProblems(problems));
  return out;
}

// Posts the change. If the response is lost or unusable, queries the outcome
// instead.
Result<Outcome> Post(Endpoint* endpoint, const std::string& operation_id,
                     const Json& body) {
  const auto read = [](const Result<Json>& response) -> Result<Outcome> {
    if (!response) return tl::unexpected<Error>(response.error());
    return ReadOutcome(*response);
  };
  auto posted = read(endpoint->Post("/v1/config", body));
  const bool is_uncertain =
      !posted && (posted.error().code == EndpointErrc::kUnreachable ||
                  posted.error().code == EndpointErrc::kFailed);
  if (!is_uncertain) return posted;
  auto looked_up = read(endpoint->Get("/v1/operations/" + operation_id));
  if (looked_up) return looked_up;
  return Outcome{"unknown", 0, posted.error().message};
}

void Print(const Outcome& outcome, const std::string& operation_id,
           const ChangeRequest& request, Environment* environment) {
  if (request.as_json) {
    environment->out << Json{{"result", outcome.result},
                             {"generation", outcome.generation},
                             {"operation_id", operation_id},
                             {"message", outcome.message}}
                            .dump()
                     << '\n';
  } else if (outcome.result == "accepted") {
    environment->out << fmt::format("accepted: generation {}\n",
                                    outcome.generation);
  } else {
    environment->err << fmt::format("rwf: {}: {}\n", outcome.result,
                                    outcome.message);
  }
  if (outcome.result != "unknown") return;
  environment->err << fmt::format(
      "The change may or may not have been applied. Check before repeating it:"
      "\n  rwf history   shows operation {} if it was accepted or rejected.\n",
      operation_id);
}

}  // namespace

Result<CurrentConfig> FetchCurrentConfig(Endpoint* endpoint) {
  const auto response = endpoint->Get("/v1/config");
  if (!response) return tl::unexpected<Error>(response.error());
  std::vector<JsonProblem> problems;
  JsonReader reader(*response, "", &problems);
  CurrentConfig out;
  out.generation =
      static_cast<uint64_t>(reader.Integer("generation", 0, INT64_MAX));
  out.digest = reader.String("digest", "");
  if (out.generation > 0 && problems.empty())
    out.config = ReadConfig(reader.Object("config").value(), &problems);
  if (!problems.empty())
    return Fail(EndpointErrc::kFailed,
                "the endpoint's configuration cannot be read by this version "
                "of rwf:\n" +
                    FormatProblems(problems));
  return out;
}

int EditConfig(Endpoint* endpoint, const ChangeRequest& request,
               const ConfigEdit& edit, Environment* environment) {
  for (int attempt = 1;; ++attempt) {
    const auto current = FetchCurrentConfig(endpoint);
    if (!current) {
      environment->err << "rwf: " << current.error().message << '\n';
      return ExitStatusOf(current.error());
    }
    if (current->config == nullptr) {
      environment->err << "rwf: no configuration is in force yet; apply the "
                          "first one with rwf apply\n";
      return kRefused;
    }
    Config config = *current->config;
    const int status = edit(&config);
    if (status != kDone) return status;
    bool conflict = false;
    const bool is_last = attempt == kMaxAttempts;
    const int posted =
        PostConfig(endpoint, request, config, current->generation, environment,
                   is_last ? nullptr : &conflict);
    if (!conflict) return posted;
  }
}

int PostConfig(Endpoint* endpoint, const ChangeRequest& request,
               const Config& config, uint64_t expected,
               Environment* environment, bool* conflict) {
  Config next = config;
  next.generation = expected + 1;
  const Json document = ConfigToJson(next);
  std::vector<JsonProblem> problems;
  if (ReadConfig(document, &problems) == nullptr) {
    environment->err << "rwf: the change is invalid:\n"
                     << FormatProblems(problems);
    return kRefused;
  }
  const std::string operation_id = MakeOperationId();
  const auto outcome = Post(endpoint, operation_id,
                            {{"expected_generation", expected},
                             {"operation_id", operation_id},
                             {"who", request.who},
                             {"action", request.action},
                             {"force", request.force},
                             {"config", document}});
  if (!outcome) {
    environment->err << "rwf: " << outcome.error().message << '\n';
    return ExitStatusOf(outcome.error());
  }
  if (conflict != nullptr && outcome->result == "rejected" &&
      outcome->generation > expected) {
    *conflict = true;
    return kRefused;
  }
  Print(*outcome, operation_id, request, environment);
  return outcome->result == "accepted"   ? kDone
         : outcome->result == "rejected" ? kRefused
                                         : kUnknown;
}

std::string MakeOperationId() { return ToHex(RandomBytes(16)); }

}  // namespace rwf
