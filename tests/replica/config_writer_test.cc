#include "replica/config_writer.h"

#include <doctest/doctest.h>

#include "replica/replica_fleet.h"

namespace rwf {
namespace {

ChangeRequest MakeRequest(const std::string& id, uint64_t from,
                          const std::string& text) {
  ChangeRequest out;
  out.operation_id = id;
  out.who = "operator " + id;
  out.action = "apply";
  out.when = WallTime(std::chrono::milliseconds(1'700'000'000'000));
  out.from_generation = from;
  out.sections = {{"services", text}, {"limits", "same"}};
  return out;
}

// A store and one VM that watches it and makes changes.
struct WriterFixture {
  ChangeResult Apply(ChangeRequest request) {
    FleetChange change(&fleet, 0, std::move(request));
    for (int n = 0; n < 300 && !change.result; ++n) {
      fleet.clock.Run(std::chrono::milliseconds(50));
    }
    REQUIRE(change.result);
    return *change.result;
  }
  Manifest StoredManifest() {
    const auto out = ParseManifest(fleet.server.Read(kManifestKey).value);
    return out ? *out : Manifest{};
  }
  AuditChain ReadAuditChain() {
    AuditChain out;
    for (const std::string& key : fleet.server.Keys("audit/0")) {
      out.Append(std::stoull(key.substr(6)), fleet.server.Read(key).value);
    }
    return out;
  }

  ReplicaFleet fleet{1, 1, 1};
};

TEST_CASE_FIXTURE(
    WriterFixture,
    "ConfigWriter, valid and invalid changes, are accepted or rejected") {
  REQUIRE(Apply(MakeRequest("first", 0, "a")).generation == 1);
  struct Row {
    const char* name;
    uint64_t from;
    std::string text;
    ChangeOutcome outcome;
  };
  const Row rows[] = {
      {"based on an older generation", 0, "b", ChangeOutcome::kRejected},
      {"based on a generation that does not exist", 7, "b",
       ChangeOutcome::kRejected},
      {"invalid", 1, "invalid", ChangeOutcome::kRejected},
      {"section too large", 1, std::string(kMaxSectionBytes + 1, 'x'),
       ChangeOutcome::kRejected},
      {"good", 1, "b", ChangeOutcome::kAccepted},
  };
  for (const Row& row : rows) {
    CAPTURE(row.name);
    const uint64_t before = StoredManifest().generation;
    const auto result = Apply(MakeRequest(row.name, row.from, row.text));
    CHECK(result.outcome == row.outcome);
    CHECK_FALSE(result.audit_pending);
    CHECK(result.generation == StoredManifest().generation);
    CHECK(result.digest == StoredManifest().digest);
    if (row.outcome == ChangeOutcome::kAccepted) {
      CHECK(StoredManifest().generation == before + 1);
      continue;
    }
    CHECK(StoredManifest().generation == before);
    const auto record =
        ParseAuditRecord(fleet.server.Read(RejectedAuditKey(row.name)).value);
    REQUIRE(record);
    CHECK(record->who == std::string("operator ") + row.name);
    CHECK(record->outcome == "rejected");
  }
  CHECK(ReadAuditChain().EndsWith(StoredManifest()));
}

// Guards against a change that is reported with a wrong outcome or applied
// twice when one call of its writer is lost before or after it takes effect.
TEST_CASE("ConfigWriter, one call lost, reports the actual outcome") {
  struct Row {
    const char* name;
    uint64_t FakeStore::Faults::*call;
    bool late;
  };
  const Row rows[] = {
      {"request lost", &FakeStore::Faults::lose_request_call, false},
      {"request delayed by 3 s", &FakeStore::Faults::lose_request_call, true},
      {"response lost", &FakeStore::Faults::lose_response_call, false},
  };
  for (const Row& row : rows) {
    for (uint64_t call = 1; call <= 7; ++call) {
      CAPTURE(row.name);
      CAPTURE(call);
      WriterFixture it;
      it.fleet.nodes[0].paused_until =
          it.fleet.clock.now + std::chrono::hours(1);
      REQUIRE(it.Apply(MakeRequest("first", 0, "a")).generation == 1);
      it.fleet.server.faults.*row.call = it.fleet.server.calls() + call;
      it.fleet.server.faults.delay_lost_writes = row.late;
      const auto result = it.Apply(MakeRequest("second", 1, "b"));
      CHECK(result.outcome == ChangeOutcome::kAccepted);
      CHECK(result.generation == 2);
      CHECK_FALSE(result.audit_pending);
      it.fleet.clock.Run(std::chrono::seconds(5));
      CHECK(it.StoredManifest().generation == 2);
      CHECK(it.StoredManifest().operation_id == "second");
      CHECK(it.ReadAuditChain().records().size() == 2);
      CHECK(it.ReadAuditChain().EndsWith(it.StoredManifest()));
    }
  }
}

TEST_CASE_FIXTURE(WriterFixture,
                  "ConfigWriter, two concurrent changes, accepts one") {
  FleetChange one(&fleet, 0, MakeRequest("one", 0, "a"));
  FleetChange two(&fleet, 0, MakeRequest("two", 0, "b"));
  fleet.clock.Run(std::chrono::seconds(5));
  REQUIRE(one.result);
  REQUIRE(two.result);
  CHECK((one.result->outcome == ChangeOutcome::kAccepted) !=
        (two.result->outcome == ChangeOutcome::kAccepted));
  CHECK(one.result->generation == 1);
  CHECK(two.result->digest == StoredManifest().digest);
  CHECK(fleet.server.Keys("audit/rejected/").size() == 1);
}

// Guards against accepted changes without an audit record because their writer
// failed after the commit.
TEST_CASE_FIXTURE(
    WriterFixture,
    "ConfigWriter, fails at any call, the audit chain is complete") {
  uint64_t generation = 0;
  for (uint64_t calls = 1; calls <= 6; ++calls) {
    CAPTURE(calls);
    const std::string id = "op" + std::to_string(calls);
    const uint64_t start = fleet.server.calls();
    fleet.nodes[0].paused_until = fleet.clock.now + std::chrono::seconds(1);
    auto change = std::make_unique<FleetChange>(
        &fleet, 0, MakeRequest(id, generation, id));
    while (fleet.server.calls() < start + calls && !change->result) {
      fleet.clock.Run(std::chrono::milliseconds(1));
    }
    change.reset();
    fleet.clock.Run(std::chrono::seconds(20));
    generation = StoredManifest().generation;
    CHECK(ReadAuditChain().records().size() == generation);
    if (generation > 0) CHECK(ReadAuditChain().EndsWith(StoredManifest()));
  }
  CHECK(generation >= 2);
  CHECK(fleet.nodes[0].sync->counters().audit_records_completed >= 1);
}

TEST_CASE_FIXTURE(
    WriterFixture,
    "ConfigWriter, store down, rejects or explains an unknown outcome") {
  fleet.server.faults.down = true;
  auto result = Apply(MakeRequest("early", 0, "a"));
  CHECK(result.outcome == ChangeOutcome::kRejected);
  CHECK(result.audit_pending);
  fleet.server.faults.down = false;
  REQUIRE(Apply(MakeRequest("first", 0, "a")).generation == 1);
  // Calls: manifest, previous audit record, one section, swap.
  fleet.nodes[0].paused_until = fleet.clock.now + std::chrono::hours(1);
  const uint64_t swap = fleet.server.calls() + 4;
  FleetChange change(&fleet, 0, MakeRequest("second", 1, "b"));
  while (fleet.server.calls() < swap) {
    fleet.clock.Run(std::chrono::milliseconds(1));
  }
  fleet.nodes[0].store->connected = false;
  fleet.clock.Run(std::chrono::seconds(15));
  REQUIRE(change.result);
  CHECK(change.result->outcome == ChangeOutcome::kUnknown);
  CHECK(change.result->message.find(AuditKey(2)) != std::string::npos);
  CHECK(change.result->message.find("second") != std::string::npos);
  // A retry of the operation determines the outcome.
  fleet.nodes[0].store->connected = true;
  result = Apply(MakeRequest("second", 1, "b"));
  CHECK(result.outcome == ChangeOutcome::kAccepted);
  CHECK(result.generation == 2);
}

TEST_CASE_FIXTURE(WriterFixture,
                  "AuditChain, missing or modified record, is detected") {
  for (uint64_t n = 0; n < 4; ++n) {
    const std::string id = "op" + std::to_string(n);
    REQUIRE(Apply(MakeRequest(id, n, id)).generation == n + 1);
  }
  std::map<uint64_t, std::string> texts;
  for (uint64_t n = 1; n <= 4; ++n) {
    texts[n] = fleet.server.Read(AuditKey(n)).value;
  }
  const auto edited = [&](uint64_t n) {
    auto out = texts;
    out[n].replace(out[n].find("operator"), 8, "Operator");
    return out;
  };
  auto gap = texts;
  gap.erase(2);
  auto no_end = texts;
  no_end.erase(4);
  auto garbage = texts;
  garbage[3] = "{}";
  auto moved = texts;
  moved[3] = texts[2];
  const std::pair<const char*, std::map<uint64_t, std::string>> rows[] = {
      {"whole", texts},
      {"first edited", edited(1)},
      {"one edited", edited(3)},
      {"last edited", edited(4)},
      {"gap", gap},
      {"last missing", no_end},
      {"garbage", garbage},
      {"record of another change", moved},
  };
  for (const auto& row : rows) {
    CAPTURE(row.first);
    AuditChain chain;
    for (const auto& [n, text] : row.second) chain.Append(n, text);
    CHECK(chain.EndsWith(StoredManifest()) ==
          (std::string(row.first) == "whole"));
  }
}

}  // namespace
}  // namespace rwf
