#pragma once

#include <sigc++/sigc++.h>

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "base/time.h"
#include "replica/revision_store.h"
#include "wire/messages_generated.h"

namespace rwf {

// Passes what this VM hears from the store on to other VMs, so that few VMs
// have to watch it. Keeps the latest change of each key for a while. Does no
// I/O. Times are of a clock that goes on while the VM is suspended: an answer
// tells how old the knowledge is, also after a freeze.
class ChangeRelay {
 public:
  // Changes are kept this long: several times as long as any VM that is up to
  // date takes between two requests.
  static constexpr Duration kRetention = std::chrono::seconds(15);

  // Everything up to this revision was read as a whole; earlier changes are not
  // known one by one.
  void OnLoaded(uint64_t revision);
  // In the order in which this VM hears of them.
  void OnChange(const StoreItem& change, TimePoint now);
  // All changes before `confirmed_at` have been passed to OnChange; the store
  // has told up to `revision`. Answers those who wait for one of them.
  void OnConfirmed(uint64_t revision, TimePoint confirmed_at, TimePoint now);
  // The store does not answer: all who wait are told to ask it themselves.
  void OnLost(TimePoint now);
  void OnRequest(const std::string& vm, const wire::ChangesRequestT& request,
                 TimePoint now);
  // Ends waits and forgets old changes. To be called several times a second.
  void Tick(TimePoint now);

  sigc::signal<void(const std::string& vm, const wire::ChangesReplyT& reply)>
      signal_reply;

 private:
  struct Change {
    StoreItem item;
    TimePoint received_at{};
  };
  struct PendingRequest {
    std::string vm;
    uint64_t id = 0;
    uint64_t revision = 0;
    TimePoint requested_at{};
    TimePoint expires_at{};
  };
  bool HasChanges(const PendingRequest& it) const;
  void Reply(const PendingRequest& it, TimePoint now);

  // The latest change of each key, by revision.
  std::map<uint64_t, std::vector<Change>> changes_;
  std::map<std::string, uint64_t> revision_of_;
  std::vector<PendingRequest> pending_;
  uint64_t revision_ = 0;
  // Requests after an earlier revision can't be answered.
  uint64_t oldest_revision_ = 0;
  TimePoint confirmed_at_{};
  bool is_store_connected_ = false;
};

}  // namespace rwf
