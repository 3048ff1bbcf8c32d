#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "config/config.h"
#include "replica/manifest.h"
#include "wire/messages_generated.h"

namespace rwf {

// A message to be sent to a peer.
struct ReplicaMessage {
  std::string peer;
  wire::BodyUnion body;  // ConfigPullT or ConfigPushT
};

// Parses and validates the sections of `generation`. The returned configuration
// has that generation.
using ParseSections = std::function<Result<std::shared_ptr<const Config>>(
    uint64_t generation, const SectionTexts& sections)>;

// Holds the configuration in force on this VM and exchanges it with peers. A
// configuration is adopted only if its generation is larger than the one in
// force, the digests of its manifest and sections match, and it is valid. The
// generation never decreases.
class ConfigReplica {
 public:
  // Maximum text size of one ConfigPushT, so that it fits into a frame.
  static constexpr size_t kMaxPushBytes = 900'000;
  // A pull without progress for this long is sent to another peer.
  static constexpr Duration kPullTimeout = std::chrono::milliseconds(500);
  // Delay before a generation that failed validation is fetched again.
  static constexpr Duration kRejectedRetryDelay = std::chrono::seconds(30);
  // Number of recent generations whose section digests are kept, so that the
  // reply to a pull can include the changed sections.
  static constexpr size_t kMaxRecentGenerations = 8;

  struct Counters {
    uint64_t adopted = 0;
    uint64_t pulls = 0;
    uint64_t pushes = 0;
    uint64_t stale_manifests = 0;  // not newer than the known generation
    uint64_t conflicting_digests = 0;
    uint64_t bad_manifests = 0;
    uint64_t bad_sections = 0;  // not requested, or corrupt
    uint64_t invalid_configs = 0;
  };

  explicit ConfigReplica(ParseSections parse);

  // `on_adopted` is called after each adoption with the new configuration, so
  // that the owner can announce it to its peers immediately.
  void set_on_adopted(
      std::function<void(const std::shared_ptr<const Config>&)> on_adopted) {
    on_adopted_ = std::move(on_adopted);
  }

  // Handles the generation and digest announced in a heartbeat of a peer.
  std::vector<ReplicaMessage> OnAnnouncement(const std::string& peer,
                                             uint64_t generation,
                                             const Digest& digest,
                                             TimePoint now);
  std::vector<ReplicaMessage> OnPull(const std::string& peer,
                                     const wire::ConfigPullT& pull);
  std::vector<ReplicaMessage> OnPush(const std::string& peer,
                                     const wire::ConfigPushT& push,
                                     TimePoint now);
  // Handles a lost link. A pending pull moves to another peer.
  void OnLinkDown(const std::string& peer);
  // Repeats pulls that timed out. Called about every 100 ms.
  std::vector<ReplicaMessage> Tick(TimePoint now);

  // Offer a manifest or a section read from the store. Return false if it is
  // rejected or not needed.
  bool OfferManifest(const std::string& text, TimePoint now);
  bool OfferSection(const std::string& text, TimePoint now);

  // Returns the digests of the sections that are missing for the pending
  // manifest.
  std::vector<Digest> MissingSections() const;

  // Null, 0 and empty until the first adoption.
  const std::shared_ptr<const Config>& current() const { return current_; }
  uint64_t generation() const { return manifest_.generation; }
  const Digest& digest() const { return manifest_.digest; }
  const Manifest& manifest() const { return manifest_; }
  const SectionTexts& sections() const { return texts_; }
  const Counters& counters() const { return counters_; }

 private:
  struct Announcement {
    uint64_t generation = 0;
    Digest digest;
  };

  bool TryStageManifest(const std::string& text, bool from_store,
                        TimePoint now);
  bool TryStageSection(const std::string& text);
  bool TryAdopt(TimePoint now);
  bool IsRejected(uint64_t generation, const Digest& digest,
                  TimePoint now) const;
  const std::string* FindText(const Digest& digest) const;
  // Sends a pull to one peer that has a newer generation, unless the reply to
  // an earlier pull is still pending.
  std::vector<ReplicaMessage> Pull(TimePoint now);

  ParseSections parse_;
  std::function<void(const std::shared_ptr<const Config>&)> on_adopted_;
  std::shared_ptr<const Config> current_;
  Manifest manifest_;
  std::string manifest_text_;
  SectionTexts texts_;
  std::map<Digest, std::string> name_by_digest_;
  // Section digests of recent generations.
  std::map<uint64_t, std::set<Digest>> history_;

  std::optional<Manifest> pending_;
  std::string pending_text_;
  std::map<Digest, std::string> pending_sections_;

  std::map<std::string, Announcement> announcements_;
  std::string awaited_peer_;  // peer whose reply is pending, or empty
  std::string last_pulled_peer_;
  TimePoint progress_at_{};

  uint64_t rejected_generation_ = 0;
  Digest rejected_digest_;
  TimePoint rejected_until_{};
  Counters counters_;
};

}  // namespace rwf
