#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

#include "base/time.h"
#include "net/event_loop.h"

namespace rwf {

// Structured log with one JSON object per line. Lines are kept in a bounded
// buffer and written without blocking. Lines that do not fit are dropped and
// counted, and the next line that fits is preceded by the number of lines lost.
class EventLog {
 public:
  // Maximum number of bytes that wait for a slow reader.
  static constexpr size_t kMaxBufferedBytes = 256 << 10;
  // Maximum number of request lines per second. Excess request lines are
  // dropped and counted; lines about the state of the process are not limited.
  static constexpr int kMaxRequestLinesPerSecond = 400;
  static constexpr Duration kFlushInterval = std::chrono::milliseconds(100);

  // Builds one line and writes it on destruction.
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

  // Starts a line about the state of the process.
  Line State(std::string_view event);
  // Starts a line about one request; `id` is the id given by the caller. A line
  // that is not logged is one of many that are counted elsewhere.
  Line Request(std::string_view event, std::string_view id,
               bool is_logged = true);

  uint64_t lines() const { return lines_; }
  uint64_t dropped() const { return dropped_; }
  // Writes as much as the reader accepts without blocking.
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
