#include "gateway/store_watch.h"

#include <doctest/doctest.h>

#include <deque>
#include <map>
#include <string>
#include <vector>

namespace rwf {
namespace {

constexpr Duration kMillisecond = std::chrono::milliseconds(1);

// A store whose calls the test completes by hand, in order.
class ManualStore : public RevisionStore {
 public:
  void Range(const std::string&, const std::string&, Duration,
             Callback<ItemPage> done) override {
    ranges.push_back(std::move(done));
  }
  void Watch(const std::string&, const StoreRevision& revision, Duration,
             Callback<ChangeSet> done) override {
    watched_from = revision;
    watches.push_back(std::move(done));
  }
  void Write(const ItemWrite&, Callback<StoreRevision>) override {}
  void Grant(Duration, Callback<GrantedLease>) override {}
  void KeepAlive(uint64_t, Callback<bool>) override {}
  void Release(uint64_t, Callback<bool>) override {}

  std::deque<Callback<ItemPage>> ranges;
  std::deque<Callback<ChangeSet>> watches;
  StoreRevision watched_from;
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
    CompleteRange(std::move(found), StoreRevision{0, revision}, more);
  }
  void CompleteRange(std::vector<StoreItem> found,
                     const StoreRevision& revision, bool more = false) {
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
  // Runs the loop for the given time.
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

TEST_CASE_FIXTURE(StoreWatchFixture,
                  "Watch, several pages, delivers all items") {
  watch.Start();
  CompleteRange({{"a", "1", {0, 3}, false}}, 7, true);
  CHECK_FALSE(watch.is_loaded());
  CompleteRange({{"b", "2", {0, 5}, false}}, 8);
  CHECK(watch.is_loaded());
  CHECK(items.size() == 2);
  // The pages are not a snapshot: changes after the first page are left to the
  // watch.
  CHECK(store.watched_from == StoreRevision{0, 7});
}

// Guards against counting the time of a slow reply as confirmed.
TEST_CASE_FIXTURE(StoreWatchFixture,
                  "Watch, reply received, confirms only the time it covers") {
  const TimePoint start = boot_time;
  watch.Start();
  boot_time += 900 * kMillisecond;
  CompleteRange({}, 1);
  CHECK(confirmed == start);
  const TimePoint watch_requested_at = boot_time;
  boot_time += StoreWatch::kWatchWait + 700 * kMillisecond;
  CompleteWatch(ChangeSet{{}, {0, 1}});
  CHECK(confirmed == watch_requested_at + StoreWatch::kWatchWait);
  const TimePoint second_watch_requested_at = boot_time;
  boot_time += 300 * kMillisecond;
  CompleteWatch(ChangeSet{{{"a", "1", {0, 2}, false}}, {0, 2}});
  CHECK(confirmed == second_watch_requested_at);
}

// Guards against hiding a deletion when the store discards its history or a
// watch delivers nothing.
TEST_CASE_FIXTURE(StoreWatchFixture, "Watch, changes missed, loads again") {
  struct Row {
    const char* name;
    Result<ChangeSet> answer;
  };
  const std::vector<Row> rows = {
      {"history gone", Fail(StoreErrc::kHistoryGone, "gone")},
      {"revision without events", ChangeSet{{}, {0, 99}}},
  };
  watch.Start();
  CompleteRange({{"a", "1", {0, 1}, false}, {"b", "1", {0, 2}, false}}, 3);
  uint64_t revision = 20;
  for (const Row& row : rows) {
    CAPTURE(row.name);
    CompleteWatch(row.answer);
    CHECK(store.watches.empty());
    revision += 10;
    CompleteRange({{"b", "2", {0, revision}, false}}, revision);
    CHECK(items == std::map<std::string, std::string>{{"b", "2"}});
  }
}

// Guards against applying a reply that is older than the known state.
TEST_CASE_FIXTURE(StoreWatchFixture, "Watch, older revision, is ignored") {
  watch.Start();
  CompleteRange({{"a", "new", {0, 9}, false}}, 9);
  CompleteWatch(ChangeSet{{{"a", "old", {0, 4}, false}}, {0, 9}});
  CHECK(items["a"] == "new");
}

// Guards against a VM that keeps what it knows when the store is restored from
// an older copy: its revisions go back and are given out again.
TEST_CASE_FIXTURE(StoreWatchFixture,
                  "Watch, store in a new era, takes over its contents") {
  std::vector<std::string> written;
  watch.signal_item.connect(
      [&](const StoreItem& it) { written.push_back(it.key); });
  watch.Start();
  CompleteRange({{"held", "1", {1, 2}, false},
                 {"lost", "1", {1, 8}, false},
                 {"older", "new", {1, 9}, false}},
                StoreRevision{1, 9});
  CompleteWatch(Fail(StoreErrc::kHistoryGone, "another era"));
  written.clear();
  CompleteRange({{"held", "1", {2, 2}, false}, {"older", "old", {2, 4}, false}},
                StoreRevision{2, 5});
  CHECK(items ==
        std::map<std::string, std::string>{{"held", "1"}, {"older", "old"}});
  // The value that is held still is not reported as written.
  CHECK(written == std::vector<std::string>{"older"});
  CHECK(store.watched_from == StoreRevision{2, 5});
  CHECK(watch.era_begin() == StoreRevision{2, 5});
  CHECK(watch.is_era_loaded());
  CompleteWatch(ChangeSet{{{"older", "newest", {2, 6}, false}}, {2, 6}});
  CHECK(items["older"] == "newest");
}

// Guards against a load that mixes the contents of two eras.
TEST_CASE_FIXTURE(StoreWatchFixture,
                  "Watch, new era between two pages, loads from the start") {
  watch.Start();
  CompleteRange({{"a", "1", {1, 3}, false}}, StoreRevision{1, 9}, true);
  CompleteRange({{"b", "1", {2, 4}, false}}, StoreRevision{2, 5}, true);
  CHECK_FALSE(watch.is_loaded());
  CompleteRange({{"c", "1", {2, 2}, false}}, StoreRevision{2, 6});
  CHECK(watch.is_loaded());
  CHECK(items == std::map<std::string, std::string>{{"c", "1"}});
}

// Guards against a VM that is shut out until it restarts, because the store was
// set up anew and counts its eras from the start.
TEST_CASE_FIXTURE(StoreWatchFixture,
                  "Watch, store in an earlier era, takes over its contents") {
  watch.Start();
  CompleteRange({{"a", "1", {9, 3}, false}, {"b", "1", {9, 4}, false}},
                StoreRevision{9, 9});
  CompleteWatch(Fail(StoreErrc::kHistoryGone, "another era"));
  CompleteRange({{"a", "0", {2, 1}, false}}, StoreRevision{2, 1});
  CHECK(items == std::map<std::string, std::string>{{"a", "0"}});
  CHECK(watch.revision() == StoreRevision{2, 1});
}

// Guards against taking one closed watch for an outage, which would keep
// entries that have been removed.
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
