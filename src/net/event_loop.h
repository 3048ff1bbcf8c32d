#pragma once

#include <event2/event.h>

#include <deque>
#include <functional>
#include <memory>
#include <vector>

#include "base/time.h"

namespace rwf {

// Converts `d` for libevent, rounded down to microseconds.
timeval ToTimeval(Duration d);

struct EventDeleter {
  void operator()(event* it) const { event_free(it); }
};
using EventPtr = std::unique_ptr<event, EventDeleter>;

// A one-shot or periodic timer. Destroying it cancels it.
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

// The event loop of the process. All callbacks run on the thread that calls
// Run.
class EventLoop {
 public:
  EventLoop();
  EventLoop(const EventLoop&) = delete;
  EventLoop& operator=(const EventLoop&) = delete;
  ~EventLoop();

  event_base* base() const { return base_.get(); }

  // Monotonic time.
  static TimePoint Now();
  static WallTime WallNow();

  // Call back once after `delay`, or every `period`, until the returned timer
  // is destroyed.
  std::unique_ptr<Timer> After(Duration delay, std::function<void()> callback);
  std::unique_ptr<Timer> Every(Duration period, std::function<void()> callback);

  // Calls back from the loop after the caller has returned. Callbacks pending
  // when the loop is destroyed are destroyed without being called.
  void Post(std::function<void()> callback);

  // Calls back on each delivery of the signal until the loop is destroyed.
  void OnSignal(int signal_number, std::function<void()> callback);

  // Runs until Stop is called.
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
