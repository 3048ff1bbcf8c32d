#pragma once

#include <doctest/doctest.h>

#include <functional>
#include <optional>
#include <string>

#include "replica/store.h"

namespace rwf {

// An empty store and functions that control it.
struct StoreUnderTest {
  Store* store;
  std::function<void(Duration)> advance_time;
  // Drops the response of the next write after it took effect. May be empty.
  std::function<void()> lose_next_response;
};

namespace store_contract {

template <typename T>
struct Reply {
  std::optional<Result<T>> result;
  int calls = 0;

  Store::Callback<T> MakeCallback() {
    return [this](Result<T> r, TimePoint) {
      result = std::move(r);
      ++calls;
    };
  }
};

// Makes one call and advances time until its callback has run. Also checks that
// the callback does not run within the call.
template <typename T, typename F>
Result<T> Await(const StoreUnderTest& under_test, const F& call) {
  Reply<T> reply;
  call(reply.MakeCallback());
  CHECK(reply.calls == 0);
  for (int n = 0; n < 400 && reply.calls == 0; ++n) {
    under_test.advance_time(std::chrono::milliseconds(20));
  }
  REQUIRE(reply.calls == 1);
  return *reply.result;
}

inline Result<SwapOutcome> Swap(const StoreUnderTest& t, const std::string& key,
                                uint64_t version, const std::string& value) {
  return Await<SwapOutcome>(t, [&](auto done) {
    t.store->CompareAndSwap(key, version, value, "op", done);
  });
}

inline Result<StoreValue> Get(const StoreUnderTest& t, const std::string& key) {
  return Await<StoreValue>(t, [&](auto done) { t.store->Get(key, done); });
}

}  // namespace store_contract

// Runs the contract tests of Store. `make` returns a new empty store for each
// case. The store must remain valid until the next call of `make`.
inline void RunStoreContract(const std::function<StoreUnderTest()>& make) {
  using namespace store_contract;  // NOLINT(google-build-using-namespace)
  struct Row {
    const char* name;
    std::function<void(const StoreUnderTest&)> check;
  };
  const Row rows[] = {
      {"missing key has version 0",
       [](const StoreUnderTest& t) { CHECK(*Get(t, "k") == StoreValue{}); }},
      {"swap creates and replaces a value",
       [](const StoreUnderTest& t) {
         const auto first = Swap(t, "k", 0, "a");
         REQUIRE(first->applied);
         const auto second = Swap(t, "k", first->version, "b");
         REQUIRE(second->applied);
         CHECK(second->version > first->version);
         CHECK(*Get(t, "k") == StoreValue{"b", second->version});
       }},
      {"swap with a wrong version conflicts without effect",
       [](const StoreUnderTest& t) {
         const auto first = Swap(t, "k", 0, "a");
         CHECK(*Swap(t, "k", 0, "b") == SwapOutcome{false, first->version});
         CHECK(Get(t, "k")->value == "a");
         CHECK_FALSE(Swap(t, "new", first->version + 7, "b")->applied);
         CHECK(Get(t, "new")->version == 0);
       }},
      {"swap preserves arbitrary bytes",
       [](const StoreUnderTest& t) {
         const std::string value("\0\xff\n\"{}", 6);
         Swap(t, "k/ %2F", 0, value);
         CHECK(Get(t, "k/ %2F")->value == value);
       }},
      {"value over the size limit is rejected without effect",
       [](const StoreUnderTest& t) {
         const auto result =
             Swap(t, "k", 0, std::string(Store::kMaxValueBytes + 1, 'x'));
         REQUIRE_FALSE(result);
         CHECK(result.error().code == StoreErrc::kTooLarge);
         CHECK(Get(t, "k")->version == 0);
       }},
      {"list returns pages in key order",
       [](const StoreUnderTest& t) {
         for (const char* key : {"p/c", "p/a", "q/a", "p/b"}) {
           Swap(t, key, 0, key);
         }
         const auto list = [&](const std::string& after) {
           return *Await<StorePage>(
               t, [&](auto done) { t.store->List("p/", after, 2, done); });
         };
         const StorePage first = list("");
         REQUIRE(first.entries.size() == 2);
         CHECK(first.entries[0].key == "p/a");
         CHECK(first.entries[1].value.value == "p/b");
         CHECK(first.has_more);
         const StorePage last = list("p/b");
         REQUIRE(last.entries.size() == 1);
         CHECK(last.entries[0].key == "p/c");
         CHECK_FALSE(last.has_more);
       }},
      {"watch ends at a change, immediately after an earlier one",
       [](const StoreUnderTest& t) {
         Reply<StoreValue> reply;
         t.store->Watch("k", 0, std::chrono::seconds(5), reply.MakeCallback());
         t.advance_time(std::chrono::milliseconds(200));
         CHECK(reply.calls == 0);
         const auto swapped = Swap(t, "k", 0, "a");
         t.advance_time(std::chrono::milliseconds(200));
         REQUIRE(reply.calls == 1);
         CHECK(**reply.result == StoreValue{"a", swapped->version});
         CHECK(Await<StoreValue>(t, [&](auto done) {
                 t.store->Watch("k", 0, std::chrono::seconds(5), done);
               })->value == "a");
       }},
      {"watch without a change returns the current value",
       [](const StoreUnderTest& t) {
         const auto swapped = Swap(t, "k", 0, "a");
         CHECK(*Await<StoreValue>(t, [&](auto done) {
           t.store->Watch("k", swapped->version, std::chrono::seconds(1), done);
         }) == StoreValue{"a", swapped->version});
       }},
      {"lease is exclusive, can be renewed and released, and expires",
       [](const StoreUnderTest& t) {
         const auto acquire = [&](const char* holder) {
           return Await<StoreLease>(t, [&](auto done) {
             t.store->Acquire("l", holder, std::chrono::seconds(1), done);
           });
         };
         const auto renew = [&](const StoreLease& lease) {
           return Await<StoreLease>(
               t, [&](auto done) { t.store->Renew(lease, done); });
         };
         const auto first = acquire("a");
         REQUIRE(first);
         CHECK(acquire("b").error().code == StoreErrc::kConflict);
         t.advance_time(std::chrono::milliseconds(600));
         REQUIRE(renew(*first));
         t.advance_time(std::chrono::milliseconds(600));
         CHECK_FALSE(acquire("b"));
         t.advance_time(std::chrono::milliseconds(1100));
         const auto second = acquire("b");
         REQUIRE(second);
         CHECK(second->token > first->token);
         CHECK(renew(*first).error().code == StoreErrc::kConflict);
         CHECK(*Await<bool>(
             t, [&](auto done) { t.store->Release(*second, done); }));
         CHECK(acquire("a"));
       }},
      {"lost response of a write is reported as unknown outcome",
       [](const StoreUnderTest& t) {
         if (!t.lose_next_response) return;
         t.lose_next_response();
         const auto result = Swap(t, "k", 0, "a");
         REQUIRE_FALSE(result);
         CHECK(IsOutcomeUnknown(result.error()));
         CHECK(Get(t, "k")->value == "a");
       }},
  };
  for (const Row& row : rows) {
    CAPTURE(row.name);
    row.check(make());
  }
}

}  // namespace rwf
