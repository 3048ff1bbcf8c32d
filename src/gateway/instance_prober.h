#pragma once

#include <sigc++/sigc++.h>

#include <map>
#include <memory>
#include <string>

#include "gateway/upstream_pool.h"
#include "net/event_loop.h"

namespace rwf {

// Finds out whether an instance ended when a connection to it broke. Its entry
// outlives it by seconds, and it may get no other request that would be
// refused.
class InstanceProber {
 public:
  // By then, a process that closed its connections has stopped listening too.
  static constexpr Duration kDelay = std::chrono::milliseconds(50);

  InstanceProber(EventLoop* loop, UpstreamPool* pool)
      : loop_(loop), pool_(pool) {}
  InstanceProber(const InstanceProber&) = delete;
  InstanceProber& operator=(const InstanceProber&) = delete;

  // Starts a probe, unless one of the process is in progress.
  void Probe(const UpstreamTarget& target, const std::string& process);

  // The process with this name refuses connections.
  sigc::signal<void(const std::string&)> signal_ended;

 private:
  EventLoop* loop_;
  UpstreamPool* pool_;
  std::map<std::string, std::unique_ptr<Timer>> probes_;  // by process
};

}  // namespace rwf
