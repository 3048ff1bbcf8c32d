#include "rwf/move_command.h"

#include <fmt/format.h>

#include <algorithm>
#include <ostream>

#include "config/codec.h"
#include "rwf/config_change.h"

namespace rwf {
namespace {

// The state transition of an action: the states in which it is allowed and the
// resulting state.
struct Action {
  const char* name;
  std::vector<MoveState> from;
  MoveState to;
};

const Action* FindAction(const std::string& name) {
  using enum MoveState;
  static const Action kActions[] = {
      {"start", {kPaused}, kRunning},
      {"pause", {kRunning}, kPaused},
      {"resume", {kPaused}, kRunning},
      {"stop", {kRunning, kPaused}, kStopped},
  };
  const auto it =
      std::find_if(std::begin(kActions), std::end(kActions),
                   [&](const Action& action) { return action.name == name; });
  return it == std::end(kActions) ? nullptr : it;
}

// Builds a move from the flags of `start`.
Move NewMove(const Input& input, const std::string& id) {
  Move out;
  out.id = id;
  out.service = input.StringFlag("service");
  out.from = input.StringFlag("from");
  out.to = input.StringFlag("to");
  out.percent = input.flags["percent"].as<double>();
  out.step_percent = input.flags["step-percent"].as<double>();
  out.cap_percent = input.flags["cap-percent"].as<double>();
  out.step_interval =
      std::chrono::seconds(input.flags["step-interval-s"].as<uint32_t>());
  out.state = MoveState::kRunning;
  return out;
}

}  // namespace

MoveCommand::MoveCommand()
    : Command("move", "start|pause|resume|stop ID",
              "Start, pause, resume and stop moves") {}

void MoveCommand::AddFlags(cxxopts::OptionAdder* flags) {
  AddEndpointFlags(flags);
  const auto text = [] { return cxxopts::value<std::string>(); };
  const auto number = [](const char* fallback) {
    return cxxopts::value<double>()->default_value(fallback);
  };
  (*flags)("service", "Service of a new move", text());
  (*flags)("from", "Source zone of a new move", text());
  (*flags)("to", "Target zone of a new move", text());
  (*flags)("percent", "Percentage of the clients to move in total",
           number("100"));
  (*flags)("step-percent", "Percentage of the clients to move per step",
           number("10"));
  (*flags)("cap-percent", "Maximum percentage of busy target slots for a step",
           number("80"));
  (*flags)("step-interval-s", "Minimum time between two steps",
           cxxopts::value<uint32_t>()->default_value("30"));
}

int MoveCommand::Execute(const Input& input, Environment* environment) {
  if (input.arguments.size() != 2)
    return ReportUsageError("expected an action and the id of a move",
                            environment);
  const Action* action = FindAction(input.arguments[0]);
  if (action == nullptr)
    return ReportUsageError(
        fmt::format("found {}, expected start, pause, resume or "
                    "stop",
                    input.arguments[0]),
        environment);
  const std::string& id = input.arguments[1];
  const auto has_flag = [&](const char* flag) {
    return input.flags.count(flag) > 0;
  };
  const bool is_new = has_flag("service");
  if (is_new &&
      (input.arguments[0] != "start" || !has_flag("from") || !has_flag("to")))
    return ReportUsageError(
        "a new move needs start, --service, --from and --to", environment);
  const auto endpoint = Connect(input, environment);
  if (endpoint == nullptr) return kBadInput;
  const ChangeRequest request{input.StringFlag("who"),
                              fmt::format("move {} {}", input.arguments[0], id),
                              false, input.WantsJson()};
  return EditConfig(
      endpoint.get(), request,
      [&](Config* config) -> int {
        const auto it =
            std::find_if(config->moves.begin(), config->moves.end(),
                         [&](const Move& move) { return move.id == id; });
        if (is_new) {
          // The validation before posting reports a duplicate id.
          config->moves.push_back(NewMove(input, id));
          return kDone;
        }
        if (it == config->moves.end()) {
          environment->err << fmt::format("rwf: unknown move {}\n", id);
          return kBadInput;
        }
        if (std::find(action->from.begin(), action->from.end(), it->state) ==
            action->from.end()) {
          environment->err << fmt::format("rwf: move {} is {}, cannot {} it\n",
                                          id, ToText(it->state), action->name);
          return kRefused;
        }
        it->state = action->to;
        return kDone;
      },
      environment);
}

}  // namespace rwf
