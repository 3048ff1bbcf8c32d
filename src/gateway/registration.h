#pragma once

#include <sigc++/sigc++.h>

#include <cstdint>
#include <memory>
#include <string>

#include "net/event_loop.h"
#include "replica/revision_store.h"

namespace rwf {

// Registers this VM in the store under a lease, so that its peers discover it
// and learn when it has stopped.
class Registration {
 public:
  // Longer than keys are accepted without store contact: by the time the entry
  // of an unreachable VM expires, that VM has stopped accepting requests with
  // keys.
  static constexpr Duration kLeaseTtl = std::chrono::seconds(8);
  static constexpr Duration kRenewInterval = std::chrono::milliseconds(2500);
  static constexpr Duration kRetryDelay = std::chrono::milliseconds(300);

  Registration(EventLoop* loop, RevisionStore* store, std::string key,
               std::string value);
  Registration(const Registration&) = delete;
  Registration& operator=(const Registration&) = delete;

  void Start();
  // Removes the entry of this VM.
  void Stop();

 private:
  void Grant();
  void Write();
  void Renew();
  void Schedule(Duration delay, void (Registration::*step)());

  EventLoop* loop_;
  RevisionStore* store_;
  std::string key_;
  std::string value_;
  uint64_t lease_ = 0;
  bool is_stopped_ = false;
  std::unique_ptr<Timer> timer_;
};

}  // namespace rwf
