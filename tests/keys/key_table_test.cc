#include "keys/key_table.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <random>

namespace rwf {
namespace {

class KeyTableFixture {
 protected:
  KeyTableFixture() {
    for (int w = 0; w < 3; ++w) {
      Workspace workspace;
      workspace.name = "ws" + std::to_string(w);
      for (int k = 0; k < 4; ++k) {
        workspace.keys.push_back(Sha256(KeyText(w, k)));
      }
      config_.workspaces.push_back(workspace);
    }
    table_ = KeyTable(config_);
  }

  static std::string KeyText(int w, int k) {
    return "key-" + std::to_string(w) + "-" + std::to_string(k);
  }

  Config config_;
  KeyTable table_;
  WithdrawalSet withdrawn_;
};

TEST_CASE_FIXTURE(KeyTableFixture,
                  "KeyTable, each key, maps to its workspace and other texts "
                  "are unknown") {
  CHECK(table_.size() == 12);
  for (int w = 0; w < 3; ++w) {
    for (int k = 0; k < 4; ++k) {
      const KeyLookup found = table_.Lookup(KeyText(w, k), withdrawn_);
      CHECK(found.verdict == KeyVerdict::kValid);
      CHECK(found.workspace == static_cast<uint32_t>(w));
      // An extension of a key must not count as the key.
      CHECK(table_.Lookup(KeyText(w, k) + "x", withdrawn_).verdict ==
            KeyVerdict::kUnknown);
    }
  }
  CHECK(table_.Lookup("", withdrawn_).verdict == KeyVerdict::kUnknown);
  CHECK(KeyTable().Lookup("key-0-0", withdrawn_).verdict ==
        KeyVerdict::kUnknown);
}

TEST_CASE_FIXTURE(KeyTableFixture,
                  "KeyTable, withdrawn key, is refused at look-up and when a "
                  "queued request is checked again") {
  const KeyLookup before = table_.Lookup(KeyText(1, 2), withdrawn_);
  CHECK(before.verdict == KeyVerdict::kValid);
  withdrawn_.Add(Sha256(KeyText(1, 2)));
  CHECK(table_.Lookup(KeyText(1, 2), withdrawn_).verdict ==
        KeyVerdict::kWithdrawn);
  CHECK(table_.Recheck(before.digest, withdrawn_).verdict ==
        KeyVerdict::kWithdrawn);
  CHECK(table_.Lookup(KeyText(1, 1), withdrawn_).verdict == KeyVerdict::kValid);
  // A withdrawn key stays refused after the configuration removes it.
  config_.workspaces[1].keys.clear();
  CHECK(KeyTable(config_).Lookup(KeyText(1, 2), withdrawn_).verdict ==
        KeyVerdict::kWithdrawn);
}

TEST_CASE("WithdrawalSet, any order of insertion, gives the same set digest") {
  std::mt19937_64 random(3);
  std::vector<Digest> digests;
  digests.reserve(50);
  for (int i = 0; i < 50; ++i) digests.push_back(Sha256(std::to_string(i)));
  WithdrawalSet first;
  CHECK(first.set_digest().IsZero());
  first.Merge(digests);
  for (int round = 0; round < 20; ++round) {
    std::shuffle(digests.begin(), digests.end(), random);
    WithdrawalSet other;
    for (const Digest& digest : digests) {
      CHECK_FALSE(other.set_digest() == first.set_digest());
      CHECK(other.Add(digest));
      CHECK_FALSE(other.Add(digest));
    }
    CHECK(other.set_digest() == first.set_digest());
  }
}

TEST_CASE(
    "WithdrawalSet, merge with late and older copies, only grows and returns "
    "the new digests") {
  const std::vector<Digest> a = {Sha256("a"), Sha256("b")};
  const std::vector<Digest> b = {Sha256("b"), Sha256("c")};
  WithdrawalSet set;
  CHECK(set.Merge(a).size() == 2);
  CHECK(set.Merge(b) == std::vector<Digest>{Sha256("c")});
  CHECK(set.Merge(a).empty());
  Config older;
  older.withdrawn_keys = {Sha256("a")};
  CHECK(set.MergeConfig(older).empty());
  CHECK(set.size() == 3);
  CHECK(set.MissingFrom(a) == std::vector<Digest>{Sha256("c")});
  CHECK(set.MissingFrom(set.All()).empty());
}

TEST_CASE(
    "KeysAreFresh, VM without contact to store and peers, is false beyond the "
    "staleness limit of the route") {
  const TimePoint start{std::chrono::hours(1)};
  const Route read{.key_staleness_limit = std::chrono::seconds(3600)};
  const Route write{.key_staleness_limit = std::chrono::seconds(60)};
  const Route open{.open = true};
  const auto age = [&](int64_t s) {
    return StoreContactAge(start, start - std::chrono::hours(1),
                           std::chrono::seconds(0),
                           start + std::chrono::seconds(s));
  };
  CHECK(KeysAreFresh(write, age(60)));
  CHECK_FALSE(KeysAreFresh(write, age(61)));
  CHECK(KeysAreFresh(read, age(3600)));
  CHECK_FALSE(KeysAreFresh(read, age(3601)));
  CHECK(KeysAreFresh(open, age(100'000)));
  // A peer whose own contact is 50 s old proves no more recent contact.
  const TimePoint now = start + std::chrono::seconds(100);
  CHECK(StoreContactAge(start, now, std::chrono::seconds(50), now) ==
        std::chrono::seconds(51));
  CHECK(StoreContactAge(start, now, std::chrono::seconds(500), now) ==
        std::chrono::seconds(100));
}

}  // namespace
}  // namespace rwf
