#pragma once

#include <algorithm>
#include <list>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "replica/store.h"
#include "virtual_clock.h"

namespace rwf {

// In-memory store on virtual time with fault injection.
class FakeStore {
 public:
  struct Faults {
    bool down = false;          // connections are refused
    bool hang_watches = false;  // watches never complete
    Duration latency = std::chrono::milliseconds(2);
    // Probabilities per call.
    double lose_request = 0;
    double late_write = 0;  // of a lost write taking effect up to 5 s later
    double lose_response = 0;
    double stale_read = 0;
    double throttle = 0;
    // Loses the call of this number, counted from 1.
    uint64_t lose_request_call = 0;
    uint64_t lose_response_call = 0;
    bool delay_lost_writes = false;  // lost writes take effect 3 s later
  };

  FakeStore(VirtualClock* clock, uint64_t seed)
      : clock_(clock), random_(seed) {}

  // Returns the current value without making a call.
  StoreValue Read(const std::string& key) const {
    const auto it = values_.find(key);
    return it == values_.end() ? StoreValue{} : it->second.back();
  }
  // Replaces a value directly, as external corruption would.
  void Write(const std::string& key, const std::string& value) {
    values_[key].push_back({value, ++version_});
    NotifyWatchers();
  }
  std::vector<std::string> Keys(const std::string& prefix) const {
    std::vector<std::string> out;
    for (const auto& [key, versions] : values_) {
      if (key.starts_with(prefix)) out.push_back(key);
    }
    return out;
  }
  uint64_t calls() const { return calls_; }

  Faults faults;
  std::vector<PlatformVm> vms;

 private:
  friend class FakeStoreClient;

  struct Watcher {
    std::string key;
    uint64_t after = 0;
    std::function<void(bool connected)> end;
  };

  bool DrawFault(double probability) {
    return probability > 0 &&
           std::uniform_real_distribution<double>()(random_) < probability;
  }

  StoreValue Get(const std::string& key) {
    const auto it = values_.find(key);
    if (it == values_.end()) return {};
    if (!DrawFault(faults.stale_read)) return it->second.back();
    const size_t n = random_() % (it->second.size() + 1);
    return n == 0 ? StoreValue{} : it->second[n - 1];
  }

  Result<SwapOutcome> Swap(const std::string& key, uint64_t expected,
                           const std::string& value) {
    if (value.size() > Store::kMaxValueBytes) {
      return Fail(StoreErrc::kTooLarge, key);
    }
    const uint64_t current = Read(key).version;
    if (current != expected) return SwapOutcome{false, current};
    Write(key, value);
    return SwapOutcome{true, version_};
  }

  void NotifyWatchers() {
    for (auto it = watchers_.begin(); it != watchers_.end();) {
      if (Read(it->key).version == it->after) {
        ++it;
        continue;
      }
      const auto end = std::move(it->end);
      it = watchers_.erase(it);
      end(true);
    }
  }

  VirtualClock* clock_;
  std::mt19937_64 random_;
  std::map<std::string, std::vector<StoreValue>> values_;
  std::map<std::string, std::pair<StoreLease, TimePoint>> leases_;
  std::list<Watcher> watchers_;
  uint64_t version_ = 0;
  uint64_t token_ = 0;
  uint64_t calls_ = 0;
};

// The connection of one VM to a FakeStore.
class FakeStoreClient : public Store {
 public:
  FakeStoreClient(FakeStore* server, VirtualClock* clock)
      : server_(server), clock_(clock) {}

  // If false, the store is partitioned: pending and new calls time out.
  bool connected = true;

  void Get(const std::string& key, Callback<StoreValue> done) override {
    Call<StoreValue>(
        false,
        [server = server_, key]() -> Result<StoreValue> {
          return server->Get(key);
        },
        std::move(done));
  }
  void CompareAndSwap(const std::string& key, uint64_t expected_version,
                      const std::string& value, const std::string&,
                      Callback<SwapOutcome> done) override {
    Call<SwapOutcome>(
        true,
        [=, server = server_] {
          return server->Swap(key, expected_version, value);
        },
        std::move(done));
  }
  void List(const std::string& prefix, const std::string& after, size_t limit,
            Callback<StorePage> done) override {
    Call<StorePage>(
        false,
        [=, server = server_]() -> Result<StorePage> {
          StorePage out;
          for (const std::string& key : server->Keys(prefix)) {
            if (key <= after) continue;
            out.has_more = out.entries.size() == limit;
            if (out.has_more) break;
            out.entries.push_back({key, server->Read(key)});
          }
          return out;
        },
        std::move(done));
  }
  void Watch(const std::string& key, uint64_t after_version, Duration timeout,
             Callback<StoreValue> done) override {
    const bool lost = server_->DrawFault(server_->faults.lose_response);
    Call<StoreValue>(
        false,
        [server = server_]() -> Result<StoreValue> { return StoreValue{}; },
        [=, this](const Result<StoreValue>& begun, TimePoint now) {
          if (!begun) return done(begun, now);
          if (server_->faults.hang_watches) return;
          auto ended = std::make_shared<bool>(false);
          const auto end = [=, this](bool answered) {
            if (std::exchange(*ended, true)) return;
            if (!answered || !connected || lost) {
              clock_->After(kCallTimeout, [=, this] {
                done(Fail(StoreErrc::kUnavailable, key), clock_->now);
              });
              return;
            }
            const StoreValue value = server_->Read(key);
            clock_->After(server_->faults.latency / 2,
                          [=, this] { done(value, clock_->now); });
          };
          server_->watchers_.push_back({key, after_version, end});
          clock_->After(timeout, [=] { end(true); });
          server_->NotifyWatchers();
        });
  }
  void Acquire(const std::string& name, const std::string& holder, Duration ttl,
               Callback<StoreLease> done) override {
    Call<StoreLease>(
        true,
        [=, this]() -> Result<StoreLease> {
          auto& [lease, until] = server_->leases_[name];
          if (until > clock_->now && lease.holder != holder) {
            return Fail(StoreErrc::kConflict, lease.holder);
          }
          lease = {name, holder, ++server_->token_, ttl};
          until = clock_->now + ttl;
          return lease;
        },
        std::move(done));
  }
  void Renew(const StoreLease& lease, Callback<StoreLease> done) override {
    Call<StoreLease>(
        true,
        [=, this]() -> Result<StoreLease> {
          auto& [held, until] = server_->leases_[lease.name];
          if (held != lease || until <= clock_->now) {
            return Fail(StoreErrc::kConflict, held.holder);
          }
          until = clock_->now + lease.ttl;
          return held;
        },
        std::move(done));
  }
  void Release(const StoreLease& lease, Callback<bool> done) override {
    Call<bool>(
        true,
        [=, this]() -> Result<bool> {
          auto& [held, until] = server_->leases_[lease.name];
          if (held != lease) return false;
          until = {};
          return true;
        },
        std::move(done));
  }
  void ListVms(Callback<std::vector<PlatformVm>> done) override {
    Call<std::vector<PlatformVm>>(
        false,
        [server = server_]() -> Result<std::vector<PlatformVm>> {
          return server->vms;
        },
        std::move(done));
  }

 private:
  template <typename T>
  void Call(bool is_write, std::function<Result<T>()> execute,
            Callback<T> done) {
    FakeStore& server = *server_;
    const FakeStore::Faults& faults = server.faults;
    ++server.calls_;
    const auto fail = [=, this](StoreErrc code, Duration after) {
      clock_->After(after, [=, this] {
        done(Fail(code, "injected store fault"), clock_->now);
      });
    };
    const auto lost = [&] {
      fail(is_write ? StoreErrc::kUnknownOutcome : StoreErrc::kUnavailable,
           kCallTimeout);
    };
    const Duration half = faults.latency / 2;
    if (!connected) return lost();
    if (faults.down) return fail(StoreErrc::kUnavailable, half);
    if (server.DrawFault(faults.throttle)) {
      return fail(StoreErrc::kThrottled, half);
    }
    if (server.DrawFault(faults.lose_request) ||
        server.calls_ == faults.lose_request_call) {
      if (is_write && server.DrawFault(faults.late_write)) {
        clock_->After(std::chrono::milliseconds(server.random_() % 5000),
                      [execute] { (void)execute(); });
      }
      if (is_write && faults.delay_lost_writes) {
        clock_->After(std::chrono::seconds(3), [execute] { (void)execute(); });
      }
      return lost();
    }
    const bool response_lost = server.DrawFault(faults.lose_response) ||
                               server.calls_ == faults.lose_response_call;
    clock_->After(half, [=, this] {
      const Result<T> result = execute();
      if (response_lost || !connected) {
        fail(is_write ? StoreErrc::kUnknownOutcome : StoreErrc::kUnavailable,
             kCallTimeout - half);
        return;
      }
      clock_->After(half, [=, this] { done(result, clock_->now); });
    });
  }

  FakeStore* server_;
  VirtualClock* clock_;
};

}  // namespace rwf
