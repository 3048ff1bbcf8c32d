#pragma once

#include <event2/event.h>

#include <deque>
#include <functional>
#include <memory>
#include <vector>

#include "base/time.h"

namespace rwf {

// A duration as libevent takes it, rounded down to microseconds.
timeval ToTimeval(Duration d);

struct EventDeleter {
  void operator()(event* it) const { event_free(it); }
};
using EventPtr = std::unique_ptr<event, EventDeleter>;

// A timer that calls back until it is destroyed. Owned by whoever asked for it.
class Timer {
 public:
  Timer(event_base* base, Duration delay, bool repeats,
        std::function<void()> callback);
  Timer(const Timer&) = delete;
  Timer& operator=(const Timer&) = delete;

 private:
  static void Fire(evutil_socket_t, short, void* self);

  std::function<void()> callback_;
  EventPtr event_;
};

// The one loop of a process; everything it calls runs on the thread that calls
// Run.
class EventLoop {
 public:
  EventLoop();
  EventLoop(const EventLoop&) = delete;
  EventLoop& operator=(const EventLoop&) = delete;
  ~EventLoop();

  event_base* base() const { return base_.get(); }

  // Monotonic time now.
  static TimePoint Now();
  static WallTime WallNow();

  // Calls back once after `delay`, or every `period`, while the returned timer
  // lives.
  std::unique_ptr<Timer> After(Duration delay, std::function<void()> callback);
  std::unique_ptr<Timer> Every(Duration period, std::function<void()> callback);

  // Calls back from the loop, after the caller has returned. A callback that is
  // still waiting when the loop is destroyed is destroyed without a call.
  void Post(std::function<void()> callback);

  // Calls back on a signal of the process for as long as the loop lives.
  void OnSignal(int signal_number, std::function<void()> callback);

  // Runs until Stop.
  void Run();
  void Stop();

 private:
  struct BaseDeleter {
    void operator()(event_base* it) const { event_base_free(it); }
  };

  static void RunPosted(evutil_socket_t, short, void* self);

  std::unique_ptr<event_base, BaseDeleter> base_;
  EventPtr posted_event_;
  std::deque<std::function<void()>> posted_;
  std::vector<std::pair<EventPtr, std::unique_ptr<std::function<void()>>>>
      signals_;
};

}  // namespace rwf
