#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "base/time.h"

namespace rwf {

// Another VM of the fleet, as far as limits are concerned.
struct LimitPeer {
  std::string vm;
  bool is_heard = false;   // it is linked and no report is overdue
  bool can_keep = false;   // it is linked and keeps limits
  Duration kept_for{};     // time for which it has kept limits
  bool may_admit = false;  // it may be serving requests
  // It has no confirmed entry in the store, and so no part of the rates unless
  // all VMs choose the same keeper.
  bool is_unregistered = false;
  // The VMs that it does not hear and so does not take for keepers, as
  // reported. A list that did not change is the same object.
  std::shared_ptr<const std::set<std::string>> passed_over;
  friend bool operator==(const LimitPeer&, const LimitPeer&) = default;
};

// Admissions permitted beyond rate and burst within a window, across all VMs.
struct LimitTolerance {
  double ratio = 0;
  double requests = 0;
  Duration window = std::chrono::seconds(5);
  friend bool operator==(const LimitTolerance&,
                         const LimitTolerance&) = default;
};

// What a VM tells the keeper of a workspace's limit.
struct LimitClaim {
  std::string name;       // of the workspace
  uint32_t admitted = 0;  // without a grant
  uint32_t returned = 0;  // admitted or granted, but did not run
  uint32_t wanted = 0;    // requests that wait for a grant
  // Tokens left, from a VM that kept the limit until now.
  std::optional<double> handed_over;
  friend bool operator==(const LimitClaim&, const LimitClaim&) = default;
};

// The keeper's answer on one limit.
struct LimitVerdict {
  std::string name;
  uint32_t granted =
      0;  // of the wanted requests; the others are over the limit
  Duration retry_after{};  // for the others
  bool is_scarce = false;  // each further request needs a grant
  friend bool operator==(const LimitVerdict&, const LimitVerdict&) = default;
};

// Claims of one VM, to a keeper.
struct LimitClaims {
  uint64_t id = 0;
  std::vector<LimitClaim> claims;
  friend bool operator==(const LimitClaims&, const LimitClaims&) = default;
};

// A keeper's reply to the claims with the same id. With id 0 it tells all VMs
// which limits have become scarce or no longer are.
struct LimitReply {
  uint64_t id = 0;
  std::vector<LimitVerdict> verdicts;
  friend bool operator==(const LimitReply&, const LimitReply&) = default;
};

}  // namespace rwf
