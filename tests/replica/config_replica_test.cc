#include "replica/config_replica.h"

#include <doctest/doctest.h>

#include "replica/replica_fleet.h"

namespace rwf {
namespace {

Manifest MakeManifest(uint64_t generation, const SectionTexts& sections) {
  Manifest out;
  out.generation = generation;
  out.operation_id = "op" + std::to_string(generation);
  for (const auto& [name, text] : sections) out.sections[name] = Sha256(text);
  out.digest = IndexDigest(generation, out.sections);
  return out;
}

void Offer(ConfigReplica* replica, uint64_t generation,
           const SectionTexts& sections, TimePoint now = {}) {
  replica->OfferManifest(FormatManifest(MakeManifest(generation, sections)),
                         now);
  for (const auto& [name, text] : sections) replica->OfferSection(text, now);
}

// Guards against a replica that reverts to an older configuration, and against
// different configurations of one generation.
TEST_CASE(
    "ConfigReplica, offered configuration, adopts only newer valid ones") {
  const SectionTexts in_force = {{"services", "a"}};
  struct Row {
    const char* name;
    uint64_t generation;
    SectionTexts sections;
    bool adopted;
    uint64_t ConfigReplica::Counters::*counter;
  };
  using Counters = ConfigReplica::Counters;
  const Row rows[] = {
      {"newer", 6, {{"services", "b"}}, true, &Counters::adopted},
      {"much newer", 60, {{"services", "b"}}, true, &Counters::adopted},
      {"the same", 5, in_force, false, &Counters::stale_manifests},
      {"older", 4, {{"services", "b"}}, false, &Counters::stale_manifests},
      {"same generation, other digest",
       5,
       {{"services", "b"}},
       false,
       &Counters::conflicting_digests},
      {"invalid",
       6,
       {{"services", "invalid"}},
       false,
       &Counters::invalid_configs},
  };
  for (const Row& row : rows) {
    CAPTURE(row.name);
    ConfigReplica replica(ParseFakeSections);
    Offer(&replica, 5, in_force);
    REQUIRE(replica.generation() == 5);
    const uint64_t before = replica.counters().*row.counter;
    Offer(&replica, row.generation, row.sections);
    CHECK(replica.generation() == (row.adopted ? row.generation : 5));
    CHECK(replica.sections() == (row.adopted ? row.sections : in_force));
    CHECK(replica.current()->generation == replica.generation());
    CHECK(replica.counters().*row.counter == before + 1);
  }
}

TEST_CASE("ConfigReplica, corrupt manifest, is rejected") {
  const std::string good = FormatManifest(MakeManifest(6, {{"a", "b"}}));
  const auto damage = [&](const std::string& from, const std::string& to) {
    std::string out = good;
    out.replace(out.find(from), from.size(), to);
    return out;
  };
  const std::pair<const char*, std::string> rows[] = {
      {"empty", ""},
      {"truncated", good.substr(0, good.size() / 2)},
      {"other generation", damage("\"generation\":6", "\"generation\":7")},
      {"newer format", damage("{", "{\"format\":2,")},
      {"malformed digest", damage("\"digest\":\"", "\"digest\":\"x")},
  };
  REQUIRE(ParseManifest(good));
  for (const auto& row : rows) {
    const auto& text = row.second;
    CAPTURE(row.first);
    ConfigReplica replica(ParseFakeSections);
    CHECK_FALSE(replica.OfferManifest(text, {}));
    CHECK(replica.counters().bad_manifests == 1);
    CHECK_FALSE(replica.current());
  }
}

// Guards against oversized frames and against resending unchanged sections.
TEST_CASE("ConfigReplica, outdated peer, receives changed sections in parts") {
  ConfigReplica ahead(ParseFakeSections);
  ConfigReplica behind(ParseFakeSections);
  SectionTexts sections;
  for (const char* name : {"a", "b", "c"}) {
    sections[name] = std::string(400'000, name[0]);
  }
  const TimePoint now{std::chrono::seconds(1)};
  const auto exchange = [&] {
    size_t bytes = 0;
    auto pulls =
        behind.OnAnnouncement("ahead", ahead.generation(), ahead.digest(), now);
    while (!pulls.empty()) {
      auto pushes = ahead.OnPull("behind", *pulls[0].body.AsConfigPull());
      pulls.clear();
      for (const auto& message : pushes) {
        const auto& push = *message.body.AsConfigPush();
        size_t part = push.manifest.size();
        for (const auto& section : push.sections) part += section->text.size();
        CHECK(part <= ConfigReplica::kMaxPushBytes);
        bytes += part;
        auto more = behind.OnPush("ahead", push, now);
        if (!more.empty()) pulls = std::move(more);
      }
    }
    CHECK(behind.generation() == ahead.generation());
    CHECK(behind.sections() == ahead.sections());
    return bytes;
  };
  Offer(&ahead, 1, sections);
  CHECK(exchange() > 1'200'000);
  sections["b"] = "changed";
  Offer(&ahead, 2, sections);
  CHECK(exchange() < 2000);
}

TEST_CASE(
    "ConfigReplica, corrupt section or pull timeout, pulls from another peer") {
  ConfigReplica ahead(ParseFakeSections);
  Offer(&ahead, 1, {{"a", "x"}});
  ConfigReplica behind(ParseFakeSections);
  TimePoint now{std::chrono::seconds(1)};
  auto pulls =
      behind.OnAnnouncement("p1", ahead.generation(), ahead.digest(), now);
  REQUIRE(pulls.size() == 1);
  auto pushes = ahead.OnPull("b", *pulls[0].body.AsConfigPull());
  auto push = *pushes[0].body.AsConfigPush();
  push.sections[0]->text = "y";
  CHECK(behind.OnPush("p1", push, now).empty());
  CHECK(behind.counters().bad_sections == 1);
  CHECK(behind.generation() == 0);
  CHECK(behind.OnAnnouncement("p2", 1, ahead.digest(), now).empty());
  now += ConfigReplica::kPullTimeout;
  pulls = behind.Tick(now);
  REQUIRE(pulls.size() == 1);
  CHECK(pulls[0].peer == "p2");
  behind.OnPush(
      "p2",
      *ahead.OnPull("b", *pulls[0].body.AsConfigPull())[0].body.AsConfigPush(),
      now);
  CHECK(behind.generation() == 1);
}

// Guards against a fleet that fetches an invalid configuration repeatedly.
TEST_CASE("ConfigReplica, invalid generation, is not fetched again for 30 s") {
  ConfigReplica replica(ParseFakeSections);
  TimePoint now{std::chrono::seconds(1)};
  const SectionTexts bad = {{"a", "invalid"}};
  Offer(&replica, 2, bad, now);
  const Digest digest = MakeManifest(2, bad).digest;
  CHECK(replica.OnAnnouncement("p", 2, digest, now).empty());
  CHECK(replica.Tick(now + std::chrono::seconds(29)).empty());
  CHECK(replica.Tick(now + std::chrono::seconds(31)).size() == 1);
  Offer(&replica, 3, {{"a", "good"}}, now);
  CHECK(replica.generation() == 3);
}

}  // namespace
}  // namespace rwf
