#include "gateway/store_watch.h"

#include <doctest/doctest.h>

#include <deque>
#include <map>
#include <string>
#include <vector>

namespace rwf {
namespace {

constexpr Duration kMillisecond = std::chrono::milliseconds(1);

// A store whose answers the test gives by hand, in the order of the calls.
class ManualStore : public RevisionStore {
 public:
  void Range(const std::string&, const std::string&, Duration,
             Callback<ItemPage> done) override {
    ranges.push_back(std::move(done));
  }
  void Watch(const std::string&, uint64_t revision, Duration,
             Callback<ChangeSet> done) override {
    watched_from = revision;
    watches.push_back(std::move(done));
  }
  void Write(const ItemWrite&, Callback<uint64_t>) override {}
  void Grant(Duration, Callback<GrantedLease>) override {}
  void KeepAlive(uint64_t, Callback<bool>) override {}
  void Release(uint64_t, Callback<bool>) override {}

  std::deque<Callback<ItemPage>> ranges;
  std::deque<Callback<ChangeSet>> watches;
  uint64_t watched_from = 0;
};

class StoreWatchFixture {
 protected:
  StoreWatchFixture() {
    watch.signal_item.connect(
        [this](const StoreItem& it) { items[it.key] = it.value; });
    watch.signal_removed.connect(
        [this](const std::string& key) { items.erase(key); });
    watch.signal_confirmed.connect([this](TimePoint t) { confirmed = t; });
  }
  void CompleteRange(std::vector<StoreItem> found, uint64_t revision,
                     bool more = false) {
    REQUIRE(!store.ranges.empty());
    const auto done = std::move(store.ranges.front());
    store.ranges.pop_front();
    done(ItemPage{std::move(found), more, revision});
  }
  void CompleteWatch(Result<ChangeSet> changes) {
    REQUIRE(!store.watches.empty());
    const auto done = std::move(store.watches.front());
    store.watches.pop_front();
    done(std::move(changes));
  }
  // Lets timers of the loop run.
  void RunFor(Duration d) {
    const auto timer = loop.After(d, [this] { loop.Stop(); });
    loop.Run();
  }

  EventLoop loop;
  ManualStore store;
  TimePoint boot_time{std::chrono::hours(5)};
  StoreWatch watch{&loop, &store, [this] { return boot_time; }};
  std::map<std::string, std::string> items;
  TimePoint confirmed{};
};

TEST_CASE_FIXTURE(StoreWatchFixture, "Watch, several pages, delivers all") {
  watch.Start();
  CompleteRange({{"a", "1", 3, false}}, 7, true);
  CHECK_FALSE(watch.is_loaded());
  CompleteRange({{"b", "2", 5, false}}, 8);
  CHECK(watch.is_loaded());
  CHECK(items.size() == 2);
  // Pages are no snapshot: changes after the first page are watched for.
  CHECK(store.watched_from == 7);
}

// Guards against keys counting as confirmed for the time of a slow answer.
TEST_CASE_FIXTURE(StoreWatchFixture,
                  "Watch, answered, confirms no later than it knows") {
  const TimePoint start = boot_time;
  watch.Start();
  boot_time += 900 * kMillisecond;
  CompleteRange({}, 1);
  CHECK(confirmed == start);
  const TimePoint watch_requested_at = boot_time;
  boot_time += StoreWatch::kWatchWait + 700 * kMillisecond;
  CompleteWatch(ChangeSet{{}, 1});
  CHECK(confirmed == watch_requested_at + StoreWatch::kWatchWait);
  const TimePoint second_watch_requested_at = boot_time;
  boot_time += 300 * kMillisecond;
  CompleteWatch(ChangeSet{{{"a", "1", 2, false}}, 2});
  CHECK(confirmed == second_watch_requested_at);
}

// Guards against a store that drops its history, or a watch that hears nothing,
// hiding a removal.
TEST_CASE_FIXTURE(StoreWatchFixture,
                  "Watch, changes that were missed, are read again") {
  struct Row {
    const char* name;
    Result<ChangeSet> answer;
  };
  const std::vector<Row> rows = {
      {"history gone", Fail(StoreErrc::kHistoryGone, "gone")},
      {"revision without events", ChangeSet{{}, 99}},
  };
  watch.Start();
  CompleteRange({{"a", "1", 1, false}, {"b", "1", 2, false}}, 3);
  uint64_t revision = 20;
  for (const Row& row : rows) {
    CAPTURE(row.name);
    CompleteWatch(row.answer);
    CHECK(store.watches.empty());
    revision += 10;
    CompleteRange({{"b", "2", revision, false}}, revision);
    CHECK(items == std::map<std::string, std::string>{{"b", "2"}});
  }
}

// Guards against an answer that is older than what is known already.
TEST_CASE_FIXTURE(StoreWatchFixture, "Watch, older revision, is not taken") {
  watch.Start();
  CompleteRange({{"a", "new", 9, false}}, 9);
  CompleteWatch(ChangeSet{{{"a", "old", 4, false}}, 9});
  CHECK(items["a"] == "new");
}

// Guards against one cut watch being taken for an outage, after which entries
// that are gone would be kept.
TEST_CASE_FIXTURE(
    StoreWatchFixture,
    "Watch, single failure, is no outage; failures in a row are") {
  watch.Start();
  CompleteRange({}, 1);
  CompleteWatch(Fail(StoreErrc::kUnavailable, "cut"));
  RunFor(2 * StoreWatch::kInitialBackoff);
  CompleteRange({}, 1);
  CHECK_FALSE(watch.had_outage());
  CompleteWatch(Fail(StoreErrc::kUnavailable, "down"));
  const TimePoint end = EventLoop::Now() + 2 * StoreWatch::kMinOutage;
  while (EventLoop::Now() < end) {
    RunFor(50 * kMillisecond);
    if (store.ranges.empty()) continue;
    const auto done = std::move(store.ranges.front());
    store.ranges.pop_front();
    done(Fail(StoreErrc::kUnavailable, "down"));
  }
  while (store.ranges.empty()) RunFor(50 * kMillisecond);
  CHECK(watch.is_failing());
  CompleteRange({}, 1);
  CHECK(watch.had_outage());
  CHECK_FALSE(watch.is_failing());
}

}  // namespace
}  // namespace rwf
