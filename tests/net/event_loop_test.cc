#include "net/event_loop.h"

#include <doctest/doctest.h>

#include <csignal>
#include <memory>
#include <string>

namespace rwf {
namespace {

// Guards against leaking the objects that pending callbacks hold, such as
// connections and buffers, when a loop is destroyed.
TEST_CASE("EventLoop, destroyed with a pending callback, destroys it") {
  auto held = std::make_shared<int>(1);
  const std::weak_ptr<int> seen = held;
  {
    EventLoop loop;
    loop.Post([held = std::move(held)] { CHECK(held == nullptr); });
  }
  CHECK(seen.expired());
}

TEST_CASE(
    "EventLoop, stopped by a posted callback, runs the rest on the next Run") {
  EventLoop loop;
  std::string order;
  loop.Post([&] {
    order += "a";
    loop.Stop();
  });
  loop.Post([&] {
    order += "b";
    loop.Post([&] { loop.Stop(); });
  });
  loop.Run();
  CHECK(order == "a");
  loop.Run();
  CHECK(order == "ab");
}

// Guards against termination by a SIGTERM that a supervisor repeats during
// shutdown: the default action would replace exit status 0 by a signal.
TEST_CASE("EventLoop, signal after its destruction, is ignored") {
  bool is_called = false;
  {
    EventLoop loop;
    loop.OnSignal(SIGTERM, [&] {
      is_called = true;
      loop.Stop();
    });
    loop.Post([] { std::raise(SIGTERM); });
    loop.Run();
  }
  CHECK(is_called);
  std::raise(SIGTERM);
}

}  // namespace
}  // namespace rwf
