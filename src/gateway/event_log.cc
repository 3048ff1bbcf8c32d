#include "gateway/event_log.h"

#include <fcntl.h>
#include <fmt/format.h>
#include <unistd.h>

#include <cerrno>
#include <utility>

namespace rwf {
namespace {

void AppendEscaped(std::string_view text, std::string* out) {
  for (const char it : text) {
    const auto c = static_cast<unsigned char>(it);
    if (it == '"' || it == '\\') {
      out->push_back('\\');
      out->push_back(it);
    } else if (c < 0x20 || c >= 0x7f) {
      out->append(fmt::format("\\u{:04x}", c));
    } else {
      out->push_back(it);
    }
  }
}

}  // namespace

EventLog::Line::Line(EventLog* log, std::string_view event, bool is_dropped)
    : log_(log), is_dropped_(is_dropped) {
  if (is_dropped_) return;
  const double wall =
      static_cast<double>(EventLoop::WallNow().time_since_epoch().count()) /
      1000;
  text_ = fmt::format(R"({{"t":{:.3f},"vm":"{}","event":"{}")", wall, log->vm_,
                      event);
}

EventLog::Line::Line(Line&& other) noexcept
    : log_(other.log_),
      is_dropped_(std::exchange(other.is_dropped_, true)),
      text_(std::move(other.text_)) {}

EventLog::Line::~Line() {
  if (is_dropped_) return;
  text_.append("}\n");
  log_->Append(text_);
}

EventLog::Line& EventLog::Line::Text(std::string_view name,
                                     std::string_view value) {
  if (is_dropped_) return *this;
  text_.append(",\"").append(name).append("\":\"");
  AppendEscaped(value, &text_);
  text_.push_back('"');
  return *this;
}

EventLog::Line& EventLog::Line::Number(std::string_view name, int64_t value) {
  if (!is_dropped_) text_.append(fmt::format(",\"{}\":{}", name, value));
  return *this;
}

EventLog::Line& EventLog::Line::Real(std::string_view name, double value) {
  if (!is_dropped_) text_.append(fmt::format(",\"{}\":{:.3f}", name, value));
  return *this;
}

EventLog::Line& EventLog::Line::Flag(std::string_view name, bool value) {
  if (!is_dropped_) text_.append(fmt::format(",\"{}\":{}", name, value));
  return *this;
}

EventLog::Line& EventLog::Line::Millis(std::string_view name, Duration value) {
  return Number(name, ToMillis(value));
}

EventLog::EventLog(EventLoop* loop, int fd, std::string vm)
    : fd_(fd), vm_(std::move(vm)) {
  fcntl(fd_, F_SETFL, fcntl(fd_, F_GETFL) | O_NONBLOCK);
  timer_ = loop->Every(kFlushInterval, [this] { Flush(); });
}

EventLog::~EventLog() { Flush(); }

EventLog::Line EventLog::State(std::string_view event) {
  return {this, event, false};
}

EventLog::Line EventLog::Request(std::string_view event, std::string_view id,
                                 bool is_logged) {
  if (!is_logged) return {this, event, true};
  const TimePoint now = EventLoop::Now();
  if (now - window_start_ >= std::chrono::seconds(1)) {
    window_start_ = now;
    window_lines_ = 0;
  }
  const bool is_dropped = ++window_lines_ > kMaxRequestLinesPerSecond;
  if (is_dropped) ++dropped_;
  Line line(this, event, is_dropped);
  line.Text("id", id);
  return line;
}

void EventLog::Append(std::string_view line) {
  if (buffer_.size() + line.size() > kMaxBufferedBytes) {
    ++dropped_;
    return;
  }
  if (dropped_ != reported_dropped_) {
    buffer_.append(fmt::format(
        "{{\"vm\":\"{}\",\"event\":\"log_lines_dropped\",\"count\":{}}}\n", vm_,
        dropped_ - reported_dropped_));
    reported_dropped_ = dropped_;
  }
  buffer_.append(line);
  ++lines_;
}

void EventLog::Flush() {
  size_t done = 0;
  while (done < buffer_.size()) {
    const ssize_t n = write(fd_, buffer_.data() + done, buffer_.size() - done);
    if (n < 0 && errno == EINTR) continue;
    if (n <= 0) break;
    done += static_cast<size_t>(n);
  }
  buffer_.erase(0, done);
}

}  // namespace rwf
