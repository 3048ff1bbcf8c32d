#include "net/event_loop.h"

#include <cassert>
#include <csignal>

namespace rwf {
namespace {

timeval ToTimeval(Duration d) {
  const auto us =
      std::chrono::duration_cast<std::chrono::microseconds>(d).count();
  return {us / 1000000, us % 1000000};
}

void RunPosted(evutil_socket_t, short, void* arg) {
  const std::unique_ptr<std::function<void()>> callback(
      static_cast<std::function<void()>*>(arg));
  (*callback)();
}

void RunSignal(evutil_socket_t, short, void* arg) {
  (*static_cast<std::function<void()>*>(arg))();
}

}  // namespace

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

EventLoop::EventLoop() : base_(event_base_new()) {
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
  static constexpr timeval kAtOnce = {0, 0};
  auto posted = std::make_unique<std::function<void()>>(std::move(callback));
  event_base_once(base(), -1, EV_TIMEOUT, &RunPosted, posted.release(),
                  &kAtOnce);
}

void EventLoop::OnSignal(int signal_number, std::function<void()> callback) {
  auto stored = std::make_unique<std::function<void()>>(std::move(callback));
  EventPtr ev(evsignal_new(base(), signal_number, &RunSignal, stored.get()));
  event_add(ev.get(), nullptr);
  signals_.emplace_back(std::move(ev), std::move(stored));
}

void EventLoop::Run() { event_base_dispatch(base()); }

void EventLoop::Stop() { event_base_loopbreak(base()); }

}  // namespace rwf
