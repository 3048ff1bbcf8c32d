#include "rwf/drain_command.h"

#include <fmt/format.h>

#include <algorithm>
#include <ostream>

#include "config/codec.h"
#include "config/validator.h"
#include "rwf/config_change.h"

namespace rwf {
namespace {

// Fraction of a service's slots that is assumed to be busy. Measured load would
// be more accurate, but one VM sees only its own load, with a delay.
constexpr double kAssumedUtilization = 0.8;

const DrainKind* FindKind(const std::string& text) {
  static constexpr DrainKind kKinds[] = {DrainKind::kUpstream, DrainKind::kZone,
                                         DrainKind::kRegion,
                                         DrainKind::kEntryVm};
  const auto it =
      std::find_if(std::begin(kKinds), std::end(kKinds),
                   [&](DrainKind kind) { return text == ToText(kind); });
  return it == std::end(kKinds) ? nullptr : it;
}

// Returns one line for each service whose remaining slots cannot handle its
// load.
std::string DescribeOverload(const Config& config) {
  std::string out;
  for (const Service& service : config.services) {
    int64_t all = 0;
    int64_t remaining = 0;
    for (const Upstream& it : service.upstreams) {
      all += it.slots;
      if (!IsUpstreamDraining(config, it)) remaining += it.slots;
    }
    const double needed = kAssumedUtilization * static_cast<double>(all);
    if (static_cast<double>(remaining) < needed)
      out += fmt::format(
          "  {} would keep {} of {} slots, about {:.0f} are needed\n",
          service.name, remaining, all, needed);
  }
  return out;
}

}  // namespace

DrainCommand::DrainCommand()
    : Command("drain", "start|stop KIND ID",
              "Start or stop draining an upstream, zone, region or entry_vm") {}

void DrainCommand::AddFlags(cxxopts::OptionAdder* flags) {
  AddEndpointFlags(flags);
  (*flags)("force", "Drain even if the remaining slots may not suffice");
}

int DrainCommand::Execute(const Input& input, Environment* environment) {
  const auto& arguments = input.arguments;
  const bool is_start = !arguments.empty() && arguments[0] == "start";
  const bool is_stop = !arguments.empty() && arguments[0] == "stop";
  if ((!is_start && !is_stop) || arguments.size() != 3)
    return ReportUsageError("expected start or stop, a kind and an id",
                            environment);
  const DrainKind* kind = FindKind(arguments[1]);
  if (kind == nullptr)
    return ReportUsageError(
        fmt::format("found kind {}, expected upstream, zone, region or "
                    "entry_vm",
                    arguments[1]),
        environment);
  const auto endpoint = Connect(input, environment);
  if (endpoint == nullptr) return kBadInput;
  const Drain drain{*kind, arguments[2]};
  const bool force = input.flags.count("force") > 0;
  const ChangeRequest request{
      input.StringFlag("who"),
      fmt::format("drain {}", fmt::join(arguments, " ")), force,
      input.WantsJson()};
  return EditConfig(
      endpoint.get(), request,
      [&](Config* config) -> int {
        auto& drains = config->drains;
        const auto it = std::find(drains.begin(), drains.end(), drain);
        if (is_stop) {
          if (it == drains.end()) {
            environment->err << fmt::format("rwf: {} {} is not draining\n",
                                            arguments[1], arguments[2]);
            return kRefused;
          }
          drains.erase(it);
          return kDone;
        }
        drains.push_back(drain);
        // Draining an entry VM leaves all slots available: peers borrow its
        // share.
        if (force || drain.kind == DrainKind::kEntryVm) return kDone;
        const std::string overload = DescribeOverload(*config);
        if (overload.empty()) return kDone;
        environment->err << "rwf: the remaining slots cannot handle the "
                            "load:\n"
                         << overload << "Use --force to drain anyway.\n";
        return kRefused;
      },
      environment);
}

}  // namespace rwf
