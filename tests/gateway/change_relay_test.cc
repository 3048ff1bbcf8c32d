#include "gateway/change_relay.h"

#include <doctest/doctest.h>

#include <map>
#include <random>
#include <string>
#include <vector>

#include "gateway/relayed_store.h"

namespace rwf {
namespace {

constexpr Duration kMillisecond = std::chrono::milliseconds(1);

StoreItem Item(const std::string& key, uint64_t revision,
               bool is_deleted = false) {
  return {key,
          is_deleted ? "" : std::to_string(revision),
          {0, revision},
          is_deleted};
}

class ChangeRelayFixture {
 protected:
  ChangeRelayFixture() {
    relay.signal_reply.connect(
        [this](const std::string& vm, const wire::ChangesReplyT& it) {
          replies.emplace_back(vm, it);
        });
    relay.OnLoaded({0, 10});
    relay.OnConfirmed({0, 10}, now, now);
  }
  void SendRequest(uint64_t number) { SendRequest({0, number}); }
  void SendRequest(const StoreRevision& revision, uint32_t wait_ms = 500) {
    wire::ChangesRequestT request;
    request.id = ++request_count;
    request.era = revision.era;
    request.revision = revision.number;
    request.wait_ms = wait_ms;
    relay.OnRequest("v2", request, now);
  }

  ChangeRelay relay;
  TimePoint now{std::chrono::hours(9)};
  std::vector<std::pair<std::string, wire::ChangesReplyT>> replies;
  uint64_t request_count = 0;
};

TEST_CASE_FIXTURE(ChangeRelayFixture,
                  "Relay, change confirmed, replies at once") {
  SendRequest(10);
  CHECK(replies.empty());
  now += 100 * kMillisecond;
  relay.OnChange(Item("a", 12), now);
  CHECK(replies.empty());
  relay.OnConfirmed({0, 12}, now - 30 * kMillisecond, now);
  REQUIRE(replies.size() == 1);
  const wire::ChangesReplyT& reply = replies.front().second;
  REQUIRE(reply.changes.size() == 1);
  CHECK(reply.changes.front()->key == "a");
  CHECK(reply.revision == 12);
  CHECK(reply.held_us == 100'000);
  CHECK(reply.age_us == 30'000);
}

// Guards against a VM that was suspended and reports its old state as current.
TEST_CASE_FIXTURE(
    ChangeRelayFixture,
    "Relay, suspended before the reply, reports the age of its state") {
  SendRequest(10);
  now += std::chrono::seconds(7);
  relay.Tick(now);
  REQUIRE(replies.size() == 1);
  CHECK(replies.front().second.age_us == 7'000'000);
}

TEST_CASE_FIXTURE(ChangeRelayFixture,
                  "Relay, store lost, replies to waiting VMs at once") {
  SendRequest(10);
  relay.OnLost(now);
  REQUIRE(replies.size() == 1);
  CHECK(replies.front().second.is_store_lost);
  SendRequest(10);
  CHECK(replies.size() == 2);
  relay.OnConfirmed({0, 10}, now, now);
  SendRequest(10);
  CHECK(replies.size() == 2);
}

// Guards against a follower that misses changes which have been evicted.
TEST_CASE_FIXTURE(ChangeRelayFixture,
                  "Relay, changes evicted, reports that the history is gone") {
  SendRequest(9);
  REQUIRE(replies.size() == 1);
  CHECK(replies.back().second.is_history_gone);
  relay.OnChange(Item("a", 11), now);
  relay.OnConfirmed({0, 11}, now, now);
  now += ChangeRelay::kRetention + kMillisecond;
  relay.Tick(now);
  relay.OnConfirmed({0, 11}, now, now);
  SendRequest(10);
  REQUIRE(replies.size() == 2);
  CHECK(replies.back().second.is_history_gone);
  SendRequest(11);
  CHECK(replies.size() == 2);
}

// Guards against a follower that keeps a key for good: the relay VM read its
// page after the removal, lost the store, and loaded again past the removal.
TEST_CASE_FIXTURE(ChangeRelayFixture,
                  "Relay, two loads without a watch between, makes followers "
                  "load") {
  relay.OnLoaded({0, 12});
  relay.OnConfirmed({0, 12}, now, now);
  SendRequest(10);
  REQUIRE(replies.size() == 1);
  CHECK(replies.back().second.is_history_gone);
  // The watch tells of all removals since the load.
  relay.OnConfirmed({0, 12}, now, now);
  relay.OnLoaded({0, 14});
  relay.OnConfirmed({0, 14}, now, now);
  SendRequest({0, 12}, 0);
  relay.Tick(now);
  REQUIRE(replies.size() == 2);
  CHECK_FALSE(replies.back().second.is_history_gone);
}

// Guards against a VM that follows a relay VM, relays what it heard to others,
// and lacks a removal that the first one did not see itself.
TEST_CASE_FIXTURE(ChangeRelayFixture,
                  "Relay, heard changes with a gap, makes VMs in the gap load "
                  "and tells others of it") {
  relay.OnConfirmed({0, 10}, now, now);
  relay.OnChange(Item("a", 15), now);
  relay.OnGap({0, 15});
  relay.OnConfirmed({0, 15}, now, now);
  SendRequest(12);
  REQUIRE(replies.size() == 1);
  CHECK(replies.back().second.is_history_gone);
  SendRequest(10);
  REQUIRE(replies.size() == 2);
  CHECK_FALSE(replies.back().second.is_history_gone);
  CHECK(replies.back().second.has_gap);
  SendRequest({0, 15}, 0);
  relay.Tick(now);
  REQUIRE(replies.size() == 3);
  CHECK_FALSE(replies.back().second.has_gap);
}

// Guards against followers that go on with what they know when the store is
// restored from an older copy, whose revisions are given out again.
TEST_CASE_FIXTURE(ChangeRelayFixture,
                  "Relay, new era of the store, makes followers load") {
  SendRequest({0, 10});
  relay.OnNewEra(1, now);
  REQUIRE(replies.size() == 1);
  CHECK(replies.back().second.is_store_lost);
  relay.OnChange({"a", "8", {1, 8}, false}, now);
  // The load is not complete.
  SendRequest({0, 10});
  REQUIRE(replies.size() == 2);
  CHECK(replies.back().second.is_store_lost);
  CHECK(replies.back().second.changes.empty());
  relay.OnLoaded({1, 9});
  relay.OnConfirmed({1, 9}, now, now);
  for (const StoreRevision& revision :
       {StoreRevision{0, 10}, StoreRevision{0, 9}, StoreRevision{1, 8},
        StoreRevision{2, 9}}) {
    CAPTURE(revision.era);
    CAPTURE(revision.number);
    const size_t n = replies.size();
    SendRequest(revision);
    REQUIRE(replies.size() == n + 1);
    CHECK(replies.back().second.is_history_gone);
    CHECK(replies.back().second.era == 1);
  }
  const size_t n = replies.size();
  SendRequest({1, 9});
  CHECK(replies.size() == n);
}

TEST_CASE_FIXTURE(ChangeRelayFixture,
                  "Relay, request without an era, is of its own era") {
  relay.OnNewEra(4, now);
  relay.OnLoaded({4, 9});
  relay.OnConfirmed({4, 9}, now, now);
  wire::ChangesRequestT request;
  request.id = 1;
  request.revision = 9;
  request.wait_ms = 500;
  relay.OnRequest("v2", request, now);
  CHECK(replies.empty());
}

// Guards against followers whose contents differ from the store after any order
// of changes, deletions, reloads and requests.
TEST_CASE("Relay, random changes, keeps followers equal to the store") {
  for (uint64_t seed = 1; seed <= 200; ++seed) {
    CAPTURE(seed);
    std::mt19937_64 rng(seed);
    ChangeRelay relay;
    TimePoint now{std::chrono::hours(1)};
    uint64_t revision = 5;
    std::map<std::string, std::string> store;
    std::map<std::string, std::string> follower;
    uint64_t known_revision = 5;
    relay.OnLoaded({0, 5});
    relay.OnConfirmed({0, 5}, now, now);
    bool history_lost = false;
    relay.signal_reply.connect(
        [&](const std::string&, const wire::ChangesReplyT& reply) {
          history_lost = reply.is_history_gone;
          if (history_lost) return;
          for (const auto& it : reply.changes) {
            if (it->is_deleted) {
              follower.erase(it->key);
            } else {
              follower[it->key] = it->value;
            }
          }
          known_revision = reply.revision;
        });
    for (int step = 0; step < 300; ++step) {
      now += (rng() % 400) * kMillisecond;
      const uint64_t changes = rng() % 4;
      for (uint64_t n = 0; n < changes; ++n) {
        const std::string key = "k" + std::to_string(rng() % 12);
        const bool is_deleted = store.contains(key) && rng() % 3 == 0;
        const StoreItem it = Item(key, ++revision, is_deleted);
        if (is_deleted) {
          store.erase(key);
        } else {
          store[key] = it.value;
        }
        relay.OnChange(it, now);
      }
      relay.OnConfirmed({0, revision}, now, now);
      relay.Tick(now);
      if (rng() % 3 != 0) continue;
      wire::ChangesRequestT request;
      request.id = static_cast<uint64_t>(step);
      request.revision = known_revision;
      request.wait_ms = 0;
      relay.OnRequest("v", request, now);
      relay.Tick(now);
      if (history_lost) {
        // The follower reloads from the store.
        follower = store;
        known_revision = revision;
      }
      CHECK(follower == store);
    }
  }
}

// A store that records its watches; the test completes them.
class RecordingStore : public RevisionStore {
 public:
  void Range(const std::string&, const std::string&, Duration,
             Callback<ItemPage>) override {}
  void Watch(const std::string&, const StoreRevision&, Duration wait,
             Callback<ChangeSet> done) override {
    last_wait = wait;
    watches.push_back(std::move(done));
  }
  void Write(const ItemWrite&, Callback<StoreRevision>) override {}
  void Grant(Duration, Callback<GrantedLease>) override {}
  void KeepAlive(uint64_t, Callback<bool> done) override {
    done(Fail(StoreErrc::kUnavailable, "request rejected"));
  }
  void Release(uint64_t, Callback<bool>) override {}
  std::vector<Callback<ChangeSet>> watches;
  Duration last_wait{};
};

class RelayedStoreFixture {
 protected:
  static constexpr uint64_t kEra = 3;

  RelayedStoreFixture() {
    RelayedStore::Callbacks callbacks;
    callbacks.relay = [this] { return relay; };
    callbacks.is_relay = [this] { return is_relay; };
    callbacks.send = [this](const std::string&,
                            const wire::ChangesRequestT& it) {
      sent_requests.push_back(it);
      return has_link;
    };
    callbacks.boot_now = [this] { return boot_time; };
    relayed_store = std::make_unique<RelayedStore>(&loop, &store, callbacks);
  }
  void Watch() {
    relayed_store->Watch(
        "", {kEra, 10}, std::chrono::seconds(2),
        [this](const Result<ChangeSet>& it) { results.push_back(it); });
  }
  wire::ChangesReplyT Reply(Duration held, Duration age) const {
    wire::ChangesReplyT out;
    out.id = sent_requests.back().id;
    out.era = kEra;
    out.revision = 10;
    out.held_us = static_cast<uint64_t>(held / std::chrono::microseconds(1));
    out.age_us = static_cast<uint64_t>(age / std::chrono::microseconds(1));
    return out;
  }
  void RunFor(Duration d) {
    const auto timer = loop.After(d, [this] { loop.Stop(); });
    loop.Run();
  }

  EventLoop loop;
  RecordingStore store;
  std::string relay = "v1";
  bool is_relay = false;
  bool has_link = true;
  TimePoint boot_time{std::chrono::hours(3)};
  std::vector<wire::ChangesRequestT> sent_requests;
  std::vector<Result<ChangeSet>> results;
  std::unique_ptr<RelayedStore> relayed_store;
};

TEST_CASE_FIXTURE(RelayedStoreFixture,
                  "Watch, relay VM replies, does not call the store") {
  Watch();
  REQUIRE(sent_requests.size() == 1);
  relayed_store->OnReply("v1", Reply(400 * kMillisecond, 100 * kMillisecond));
  REQUIRE(results.size() == 1);
  CHECK(results.front()->current_after == 300 * kMillisecond);
  CHECK(store.watches.empty());
}

// Guards against a VM that falls behind the store because its relay VM is
// disconnected, suspended, removed or behind itself.
TEST_CASE_FIXTURE(RelayedStoreFixture,
                  "Watch, relay VM without a usable reply, calls the store") {
  SUBCASE("no link") {
    has_link = false;
    Watch();
  }
  SUBCASE("relay VM lost the store") {
    Watch();
    wire::ChangesReplyT reply = Reply({}, {});
    reply.is_store_lost = true;
    relayed_store->OnReply("v1", reply);
  }
  SUBCASE("state of the relay VM is too old") {
    Watch();
    relayed_store->OnReply("v1",
                           Reply({}, RelayedStore::kMaxAge + kMillisecond));
  }
  SUBCASE("relay VM in an earlier era") {
    Watch();
    wire::ChangesReplyT reply = Reply({}, {});
    reply.era = kEra - 1;
    relayed_store->OnReply("v1", reply);
  }
  SUBCASE("silent") {
    Watch();
    RunFor(RelayedStore::kRelayWait + RelayedStore::kRelayTimeoutMargin +
           50 * kMillisecond);
  }
  SUBCASE("reply to an earlier request") {
    Watch();
    wire::ChangesReplyT late = Reply({}, {});
    late.id += 7;
    relayed_store->OnReply("v1", late);
    CHECK(results.empty());
    RunFor(RelayedStore::kRelayWait + RelayedStore::kRelayTimeoutMargin +
           50 * kMillisecond);
  }
  REQUIRE(store.watches.size() == 1);
  CHECK(store.last_wait == RelayedStore::kFallbackWait);
  boot_time += 5 * kMillisecond;
  store.watches.front()(ChangeSet{{}, {kEra, 10}, std::nullopt});
  REQUIRE(results.size() == 1);
  // A reply before the wait is over confirms the state only up to the call.
  CHECK(results.front()->current_after == Duration::zero());
}

// Guards against a VM that takes itself for current because its relay VM knows
// no change after a revision that was given out again.
TEST_CASE_FIXTURE(RelayedStoreFixture,
                  "Watch, relay VM in a later era, has to load") {
  Watch();
  CHECK(sent_requests.back().era == kEra);
  wire::ChangesReplyT reply = Reply({}, {});
  reply.era = kEra + 1;
  relayed_store->OnReply("v1", reply);
  REQUIRE(results.size() == 1);
  REQUIRE_FALSE(results.front().has_value());
  CHECK(results.front().error().code == StoreErrc::kHistoryGone);
}

TEST_CASE_FIXTURE(RelayedStoreFixture,
                  "Watch, reply without an era, is of the era requested") {
  Watch();
  wire::ChangesReplyT reply = Reply({}, {});
  reply.era = flatbuffers::nullopt;
  relayed_store->OnReply("v1", reply);
  REQUIRE(results.size() == 1);
  REQUIRE(results.front().has_value());
  CHECK(results.front()->revision == StoreRevision{kEra, 10});
}

// Guards against taking the reply to a request of the former process of this VM
// for one to its own.
TEST_CASE("Relayed store, started twice, numbers its requests differently") {
  std::vector<uint64_t> ids;
  for (int n = 0; n < 2; ++n) {
    EventLoop loop;
    RecordingStore store;
    RelayedStore::Callbacks callbacks;
    callbacks.relay = [] { return "v1"; };
    callbacks.send = [&](const std::string&, const wire::ChangesRequestT& it) {
      ids.push_back(it.id);
      return true;
    };
    callbacks.boot_now = &EventLoop::Now;
    RelayedStore relayed_store(&loop, &store, callbacks);
    relayed_store.Watch("", {0, 1}, std::chrono::seconds(1),
                        [](const Result<ChangeSet>&) {});
  }
  REQUIRE(ids.size() == 2);
  CHECK(ids[0] != ids[1]);
}

TEST_CASE_FIXTURE(RelayedStoreFixture,
                  "Watch, VM is a relay, waits for a shorter time") {
  relay = "";
  is_relay = true;
  Watch();
  CHECK(store.last_wait == RelayedStore::kWaitAsRelay);
  boot_time += RelayedStore::kWaitAsRelay;
  store.watches.front()(ChangeSet{{}, {0, 10}, std::nullopt});
  REQUIRE(results.size() == 1);
  CHECK(results.front()->current_after == RelayedStore::kWaitAsRelay);
}

// Guards against a VM that the store rejects and that offers to relay again
// each time it has received changes from another VM.
TEST_CASE_FIXTURE(RelayedStoreFixture,
                  "Store, own call failed, is unreliable for a while") {
  CHECK(relayed_store->IsStoreReliable(boot_time));
  relayed_store->KeepAlive(1, [](const Result<bool>&) {});
  CHECK_FALSE(relayed_store->IsStoreReliable(boot_time));
  boot_time += RelayedStore::kStoreFailureHoldoff + kMillisecond;
  CHECK(relayed_store->IsStoreReliable(boot_time));
}

}  // namespace
}  // namespace rwf
