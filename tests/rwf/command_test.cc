#include "rwf/command.h"

#include <doctest/doctest.h>
#include <fmt/format.h>

#include <algorithm>
#include <cstdio>
#include <fstream>
#include <functional>
#include <sstream>

#include "base/digest.h"
#include "config/parser.h"

namespace rwf {
namespace {

// How the fake endpoint handles POST /v1/config.
enum class PostBehavior {
  kAccept,
  kReject,
  kConflictOnce,
  kConflictAlways,
  kLoseResponse,
  kLoseAllResponses
};

struct Call {
  std::string path;
  Json body;  // null for GET
};

// State of the fake endpoint. The fixture owns it, since each command owns its
// endpoint.
struct FakeState {
  Json config;  // null before the first configuration
  uint64_t generation = 0;
  PostBehavior on_post = PostBehavior::kAccept;
  std::vector<Call> calls;
  Json last_outcome;
  Json vms = Json::array();
  std::function<void()> on_status = [] {};
  std::string token;
};

class FakeEndpoint : public Endpoint {
 public:
  explicit FakeEndpoint(FakeState* state) : state_(state) {}

  Result<Json> Get(const std::string& path) override {
    state_->calls.push_back({path, nullptr});
    if (path == "/v1/config")
      return Json{{"generation", state_->generation},
                  {"digest", "d"},
                  {"config", state_->config}};
    if (path.rfind("/v1/operations/", 0) == 0) {
      if (state_->on_post == PostBehavior::kLoseAllResponses)
        return Fail(EndpointErrc::kUnreachable, "lost");
      return state_->last_outcome;
    }
    if (path == "/v1/status") {
      state_->on_status();
      return Json{{"generation", state_->generation},
                  {"digest", "d"},
                  {"vms", state_->vms}};
    }
    if (path.rfind("/v1/history", 0) == 0)
      return Json{{"records", {{{"who", "ann"}, {"outcome", "accepted"}}}}};
    if (path.rfind("/v1/explain", 0) == 0)
      return Json{{"entry_vms", {"entry-1", "entry-2"}},
                  {"upstreams", {"u1"}},
                  {"reason", "own zone"}};
    return Fail(EndpointErrc::kRefused, "no such path " + path);
  }

  Result<Json> Post(const std::string& path, const Json& body) override {
    state_->calls.push_back({path, body});
    if (path == "/v1/keys/withdraw")
      return Json{{"result", "accepted"}, {"vms", state_->vms}};
    PostBehavior& mode = state_->on_post;
    const bool conflicts = mode == PostBehavior::kConflictOnce ||
                           mode == PostBehavior::kConflictAlways;
    if (mode == PostBehavior::kConflictOnce) mode = PostBehavior::kAccept;
    if (conflicts)
      ++state_->generation;  // Another operator's change came first.
    if (mode == PostBehavior::kReject || conflicts ||
        body["expected_generation"] != state_->generation) {
      return Json{{"result", "rejected"},
                  {"generation", state_->generation},
                  {"message", "not now"}};
    }
    state_->config = body["config"];
    state_->generation = body["config"]["generation"];
    state_->last_outcome = {{"result", "accepted"},
                            {"generation", state_->generation},
                            {"message", ""}};
    if (mode == PostBehavior::kLoseResponse ||
        mode == PostBehavior::kLoseAllResponses)
      return Fail(EndpointErrc::kUnreachable, "lost");
    return state_->last_outcome;
  }

 private:
  FakeState* state_;
};

class CommandFixture {
 public:
  CommandFixture() {
    std::ofstream(token_file_) << "secret\n";
    state.config = Json::parse(
        *ReadFile(RWF_SOURCE_DIR "/examples/tallowmere.config.json"));
    state.config["generation"] = 7;
    state.generation = 7;
  }
  ~CommandFixture() {
    for (const char* it : {token_file_, file_}) std::remove(it);
  }

  // Runs the program; `with_endpoint` adds the flags that every command with an
  // endpoint needs.
  int Run(std::vector<std::string> arguments, bool with_endpoint = true) {
    out.str("");
    err.str("");
    if (with_endpoint)
      arguments.insert(arguments.end(),
                       {"--endpoint", "http://127.0.0.1:1", "--token-file",
                        token_file_, "--who", "ann"});
    Environment environment{
        .out = out,
        .err = err,
        .connect =
            [this](const std::string&, const std::string& token) {
              state.token = token;
              return std::make_unique<FakeEndpoint>(&state);
            },
        .sleep = [this](Duration d) { slept += d; },
        .make_key = [this] { return fmt::format("made-key-{}", ++n_keys_); },
    };
    return RunProgram(arguments, &environment);
  }

  // Number of configurations posted so far.
  int PostCount() const {
    return static_cast<int>(std::count_if(
        state.calls.begin(), state.calls.end(), [](const Call& it) {
          return it.path == "/v1/config" && !it.body.is_null();
        }));
  }

  std::string WriteConfig(const Json& config) {
    std::ofstream(file_) << config.dump();
    return file_;
  }

  FakeState state;
  std::ostringstream out;
  std::ostringstream err;
  Duration slept{};

 private:
  int n_keys_ = 0;
  const char* token_file_ = "rwf_test.token";
  const char* file_ = "rwf_test.config.json";
};

bool Contains(const std::ostringstream& stream, const std::string& text) {
  return stream.str().find(text) != std::string::npos;
}

// Guards against usage errors that look like success to a script.
TEST_CASE_FIXTURE(CommandFixture,
                  "rwf, bad usage, reports the error and exits 2") {
  const std::pair<std::vector<std::string>, const char*> rows[] = {
      {{}, "usage: rwf COMMAND"},
      {{"aply"}, "unknown command aply"},
      {{"--verbos"}, "unknown flag --verbos"},
      {{"check", "--bogus", "x"}, "bogus"},
      {{"check"}, "expected one configuration file"},
      {{"check", "no-such-file"}, "no-such-file: No such file"},
      {{"show"}, "--endpoint is required"},
      {{"drain", "start", "vm", "x"}, "found kind vm, expected upstream"},
      {{"move", "halt", "x"}, "found halt, expected start"},
      {{"status", "--wait", "soon"}, "soon"},
      {{"explain", "--service", "a b", "--client", "10.0.0.1", "--workspace",
        "w"},
       "--service: found a b"},
      {{"key", "withdraw", "abc"}, "expected a digest"},
  };
  for (const auto& row : rows) {
    CHECK(Run(row.first, false) == kBadInput);
    CHECK_MESSAGE(Contains(err, row.second), err.str());
  }
  CHECK(Run({"--help"}, false) == kDone);
  CHECK(Run({"apply", "--help"}, false) == kDone);
  CHECK(Contains(out, "--expect"));
  CHECK(state.calls.empty());
}

TEST_CASE_FIXTURE(CommandFixture,
                  "rwf check, invalid file, lists all problems") {
  Json config = state.config;
  config["site"] = "";
  config["limits"]["extra"] = 1;
  CHECK(Run({"check", WriteConfig(config)}, false) == kBadInput);
  CHECK(Contains(err, "2 problems\n/site: "));
  CHECK(Run({"check", "--json", WriteConfig(config)}, false) == kBadInput);
  CHECK(Json::parse(out.str())["problems"].size() == 2);
  CHECK(Run({"check", WriteConfig(state.config)}, false) == kDone);
}

TEST_CASE_FIXTURE(CommandFixture,
                  "rwf apply, file from the current generation, is accepted") {
  state.config["limits"]["lookup_ttl_ms"] = 4000;
  CHECK(Run({"apply", WriteConfig(state.config)}) == kDone);
  CHECK(Contains(out, "accepted: generation 8"));
  CHECK(state.token == "secret");
  const Json& body = state.calls.back().body;
  CHECK(body["expected_generation"] == 7);
  CHECK(body["who"] == "ann");
  CHECK(body["force"] == false);
  CHECK(body["operation_id"].get<std::string>().size() == 32);
  CHECK(body["config"]["generation"] == 8);
}

// Guards against one operator silently reverting the change of another.
TEST_CASE_FIXTURE(CommandFixture,
                  "rwf apply, file from an older generation, is rejected") {
  const std::string file = WriteConfig(state.config);
  state.generation = 9;
  CHECK(Run({"apply", file}) == kRefused);
  CHECK(Contains(err, "made from generation 7"));
  CHECK(PostCount() == 1);
  CHECK(Run({"apply", file, "--expect", "9"}) == kDone);
}

TEST_CASE_FIXTURE(
    CommandFixture,
    "rwf apply, first configuration of a site, replaces generation 0") {
  state.config["generation"] = 1;
  const std::string file = WriteConfig(state.config);
  state.config = nullptr;
  state.generation = 0;
  CHECK(Run({"apply", file}) == kDone);
  CHECK(state.generation == 1);
}

// Guards against a change that is applied twice or reported wrongly after its
// response was lost.
TEST_CASE_FIXTURE(CommandFixture,
                  "rwf apply, response lost, queries and never posts again") {
  const std::string file = WriteConfig(state.config);
  state.on_post = PostBehavior::kLoseResponse;
  CHECK(Run({"apply", file}) == kDone);
  CHECK(PostCount() == 1);
  state.on_post = PostBehavior::kLoseAllResponses;
  CHECK(Run({"apply", file, "--expect", "8"}) == kUnknown);
  CHECK(PostCount() == 2);
  CHECK(Contains(err, "rwf history"));
  state.on_post = PostBehavior::kReject;
  CHECK(Run({"apply", file, "--expect", "9", "--json"}) == kRefused);
  CHECK(Json::parse(out.str())["result"] == "rejected");
}

TEST_CASE_FIXTURE(
    CommandFixture,
    "rwf key add, one conflict, retries from the new generation") {
  state.on_post = PostBehavior::kConflictOnce;
  CHECK(Run({"key", "add", "contractors"}) == kDone);
  CHECK(PostCount() == 2);
  CHECK(state.calls.back().body["expected_generation"] == 8);
  CHECK(Contains(out, "made-key"));
  const auto config = ParseConfig(state.config.dump(), "after");
  const auto& keys = (*config)->FindWorkspace("contractors")->keys;
  CHECK(keys.back() == Sha256("made-key-1"));
  CHECK(state.config.dump().find("made-key") == std::string::npos);

  state.on_post = PostBehavior::kConflictAlways;
  const int before = PostCount();
  CHECK(Run({"key", "add", "yard-office"}) == kRefused);
  CHECK(PostCount() == before + 3);
  CHECK_FALSE(Contains(out, "made-key"));
  CHECK(Run({"key", "add", "nobody"}) == kBadInput);
}

TEST_CASE_FIXTURE(CommandFixture,
                  "rwf key withdraw, unconfirmed VM, is reported") {
  const std::string digest = ToHex(Sha256("k"));
  state.vms = {{{"id", "entry-1"}, {"zone", "z"}, {"confirmed", true}}};
  CHECK(Run({"key", "withdraw", digest}) == kDone);
  CHECK(state.calls.back().body["digest"] == digest);
  state.vms.push_back({{"id", "entry-2"}, {"zone", "z"}, {"confirmed", false}});
  CHECK(Run({"key", "withdraw", digest}) == kUnknown);
  CHECK(Contains(err, "not confirmed by entry-2"));
}

TEST_CASE_FIXTURE(CommandFixture,
                  "rwf key list, withdrawn key, is shown as withdrawn") {
  state.config["withdrawn_keys"] = state.config["workspaces"][0]["keys"];
  CHECK(Run({"key", "list", "--json"}) == kDone);
  const Json list = Json::parse(out.str());
  REQUIRE(list.size() == 8);
  CHECK(list[0]["state"] == "withdrawn");
  CHECK(list[1]["state"] == "in force");
}

// Guards against drains that leave too few slots for the load.
TEST_CASE_FIXTURE(
    CommandFixture,
    "rwf drain start, too few remaining slots, is refused unless forced") {
  CHECK(Run({"drain", "start", "zone", "gulf-a"}) == kDone);
  CHECK(state.config["drains"].size() == 1);
  CHECK(Run({"drain", "start", "zone", "gulf-b"}) == kRefused);
  CHECK(Contains(err, "heater-desk would keep 120 of 180 slots"));
  CHECK(PostCount() == 1);
  CHECK(Run({"drain", "start", "zone", "gulf-b", "--force"}) == kDone);
  CHECK(state.calls.back().body["force"] == true);
  CHECK(Run({"drain", "start", "entry_vm", "entry-1"}) == kDone);
  CHECK(Run({"drain", "start", "upstream", "nothing", "--force"}) == kRefused);
  CHECK(Contains(err, "unknown upstream nothing"));
  CHECK(Run({"drain", "stop", "zone", "gulf-a"}) == kDone);
  CHECK(Run({"drain", "stop", "zone", "gulf-a"}) == kRefused);
}

TEST_CASE_FIXTURE(CommandFixture,
                  "rwf move, each action, follows the state transitions") {
  const std::string id = "rewire-delta-a";
  const auto move = [&] { return state.config["moves"][0]["state"]; };
  CHECK(Run({"move", "start", id}) == kDone);
  CHECK(move() == "running");
  CHECK(Run({"move", "resume", id}) == kRefused);
  CHECK(Run({"move", "pause", id}) == kDone);
  CHECK(Run({"move", "resume", id}) == kDone);
  CHECK(Run({"move", "stop", id}) == kDone);
  CHECK(move() == "stopped");
  CHECK(Run({"move", "resume", id}) == kRefused);
  CHECK(Run({"move", "start", "other"}) == kBadInput);
  CHECK(Run({"move", "start", "other", "--service", "yard-library", "--from",
             "gulf-a", "--to", "gulf-b"}) == kDone);
  CHECK(state.config["moves"][1]["percent"] == 100);
  CHECK(Run({"move", "start", "third", "--service", "yard-library", "--from",
             "gulf-a", "--to", "gulf-a"}) == kRefused);
}

TEST_CASE_FIXTURE(CommandFixture,
                  "rwf status --wait, lagging VM, waits and then reports it") {
  state.vms = {{{"id", "entry-1"}, {"state", "alive"}, {"generation", 9}},
               {{"id", "entry-2"}, {"state", "alive"}, {"generation", 7}},
               {{"id", "entry-3"}, {"state", "left"}, {"generation", 1}}};
  CHECK(Run({"status"}) == kDone);
  CHECK(Run({"status", "--wait", "9", "--timeout-s", "5"}) == kUnknown);
  CHECK(slept == std::chrono::seconds(5));
  CHECK(Contains(err, "not confirmed by entry-2 (alive, generation 7)\n"));
  int polls = 0;
  state.on_status = [&] {
    if (++polls == 3) state.vms[1]["generation"] = 9;
  };
  CHECK(Run({"status", "--wait", "9"}) == kDone);
  CHECK(polls == 3);
}

TEST_CASE_FIXTURE(CommandFixture,
                  "rwf show, history, explain, print tables or JSON") {
  CHECK(Run({"show"}) == kDone);
  CHECK(Contains(out, "site tallowmere, generation 7"));
  CHECK(Run({"show", "--json"}) == kDone);
  CHECK(Json::parse(out.str()) == state.config);
  CHECK(Run({"history", "--limit", "3"}) == kDone);
  CHECK(state.calls.back().path == "/v1/history?limit=3");
  CHECK(Contains(out, "ann"));
  CHECK(Run({"explain", "--service", "yard-library", "--client", "10.0.0.1",
             "--workspace", "contractors"}) == kDone);
  CHECK(Contains(out, "  2. entry-2\n"));
}

}  // namespace
}  // namespace rwf
