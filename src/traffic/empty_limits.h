#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "base/time.h"

namespace rwf {

// Limits whose keeper had no tokens left when it was last asked, and what this
// VM does until there are some again: requests are refused without asking, and
// now and then tokens for as many requests as were refused are asked for at
// once. The next requests use them without waiting for a reply.
class EmptyLimits {
 public:
  // A keeper is asked again after the time that it has named, within these
  // bounds. The lower one limits the messages, the upper one the time for which
  // requests are refused after tokens have returned.
  static constexpr Duration kMinPause = std::chrono::milliseconds(100);
  static constexpr Duration kMaxPause = std::chrono::milliseconds(500);
  // Tokens that are not used for this long are returned.
  static constexpr Duration kTokenLifetime = std::chrono::milliseconds(300);
  // A keeper that does not reply for this long is asked for each request again.
  static constexpr Duration kReplyTimeout = std::chrono::milliseconds(600);
  static constexpr uint32_t kMaxWanted = 1000;

  struct Request {
    std::string name;
    std::string keeper;
    uint32_t wanted = 0;
    friend bool operator==(const Request&, const Request&) = default;
  };
  struct Unused {
    std::string name;
    uint32_t tokens = 0;
    friend bool operator==(const Unused&, const Unused&) = default;
  };

  // Whether the keeper has said that the limit is empty.
  bool Contains(const std::string& name, const std::string& keeper) const;
  // Takes a token for a request. Returns false if it is to be refused.
  bool TryTake(const std::string& name);
  // The keeper has no tokens until after `pause`.
  void OnRefused(const std::string& name, const std::string& keeper,
                 Duration pause, TimePoint now);
  // Returns whether the reply with this id is to such a request for tokens.
  bool OnGranted(const std::string& name, uint64_t id, uint32_t granted,
                 Duration pause, TimePoint now);
  // The keeper has tokens again, or another VM is the keeper.
  void Remove(const std::string& name) { limits_.erase(name); }
  // Removes the limits for which `is_kept` is false.
  template <typename IsKept>
  void RemoveUnless(IsKept is_kept) {
    std::erase_if(limits_, [&](const auto& it) {
      return !is_kept(it.first, it.second.keeper);
    });
  }

  // Returns the tokens to ask for now. Each must be followed by OnSent().
  std::vector<Request> TakeRequests(TimePoint now);
  void OnSent(const std::string& name, uint64_t id);
  // Returns tokens to give back.
  std::vector<Unused> TakeUnused(TimePoint now);

 private:
  struct Limit {
    std::string keeper;
    uint32_t tokens = 0;
    TimePoint tokens_end{};
    uint32_t refused = 0;  // since the keeper was last asked
    uint32_t wanted = 0;   // of the request under way; 0 if there is none
    uint64_t request_id = 0;
    TimePoint requested_at{};
    TimePoint ask_at{};
  };
  std::map<std::string, Limit> limits_;  // by workspace
};

}  // namespace rwf
