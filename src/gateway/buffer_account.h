#pragma once

#include <sigc++/sigc++.h>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <unordered_set>

#include "base/time.h"

namespace rwf {

// What buffered bytes are for.
enum class BufferUse : uint8_t {
  kReceiving,  // a request that is being read
  kServed,     // a request that is kept for its attempts
  kResponse,   // a response that is being received from an instance
  kSending,    // responses that the caller has not taken
};

const char* BufferUseName(BufferUse use);

// The buffered bytes of the process by holder, and which holder gives its bytes
// up when there are too many. Without I/O.
class BufferAccount {
 public:
  // The rest of a VM's memory is for the process itself, for its allocator and
  // for received bytes in the kernel. A body of 64 MiB fits on 160 MB.
  static constexpr double kLimitFraction = 0.5;
  // Applies if the memory of the VM is not known.
  static constexpr size_t kDefaultLimit = 256 << 20;
  // Above this fraction of the limit, large bodies are not read further. On
  // 160 MB this is 68 MiB, so that one body of 64 MiB is read to its end.
  static constexpr double kScarceFraction = 0.85;
  // Bodies up to this size are read even when memory is scarce.
  static constexpr size_t kSmallBodyBytes = 64 << 10;
  // Holders with progress within this time are compared by their bytes only:
  // the order in which the loop serves them says nothing about their senders.
  static constexpr Duration kActiveTime = std::chrono::milliseconds(100);
  // A holder without progress for this long is reclaimed for those that wait
  // to read on.
  static constexpr Duration kStallTime = std::chrono::milliseconds(500);

  // One holder of buffered bytes. Registered from construction to destruction.
  class Holder {
   public:
    // `reclaim` gives up the bytes and may destroy the holder; it is called
    // from Reclaim only. A holder without it, or with a null account, is never
    // reclaimed.
    Holder(BufferAccount* account, BufferUse use,
           std::function<void()> reclaim = nullptr);
    Holder(const Holder&) = delete;
    Holder& operator=(const Holder&) = delete;
    ~Holder();

    void Set(size_t bytes, TimePoint now);
    // Bytes were received or sent.
    void OnProgress(TimePoint now) { progress_at_ = now; }
    size_t bytes() const { return bytes_; }

   private:
    friend class BufferAccount;
    BufferAccount* account_;
    BufferUse use_;
    std::function<void()> reclaim_;
    size_t bytes_ = 0;
    TimePoint progress_at_{};
  };

  explicit BufferAccount(size_t limit = kDefaultLimit);
  BufferAccount(const BufferAccount&) = delete;
  BufferAccount& operator=(const BufferAccount&) = delete;

  // Returns the limit of a VM with this memory; zero: not known.
  static size_t LimitOf(int64_t memory_mb);

  size_t bytes() const { return bytes_; }
  size_t limit() const { return limit_; }
  // Large bodies must not be read further.
  bool is_scarce() const;

  // Reclaims the holders with the largest product of bytes and time without
  // progress until the sum is within the limit, and one holder that has made no
  // progress for kStallTime if memory is scarce and `is_awaited` (somebody
  // waits to read on).
  void Reclaim(bool is_awaited, TimePoint now);

  // The sum has passed the limit, so Reclaim should be called soon. Emitted
  // while a holder is changed, so not the place to call it.
  sigc::signal<void()> signal_exceeded;
  // A holder with this many bytes is about to be reclaimed.
  sigc::signal<void(BufferUse use, size_t bytes)> signal_reclaim;

 private:
  Holder* LargestProduct(Duration min_stall, TimePoint now) const;
  void ReclaimHolder(Holder* it);

  size_t limit_;
  size_t bytes_ = 0;
  std::unordered_set<Holder*> holders_;  // that may be reclaimed
};

}  // namespace rwf
