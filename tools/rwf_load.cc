#include <fmt/format.h>

#include <cstdio>
#include <fstream>
#include <sstream>

#include "common/tool.h"
#include "load/load_generator.h"
#include "load/load_ledger.h"
#include "load/load_plan.h"
#include "load/lookup_load.h"

namespace rwf {
namespace {

using std::chrono::milliseconds;

// Upstreams detect a closed connection shortly after the caller has left.
constexpr Duration kSettleTime = milliseconds(500);
constexpr Duration kAdminTimeout = std::chrono::seconds(20);

// Parses ADDRESS:PORT.
HttpTarget ParseTarget(const std::string& text) {
  const size_t colon = text.rfind(':');
  if (colon == std::string::npos)
    ExitWith(2, fmt::format("rwf-load: '{}' is not ADDRESS:PORT", text));
  return {text.substr(0, colon), static_cast<uint16_t>(std::strtoul(
                                     text.c_str() + colon + 1, nullptr, 10))};
}

// Reads the ledgers and counters of all upstream processes.
class LedgerCollector {
 public:
  LedgerCollector(EventLoop* loop, std::vector<HttpTarget> admins,
                  LoadLedger* ledger)
      : loop_(loop),
        client_(loop, {.max_response_bytes = 256 << 20}),
        admins_(std::move(admins)),
        ledger_(ledger) {}

  void Start() { FetchPage(0, 0); }

  int64_t leaked_keys() const { return leaked_keys_; }
  const std::string& failure() const { return failure_; }

 private:
  void FetchPage(size_t admin, size_t from) {
    if (admin == admins_.size()) return loop_->Stop();
    Get(admin, "/ledger", fmt::format("from={}", from),
        [this, admin, from](const std::string& body) {
          const size_t n = AddRuns(body);
          if (n == 0) return FetchStats(admin);
          FetchPage(admin, from + n);
        });
  }

  void FetchStats(size_t admin) {
    Get(admin, "/stats", "", [this, admin](const std::string& body) {
      const Json stats = Json::parse(body, nullptr, /*allow_exceptions=*/false);
      leaked_keys_ += stats.value("/total/leaked_keys"_json_pointer, 0);
      FetchPage(admin + 1, 0);
    });
  }

  void Get(size_t admin, const std::string& path, const std::string& query,
           const std::function<void(const std::string&)>& on_body) {
    HttpRequest request;
    request.method = "GET";
    request.path = path;
    request.query = query;
    client_.Send(admins_[admin], request, kAdminTimeout,
                 [this, path, on_body](const HttpOutcome& outcome) {
                   if (!outcome.ec && outcome.response.status == 200)
                     return on_body(outcome.response.body);
                   failure_ = fmt::format(
                       "GET {} at an upstream admin port failed: {}", path,
                       outcome.ec.message());
                   loop_->Stop();
                 });
  }

  size_t AddRuns(const std::string& body) {
    std::istringstream in(body);
    size_t n = 0;
    for (std::string line; std::getline(in, line); ++n) {
      const Json run = Json::parse(line, nullptr, /*allow_exceptions=*/false);
      ledger_->AddRun(run.at("load_id"),
                      {run.at("instance"), run.at("workspace"),
                       run.at("state") == "completed"});
    }
    return n;
  }

  EventLoop* loop_;
  HttpClient client_;
  std::vector<HttpTarget> admins_;
  LoadLedger* ledger_;
  int64_t leaked_keys_ = 0;
  std::string failure_;
};

LoadPlan ReadPlan(const cxxopts::ParseResult& args) {
  for (const char* name : {"config", "keys"}) {
    if (args.count(name) == 0)
      ExitWith(2, fmt::format("rwf-load: --{} is required", name));
  }
  const auto config = ReadJsonFile(args["config"].as<std::string>());
  if (!config) ExitWith(2, "rwf-load: " + config.error().message);
  const auto keys = ReadJsonFile(args["keys"].as<std::string>());
  if (!keys) ExitWith(2, "rwf-load: " + keys.error().message);
  auto plan = ReadLoadPlan(*config, *keys);
  if (!plan) ExitWith(2, "rwf-load: " + plan.error().message);
  return *std::move(plan);
}

LoadOptions ReadOptions(const cxxopts::ParseResult& args) {
  LoadOptions out;
  out.load_fraction = args["load"].as<double>();
  out.hot_workspace = args["hot"].as<std::string>();
  out.hot_factor = args["hot-factor"].as<double>();
  out.hot_after = FromSeconds(args["hot-after"].as<double>());
  out.seed = args["seed"].as<uint64_t>();
  out.timeout = milliseconds(args["timeout-ms"].as<int64_t>());
  out.is_direct = args["direct"].as<bool>();
  out.closed_loop_callers = args["closed"].as<int64_t>();
  out.poison = args["poison"].as<std::string>();
  out.poison_after = FromSeconds(args["poison-after"].as<double>());
  out.clients_per_workspace = args["clients"].as<int64_t>();
  return out;
}

// Sends look-ups as fast as the entry VM responds; prints the rate.
int RunLookups(Tool* tool, const cxxopts::ParseResult& args) {
  const LoadPlan plan = ReadPlan(args);
  if (plan.entry_vms.empty())
    ExitWith(2, "rwf-load: the configuration has no entry VMs");
  EventLoop loop;
  LookupLoad load(&loop, &plan, args["seed"].as<uint64_t>());
  fmt::print(stderr, "rwf-load: look-ups only, no port bound\n");
  load.Start(args["lookups"].as<int64_t>());
  const TimePoint started = EventLoop::Now();
  const auto end = loop.After(FromSeconds(args["seconds"].as<double>()),
                              [&loop] { loop.Stop(); });
  tool->StopLoopOnRequest(&loop);
  loop.Run();
  const double seconds = ToSeconds(EventLoop::Now() - started);
  fmt::print("{}\n", Json{{"lookups", load.answered()},
                          {"lookup_failures", load.failed()},
                          {"seconds", seconds},
                          {"lookups_per_second",
                           static_cast<double>(load.answered()) / seconds}}
                         .dump());
  return load.failed() == 0 ? 0 : 1;
}

int RunLoad(Tool* tool, const cxxopts::ParseResult& args) {
  const LoadPlan plan = ReadPlan(args);
  const LoadOptions options = ReadOptions(args);
  std::vector<HttpTarget> admins;
  for (const auto& it : args["upstream-admin"].as<std::vector<std::string>>())
    admins.push_back(ParseTarget(it));

  EventLoop loop;
  LoadLedger ledger;
  LoadGenerator generator(&loop, &plan, options, &ledger);
  LedgerCollector collector(&loop, admins, &ledger);
  fmt::print(stderr, "rwf-load: {} workspaces, {} services, no port bound\n",
             plan.workspaces.size(), plan.services.size());
  const TimePoint started = EventLoop::Now();
  generator.Start();
  const auto end = loop.After(FromSeconds(args["seconds"].as<double>()),
                              [&loop] { loop.Stop(); });
  tool->StopLoopOnRequest(&loop);
  loop.Run();
  const double seconds = ToSeconds(EventLoop::Now() - started);
  generator.Finish([&loop] { loop.Stop(); });
  loop.Run();
  const auto settle =
      loop.After(kSettleTime, [&collector] { collector.Start(); });
  loop.Run();

  if (args.count("log") > 0) {
    std::ofstream(args["log"].as<std::string>()) << ledger.Lines();
  }
  Json summary = ledger.Summary();
  summary["leaked_keys"] = collector.leaked_keys();
  summary["seconds"] = seconds;
  summary["lookups"] = generator.lookups().lookups();
  summary["lookup_failures"] = generator.lookups().failures();
  summary["requests_per_second"] =
      seconds > 0 ? summary["answered"].get<double>() / seconds : 0;
  if (!collector.failure().empty()) summary["failure"] = collector.failure();
  fmt::print("{}\n", summary.dump());
  bool passed = collector.failure().empty();
  for (const char* name :
       {"duplicated", "lost", "false_not_run", "cross_workspace", "leaked_keys",
        "broken_answers"}) {
    passed = passed && summary[name] == 0;
  }
  return passed ? 0 : 1;
}

}  // namespace
}  // namespace rwf

int main(int argc, char** argv) {
  rwf::Tool tool("rwf-load",
                 "Load generator for tests: simulates the callers of all "
                 "workspaces. Prints one JSON line; exit code 1 if a guarantee "
                 "was violated.");
  tool.Add()("config", "configuration document", cxxopts::value<std::string>(),
             "FILE")("keys", "JSON object {workspace: key}",
                     cxxopts::value<std::string>(),
                     "FILE")("seconds", "length of the run",
                             cxxopts::value<double>()->default_value("10"))(
      "load", "fraction of each workspace's rate to send",
      cxxopts::value<double>()->default_value("0.5"))(
      "hot", "workspace that sends more",
      cxxopts::value<std::string>()->default_value(""),
      "WORKSPACE")("hot-factor", "factor by which its rate rises",
                   cxxopts::value<double>()->default_value("8"))(
      "hot-after", "seconds until the hot workspace raises its rate",
      cxxopts::value<double>()->default_value("0"))(
      "lookups",
      "send only look-ups, with this many callers, to the first entry VM",
      cxxopts::value<int64_t>()->default_value("0"))(
      "seed", "seed of arrivals and request mix",
      cxxopts::value<uint64_t>()->default_value("1"))(
      "timeout-ms", "deadline of a request",
      cxxopts::value<int64_t>()->default_value("3000"))(
      "clients", "number of client addresses of each workspace",
      cxxopts::value<int64_t>()->default_value("32"))(
      "direct", "send directly to the upstreams, bypassing the system")(
      "closed",
      "number of closed-loop callers, each with one request at a time",
      cxxopts::value<int64_t>()->default_value("0"))(
      "poison", "text in the body of a request sent every second",
      cxxopts::value<std::string>()->default_value(""),
      "TEXT")("poison-after", "seconds until the first such request",
              cxxopts::value<double>()->default_value("5"))(
      "upstream-admin", "admin port of rwf-upstream",
      cxxopts::value<std::vector<std::string>>()->default_value(
          "127.0.0.1:7901"),
      "ADDRESS:PORT")("log", "write every request as a JSON line",
                      cxxopts::value<std::string>(), "FILE");
  const auto& args = tool.Parse(argc, argv);
  return args["lookups"].as<int64_t>() > 0 ? rwf::RunLookups(&tool, args)
                                           : rwf::RunLoad(&tool, args);
}
