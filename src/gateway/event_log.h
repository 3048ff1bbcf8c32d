#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

#include "base/time.h"
#include "net/event_loop.h"

namespace rwf {

// Structured log on standard output: one JSON object a line. Lines are held in
// a bounded buffer and written without blocking; what does not fit is dropped
// and counted, and the next line that fits tells how many were lost.
class EventLog {
 public:
  // Bytes that may wait for a slow reader.
  static constexpr size_t kMaxBufferedBytes = 256 << 10;
  // Lines of one process in a second. Above it, lines about requests are
  // dropped and counted; lines about the state of the process are not.
  static constexpr int kMaxRequestLinesPerSecond = 400;
  static constexpr Duration kFlushInterval = std::chrono::milliseconds(100);

  // One line. Written when it is destroyed.
  class Line {
   public:
    Line(EventLog* log, std::string_view event, bool is_dropped);
    Line(const Line&) = delete;
    Line& operator=(const Line&) = delete;
    Line(Line&& other) noexcept;
    ~Line();
    Line& Text(std::string_view name, std::string_view value);
    Line& Number(std::string_view name, int64_t value);
    Line& Real(std::string_view name, double value);
    Line& Flag(std::string_view name, bool value);
    Line& Millis(std::string_view name, Duration value);

   private:
    EventLog* log_;
    bool is_dropped_;
    std::string text_;
  };

  EventLog(EventLoop* loop, int fd, std::string vm);
  EventLog(const EventLog&) = delete;
  EventLog& operator=(const EventLog&) = delete;
  ~EventLog();

  // A line on the state of the process.
  Line State(std::string_view event);
  // A line on one request; `id` is the caller's.
  Line Request(std::string_view event, std::string_view id);

  uint64_t lines() const { return lines_; }
  uint64_t dropped() const { return dropped_; }
  // Writes what the reader takes now.
  void Flush();

 private:
  friend class Line;
  void Append(std::string_view line);

  int fd_;
  std::string vm_;
  std::string buffer_;
  uint64_t lines_ = 0;
  uint64_t dropped_ = 0;
  uint64_t reported_dropped_ = 0;
  TimePoint window_start_{};
  int window_lines_ = 0;
  std::unique_ptr<Timer> timer_;
};

}  // namespace rwf
