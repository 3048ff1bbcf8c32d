#include "net/event_loop.h"

#include <cassert>
#include <csignal>

namespace rwf {
namespace {

void RunSignal(evutil_socket_t, short, void* arg) {
  (*static_cast<std::function<void()>*>(arg))();
}

}  // namespace

timeval ToTimeval(Duration d) {
  const auto us =
      std::chrono::duration_cast<std::chrono::microseconds>(d).count();
  return {us / 1000000, us % 1000000};
}

Timer::Timer(event_base* base, Duration delay, bool repeats,
             std::function<void()> callback)
    : callback_(std::move(callback)),
      event_(
          event_new(base, -1, repeats ? EV_PERSIST : 0, &Timer::Fire, this)) {
  const timeval tv = ToTimeval(delay);
  event_add(event_.get(), &tv);
}

void Timer::Fire(evutil_socket_t, short, void* self) {
  // The callback may destroy the timer, so it runs from a copy.
  const auto callback = static_cast<Timer*>(self)->callback_;
  callback();
}

EventLoop::EventLoop()
    : base_(event_base_new()),
      posted_event_(
          event_new(base_.get(), -1, 0, &EventLoop::RunPosted, this)) {
  assert(base_ != nullptr);
  std::signal(SIGPIPE, SIG_IGN);
}

EventLoop::~EventLoop() = default;

TimePoint EventLoop::Now() {
  return std::chrono::time_point_cast<Duration>(
      std::chrono::steady_clock::now());
}

WallTime EventLoop::WallNow() {
  return std::chrono::time_point_cast<std::chrono::milliseconds>(
      std::chrono::system_clock::now());
}

std::unique_ptr<Timer> EventLoop::After(Duration delay,
                                        std::function<void()> callback) {
  return std::make_unique<Timer>(base(), delay, false, std::move(callback));
}

std::unique_ptr<Timer> EventLoop::Every(Duration period,
                                        std::function<void()> callback) {
  return std::make_unique<Timer>(base(), period, true, std::move(callback));
}

void EventLoop::Post(std::function<void()> callback) {
  posted_.push_back(std::move(callback));
  event_active(posted_event_.get(), EV_TIMEOUT, 0);
}

void EventLoop::RunPosted(evutil_socket_t, short, void* self) {
  auto* loop = static_cast<EventLoop*>(self);
  // Callbacks posted by these callbacks run in the next iteration.
  for (size_t n = loop->posted_.size(); n > 0; --n) {
    if (event_base_got_break(loop->base()) != 0) break;
    const auto callback = std::move(loop->posted_.front());
    loop->posted_.pop_front();
    callback();
  }
  if (!loop->posted_.empty())
    event_active(loop->posted_event_.get(), EV_TIMEOUT, 0);
}

void EventLoop::OnSignal(int signal_number, std::function<void()> callback) {
  auto stored = std::make_unique<std::function<void()>>(std::move(callback));
  // libevent restores this handler when the event is freed. A repeated signal
  // late in a planned shutdown must not terminate the process.
  std::signal(signal_number, SIG_IGN);
  EventPtr ev(evsignal_new(base(), signal_number, &RunSignal, stored.get()));
  event_add(ev.get(), nullptr);
  signals_.emplace_back(std::move(ev), std::move(stored));
}

void EventLoop::Run() { event_base_dispatch(base()); }

void EventLoop::Stop() { event_base_loopbreak(base()); }

}  // namespace rwf
