#pragma once

#include <sigc++/sigc++.h>

#include <cstdint>
#include <memory>
#include <string>

#include "net/event_loop.h"
#include "replica/revision_store.h"

namespace rwf {

// Keeps this VM listed in the store under a lease, so that the others find it
// and learn when it is gone.
class Registration {
 public:
  // Longer than keys stay valid without the store: by the time a silent VM
  // drops out of the list it has stopped to admit requests with keys.
  static constexpr Duration kLeaseTtl = std::chrono::seconds(8);
  static constexpr Duration kRenewInterval = std::chrono::milliseconds(2500);
  static constexpr Duration kRetryDelay = std::chrono::milliseconds(300);

  Registration(EventLoop* loop, RevisionStore* store, std::string key,
               std::string value);
  Registration(const Registration&) = delete;
  Registration& operator=(const Registration&) = delete;

  void Start();
  // Takes the VM off the list.
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
