#include "gateway/buffer_account.h"

#include <doctest/doctest.h>

#include <memory>
#include <random>
#include <vector>

namespace rwf {
namespace {

constexpr size_t kMiB = 1 << 20;

TimePoint At(int64_t ms) { return TimePoint(std::chrono::milliseconds(ms)); }

// Holders that drop their bytes when reclaimed.
class AccountFixture {
 protected:
  BufferAccount::Holder* Add(BufferUse use, size_t bytes, TimePoint now) {
    const size_t n = holders.size();
    holders.push_back(std::make_unique<BufferAccount::Holder>(
        &account, use, [this, n] { holders[n].reset(); }));
    holders.back()->Set(bytes, now);
    return holders.back().get();
  }
  size_t Held() const {
    size_t sum = 0;
    for (const auto& it : holders) sum += it == nullptr ? 0 : it->bytes();
    return sum;
  }

  BufferAccount account{80 * kMiB};
  std::vector<std::unique_ptr<BufferAccount::Holder>> holders;
};

// Guards against a VM of the smallest size that cannot serve the largest body.
TEST_CASE("Limit, of a VM with 160 MB, has room for a body of 64 MiB") {
  BufferAccount account(BufferAccount::LimitOf(160));
  BufferAccount::Holder holder(&account, BufferUse::kReceiving, [] {});
  holder.Set(64 * kMiB + 64 * 1024, At(0));
  CHECK_FALSE(account.is_scarce());
  CHECK(account.limit() == 80 * kMiB);
  CHECK(BufferAccount::LimitOf(0) == BufferAccount::kDefaultLimit);
}

// Guards against a sum that drifts from what is held.
TEST_CASE_FIXTURE(AccountFixture, "Account, any changes, has the sum") {
  std::minstd_rand random(1);
  for (int n = 0; n < 5000; ++n) {
    const TimePoint now = At(n);
    if (holders.size() < 20) Add(BufferUse::kSending, 0, now);
    auto& it = holders[random() % holders.size()];
    if (it == nullptr || random() % 10 == 0) {
      it.reset();
      const size_t at = static_cast<size_t>(&it - holders.data());
      it = std::make_unique<BufferAccount::Holder>(
          &account, BufferUse::kReceiving, [this, at] { holders[at].reset(); });
    }
    it->Set(random() % (8 * kMiB), now);
    CHECK(account.bytes() == Held());
    account.Reclaim(true, now);
    CHECK(account.bytes() == Held());
    CHECK(account.bytes() <= account.limit());
  }
}

// Guards against taking the memory of those that make progress for those that
// do not.
TEST_CASE_FIXTURE(AccountFixture,
                  "Reclaim, above the limit, takes the largest bytes x stall") {
  Add(BufferUse::kReceiving, 30 * kMiB, At(0));
  Add(BufferUse::kReceiving, 20 * kMiB, At(0));
  Add(BufferUse::kSending, 20 * kMiB, At(9000));
  Add(BufferUse::kResponse, 20 * kMiB, At(9000));
  holders[0]->OnProgress(At(9990));
  account.Reclaim(false, At(10'000));
  // 30 MiB without progress for 10 ms, 20 MiB for 10 s.
  CHECK(holders[0] != nullptr);
  CHECK(holders[1] == nullptr);
  CHECK(holders[2] != nullptr);
  CHECK(account.bytes() == 70 * kMiB);
}

// Guards against ending requests that instances may be running.
TEST_CASE_FIXTURE(AccountFixture,
                  "Reclaim, of requests being served only, takes none") {
  BufferAccount::Holder served(&account, BufferUse::kServed);
  served.Set(90 * kMiB, At(0));
  account.Reclaim(true, At(10'000));
  CHECK(served.bytes() == 90 * kMiB);
  // New large ones give way, since the others cannot.
  Add(BufferUse::kReceiving, kMiB, At(0));
  account.Reclaim(true, At(10'000));
  CHECK(holders[0] == nullptr);
}

// Guards against holders without progress that keep others from reading on, and
// against reclaiming where nobody waits.
TEST_CASE_FIXTURE(AccountFixture,
                  "Reclaim, memory scarce, takes a stalled one if awaited") {
  const TimePoint now = At(1000);
  const Duration stall = BufferAccount::kStallTime;
  Add(BufferUse::kReceiving, 70 * kMiB, now);
  REQUIRE(account.is_scarce());
  account.Reclaim(true, now + stall / 2);
  CHECK(holders[0] != nullptr);
  account.Reclaim(false, now + stall * 100);
  CHECK(holders[0] != nullptr);
  account.Reclaim(true, now + stall);
  CHECK(holders[0] == nullptr);
}

// Guards against a reclaim that never ends because a holder keeps its bytes.
TEST_CASE("Reclaim, holder keeps its bytes, ends") {
  BufferAccount account(10);
  int reclaims = 0;
  int exceeded = 0;
  account.signal_exceeded.connect([&] { ++exceeded; });
  BufferAccount::Holder holder(&account, BufferUse::kReceiving,
                               [&] { ++reclaims; });
  holder.Set(10, At(0));
  CHECK(exceeded == 0);
  holder.Set(11, At(0));
  CHECK(exceeded == 1);
  account.Reclaim(false, At(1));
  CHECK(reclaims == 1);
}

}  // namespace
}  // namespace rwf
