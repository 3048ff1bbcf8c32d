#include <doctest/doctest.h>

#include "once/claim_client.h"
#include "once/claim_ledger.h"
#include "once/idempotency_key.h"

namespace rwf {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using wire::ClaimEnd;
using wire::ClaimVerdict;

constexpr uint64_t kMinted = 1'000'000;
constexpr WallTime kWall{seconds(kMinted)};
const std::vector<std::string> kSecrets = {"current", "previous"};

std::error_code ParseCode(const std::string& text, WallTime wall = kWall) {
  const auto key = IdempotencyKey::Parse(text, kSecrets, wall);
  return key ? std::error_code() : key.error().code;
}

TEST_CASE("IdempotencyKey, minted prefix with a suffix, parses back") {
  for (const std::string& secret : kSecrets) {
    const auto key = IdempotencyKey::Parse(
        IdempotencyKey::MintPrefix("vm-1", 77, kMinted, secret) + ".a.b",
        kSecrets, kWall);
    REQUIRE(key);
    CHECK(*key == IdempotencyKey{"vm-1", 77, kMinted, "a.b"});
  }
}

TEST_CASE("IdempotencyKey, table of faults, gives the matching error") {
  using Errc = IdempotencyKeyErrc;
  const std::string good =
      IdempotencyKey::MintPrefix("vm", 7, kMinted, "current");
  const std::string other =
      IdempotencyKey::MintPrefix("vm", 7, kMinted, "stolen");
  std::string upper = good;
  for (char& c : upper) c = static_cast<char>(std::toupper(c));
  struct Case {
    std::string text;
    Errc code;
  };
  const Case cases[] = {
      {"", Errc::kMalformed},
      {good, Errc::kMalformed},
      {good + ".", Errc::kMalformed},
      {good + ".a b", Errc::kMalformed},
      {good + "." + std::string(kMaxSuffixLength + 1, 'x'), Errc::kMalformed},
      {"." + good + ".x", Errc::kMalformed},
      {"vm.x.1.m.x", Errc::kMalformed},
      {"vm.99999999999999999999.1.m.x", Errc::kMalformed},
      {other + ".x", Errc::kBadMac},
      {"vm2" + good.substr(2) + ".x", Errc::kBadMac},
      {"vm.8" + good.substr(4) + ".x", Errc::kBadMac},
      {upper + ".x", Errc::kBadMac},
      {IdempotencyKey::MintPrefix("vm", 7, UINT64_MAX, "current") + ".x",
       Errc::kFromFuture},
  };
  for (const Case& c : cases) {
    CAPTURE(c.text);
    CHECK(ParseCode(c.text) == make_error_code(c.code));
  }
  const std::string key = good + ".x";
  CHECK(ParseCode(key, kWall - seconds(5)) == std::error_code());
  CHECK(ParseCode(key, kWall - seconds(6)) == Errc::kFromFuture);
  CHECK(ParseCode(key, kWall + seconds(604)) == std::error_code());
  CHECK(ParseCode(key, kWall + seconds(605)) == Errc::kExpired);
}

TEST_CASE("RefuseKey, key possibly valid on another VM, reports unknown") {
  const auto outcome = [](IdempotencyKeyErrc code) {
    return ClaimClient::RefuseKey(make_error_code(code)).run_outcome;
  };
  CHECK(outcome(IdempotencyKeyErrc::kMalformed) == RunOutcome::kNotRun);
  CHECK(outcome(IdempotencyKeyErrc::kBadMac) == RunOutcome::kUnknown);
  CHECK(outcome(IdempotencyKeyErrc::kFromFuture) == RunOutcome::kUnknown);
  CHECK(outcome(IdempotencyKeyErrc::kExpired) == RunOutcome::kUnknown);
}

TEST_CASE("ClaimDigest, other workspace or part boundaries, differs") {
  CHECK(ClaimDigest("a", "k") != ClaimDigest("b", "k"));
  CHECK(ClaimDigest("a", "bk") != ClaimDigest("ab", "k"));
  CHECK(RequestDigest("GET", "/a", "b") != RequestDigest("GET", "/ab", ""));
}

wire::ClaimRequestT MakeRequest(uint64_t request_id,
                                const std::string& key = "k",
                                const std::string& body = "b",
                                uint64_t minted = kMinted) {
  wire::ClaimRequestT request;
  request.request_id = request_id;
  request.claim = Sha256(key);
  request.body = Sha256(body);
  request.home_incarnation = 7;
  request.minted_unix_s = minted;
  return request;
}

wire::ClaimResultT MakeResult(uint64_t attempt, ClaimEnd end, size_t body_bytes,
                              const std::string& key = "k") {
  wire::ClaimResultT result;
  result.claim = Sha256(key);
  result.attempt = attempt;
  result.end = end;
  result.outcome = std::make_unique<wire::StoredOutcomeT>();
  result.outcome->status = 201;
  result.outcome->body.assign(body_bytes, 'x');
  return result;
}

struct LedgerFixture {
  wire::ClaimReplyT Ask(const std::string& vm, uint64_t request_id,
                        const std::string& body = "b") {
    return ledger.OnClaim({vm, 1}, MakeRequest(request_id, "k", body), now,
                          wall);
  }
  void End(uint64_t attempt, ClaimEnd end, size_t body_bytes = 3) {
    ledger.OnResult(MakeResult(attempt, end, body_bytes), now);
  }

  ClaimLedger ledger{7, 50};
  TimePoint now{seconds(50)};
  WallTime wall = kWall;
};

TEST_CASE("ClaimLedger, table of faults, gives the expected verdict") {
  using F = LedgerFixture;
  struct Case {
    const char* name;
    void (*arrange)(F*);   // after request 1 of VM a got attempt 1
    ClaimVerdict verdict;  // for request 2 of VM b
  };
  const Case cases[] = {
      {"running", [](F*) {}, ClaimVerdict::kInProgress},
      {"completed", [](F* f) { f->End(1, ClaimEnd::kCompleted); },
       ClaimVerdict::kDone},
      {"not run", [](F* f) { f->End(1, ClaimEnd::kNotRun); },
       ClaimVerdict::kGranted},
      {"outcome unknown", [](F* f) { f->End(1, ClaimEnd::kOutcomeUnknown); },
       ClaimVerdict::kUnknown},
      {"duplicate result, the second contradicts",
       [](F* f) {
         f->End(1, ClaimEnd::kCompleted);
         f->End(1, ClaimEnd::kNotRun);
       },
       ClaimVerdict::kDone},
      {"unknown, then not run",
       [](F* f) {
         f->End(1, ClaimEnd::kOutcomeUnknown);
         f->End(1, ClaimEnd::kNotRun);
       },
       ClaimVerdict::kUnknown},
      {"result of an attempt that was never granted",
       [](F* f) { f->End(2, ClaimEnd::kNotRun); }, ClaimVerdict::kInProgress},
      {"late release of an older attempt",
       [](F* f) {
         f->End(1, ClaimEnd::kNotRun);
         f->Ask("c", 9);
         f->End(1, ClaimEnd::kNotRun);
       },
       ClaimVerdict::kInProgress},
      {"runner dead",
       [](F* f) {
         f->ledger.OnPeerDead({"a", 1}, f->now);
       },
       ClaimVerdict::kUnknown},
      {"newer incarnation of the runner dead",
       [](F* f) {
         f->ledger.OnPeerDead({"a", 2}, f->now);
       },
       ClaimVerdict::kUnknown},
      {"older incarnation of the runner dead",
       [](F* f) {
         f->ledger.OnPeerDead({"a", 0}, f->now);
       },
       ClaimVerdict::kInProgress},
      {"late result of a runner presumed dead",
       [](F* f) {
         f->ledger.OnPeerDead({"a", 1}, f->now);
         f->End(1, ClaimEnd::kCompleted);
       },
       ClaimVerdict::kDone},
      {"no result within the run timeout",
       [](F* f) { f->now += ClaimLedger::kRunTimeout + seconds(1); },
       ClaimVerdict::kUnknown},
      {"outcome too large to store",
       [](F* f) {
         f->End(1, ClaimEnd::kCompleted, ClaimLedger::kMaxOutcomeBytes + 1);
       },
       ClaimVerdict::kUnknown},
      {"last second of the key", [](F* f) { f->wall += seconds(599); },
       ClaimVerdict::kInProgress},
      {"key expired", [](F* f) { f->wall += seconds(600); },
       ClaimVerdict::kExpired},
      {"key expired and removed, then the clock set back",
       [](F* f) {
         f->ledger.OnTick(f->now, f->wall + seconds(600));
         REQUIRE(f->ledger.size() == 0);
       },
       ClaimVerdict::kExpired},
      {"ledger full: oldest keys expire early",
       [](F* f) {
         for (int i = 0; i < 60; ++i) {
           const std::string key = "k" + std::to_string(i);
           f->ledger.OnClaim({"c", 1},
                             MakeRequest(9, key, "b", kMinted + 1 + i), f->now,
                             f->wall);
         }
         REQUIRE(f->ledger.size() <= 50);
       },
       ClaimVerdict::kExpired},
  };
  for (const Case& c : cases) {
    CAPTURE(std::string(c.name));
    F fixture;
    REQUIRE(fixture.Ask("a", 1).verdict == ClaimVerdict::kGranted);
    c.arrange(&fixture);
    const auto reply = fixture.Ask("b", 2);
    CHECK(reply.verdict == c.verdict);
    CHECK((reply.outcome != nullptr) == (c.verdict == ClaimVerdict::kDone));
    // Another body never runs under the same key unless the first one certainly
    // did not run.
    if (c.verdict == ClaimVerdict::kGranted) continue;
    CHECK(fixture.Ask("b", 3, "other").verdict ==
          (c.verdict == ClaimVerdict::kExpired ? ClaimVerdict::kExpired
                                               : ClaimVerdict::kBodyMismatch));
  }
}

TEST_CASE_FIXTURE(LedgerFixture,
                  "ClaimLedger, repeated request, gets the same grant") {
  CHECK(Ask("a", 1).attempt == 1);
  const auto again = Ask("a", 1);
  CHECK(again.verdict == ClaimVerdict::kGranted);
  CHECK(again.attempt == 1);
  wire::ClaimRequestT request = MakeRequest(1);
  request.home_incarnation = 6;
  CHECK(ledger.OnClaim({"a", 1}, request, now, wall).verdict ==
        ClaimVerdict::kWrongIncarnation);
}

TEST_CASE_FIXTURE(LedgerFixture,
                  "MintTime, clock set back, stays after removed claims") {
  ledger.OnTick(now, wall);
  CHECK(ledger.MintTime(wall - seconds(1000)) == kMinted);
}

TEST_CASE(
    "ClaimLedger, outcomes over 16 MB, drops the oldest large ones first") {
  ClaimLedger ledger(7);
  const auto ask = [&](int i) {
    return ledger.OnClaim({"a", 1}, MakeRequest(i, std::to_string(i)),
                          TimePoint{}, kWall);
  };
  constexpr int kRuns = 1200;
  for (int i = 0; i < kRuns; ++i) {
    const size_t bytes = i == 0 ? 100 : ClaimLedger::kMaxOutcomeBytes;
    ledger.OnResult(MakeResult(ask(i).attempt, ClaimEnd::kCompleted, bytes,
                               std::to_string(i)),
                    TimePoint{});
    REQUIRE(ledger.stored_bytes() <= ClaimLedger::kMaxStoredBytes);
  }
  CHECK(ask(0).verdict == ClaimVerdict::kDone);
  CHECK(ask(1).verdict == ClaimVerdict::kUnknown);
  CHECK(ask(kRuns - 1).verdict == ClaimVerdict::kDone);
  CHECK(ledger.dropped_outcomes() > 0);
}

// VM b sends claims to home VM a; the test delivers the messages.
struct ClientFixture {
  ClaimDecision Begin() {
    const IdempotencyKey key{"a", 7, kMinted, "x"};
    return client.Begin(key, Sha256("k"), Sha256("b"), now + seconds(2), now,
                        kWall);
  }
  // Delivers the outbox to the home VM and returns its replies.
  std::vector<wire::ClaimReplyT> Deliver() {
    std::vector<wire::ClaimReplyT> replies;
    for (auto& message : client.TakeOutbox()) {
      REQUIRE(message.vm == "a");
      if (auto* request = std::get_if<wire::ClaimRequestT>(&message.body)) {
        replies.push_back(home.OnClaim({"b", 1}, *request, now, kWall));
      } else {
        home.OnResult(std::get<wire::ClaimResultT>(message.body), now);
      }
    }
    return replies;
  }
  ClaimVerdict AskFromOtherVm() {
    return home.OnClaim({"c", 1}, MakeRequest(99), now, kWall).verdict;
  }

  TimePoint now{seconds(10)};
  ClaimLedger home{7};
  ClaimLedger own{3};
  ClaimClient client{{"b", 1}, &own};
};

TEST_CASE_FIXTURE(ClientFixture,
                  "ClaimClient, run completed, replays the outcome") {
  const auto first = Begin();
  CHECK(first.action == ClaimAction::kWait);
  const auto decisions = client.OnReply("a", Deliver().at(0), now);
  REQUIRE(decisions.size() == 1);
  CHECK(decisions[0].action == ClaimAction::kRun);
  CHECK(decisions[0].request_id == first.request_id);
  wire::StoredOutcomeT outcome;
  outcome.status = 201;
  client.Finish(first.request_id, ClaimEnd::kCompleted, &outcome, now);
  Deliver();
  Begin();
  const auto replay = client.OnReply("a", Deliver().at(0), now).at(0);
  CHECK(replay.action == ClaimAction::kReplay);
  CHECK(replay.outcome.status == 201);
}

TEST_CASE_FIXTURE(ClientFixture,
                  "ClaimClient, grant after the deadline, is returned") {
  Begin();
  const auto replies = Deliver();
  now += seconds(2);
  const auto decisions = client.OnTick(now);
  REQUIRE(decisions.size() == 1);
  CHECK(decisions[0].refusal == ClaimRefusal::kHomeUnreachable);
  CHECK(decisions[0].run_outcome == RunOutcome::kUnknown);
  CHECK(AskFromOtherVm() == ClaimVerdict::kInProgress);
  CHECK(client.OnReply("a", replies[0], now).empty());
  Deliver();
  CHECK(AskFromOtherVm() == ClaimVerdict::kGranted);
}

TEST_CASE_FIXTURE(ClientFixture,
                  "ClaimClient, grant lost with the link, is fetched again and "
                  "returned") {
  Begin();
  Deliver();  // the reply is lost
  CHECK(client.OnUnreachable("a", now).size() == 1);
  now += ClaimClient::kInitialRepeatInterval;
  CHECK(client.OnTick(now).empty());
  CHECK(client.OnReply("a", Deliver().at(0), now).empty());
  Deliver();
  CHECK(AskFromOtherVm() == ClaimVerdict::kGranted);
  now += seconds(100);
  client.OnTick(now);
  CHECK(client.TakeOutbox().empty());
}

TEST_CASE_FIXTURE(ClientFixture,
                  "ClaimClient, duplicate grant of a run, changes nothing") {
  const auto first = Begin();
  const auto reply = Deliver().at(0);
  CHECK(client.OnReply("a", reply, now).size() == 1);
  CHECK(client.OnReply("a", reply, now).empty());
  CHECK(client.TakeOutbox().empty());
  client.Finish(first.request_id, ClaimEnd::kCompleted, nullptr, now);
  CHECK(client.OnReply("a", reply, now).empty());
  CHECK(client.TakeOutbox().size() == 1);  // only the result
  CHECK(client.OnReply("c", reply, now).empty());
}

TEST_CASE_FIXTURE(
    ClientFixture,
    "ClaimClient, duplicate request after a release, does not keep "
    "the claim") {
  const auto first = Begin();
  const auto sent = client.TakeOutbox();
  const auto& request = std::get<wire::ClaimRequestT>(sent.at(0).body);
  client.OnReply("a", home.OnClaim({"b", 1}, request, now, kWall), now);
  client.Finish(first.request_id, ClaimEnd::kNotRun, nullptr, now);
  Deliver();
  // The network delivers the request twice, which gives an unused grant.
  client.OnReply("a", home.OnClaim({"b", 1}, request, now, kWall), now);
  Deliver();
  CHECK(AskFromOtherVm() == ClaimVerdict::kGranted);
}

TEST_CASE_FIXTURE(ClientFixture,
                  "ClaimClient, result lost with the link, is resent") {
  const auto first = Begin();
  client.OnReply("a", Deliver().at(0), now);
  client.Finish(first.request_id, ClaimEnd::kCompleted, nullptr, now);
  client.TakeOutbox();  // lost
  client.OnReachable("a", now + seconds(5));
  Deliver();
  CHECK(AskFromOtherVm() == ClaimVerdict::kUnknown);  // ran, no outcome stored
}

TEST_CASE_FIXTURE(ClientFixture,
                  "ClaimClient, caller disconnected, returns the grant") {
  const auto first = Begin();
  const auto replies = Deliver();
  client.Cancel(first.request_id, now);
  CHECK(client.waiting() == 0);
  CHECK(client.OnReply("a", replies[0], now).empty());
  Deliver();
  CHECK(AskFromOtherVm() == ClaimVerdict::kGranted);
}

TEST_CASE_FIXTURE(ClientFixture,
                  "ClaimClient, own VM as home, decides without messages") {
  IdempotencyKey key{"b", 3, kMinted, "x"};
  const auto begin = [&](const char* body) {
    return client.Begin(key, Sha256("k"), Sha256(body), now + seconds(2), now,
                        kWall);
  };
  const auto first = begin("b");
  CHECK(first.action == ClaimAction::kRun);
  CHECK(begin("b").refusal == ClaimRefusal::kInProgress);
  CHECK(begin("c").refusal == ClaimRefusal::kKeyReused);
  client.Finish(first.request_id, ClaimEnd::kNotRun, nullptr, now);
  CHECK(begin("b").action == ClaimAction::kRun);
  key.incarnation = 2;
  const auto old = begin("b");
  CHECK(old.refusal == ClaimRefusal::kOutcomeUnknown);
  CHECK(old.run_outcome == RunOutcome::kUnknown);
  CHECK(client.TakeOutbox().empty());
  CHECK(client.running() == 1);
}

}  // namespace
}  // namespace rwf
