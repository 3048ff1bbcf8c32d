#include "net/event_loop.h"

#include <doctest/doctest.h>

#include <csignal>
#include <memory>
#include <string>

namespace rwf {
namespace {

// Guards against connections and buffers that leak with the callbacks that hold
// them when a loop ends.
TEST_CASE("EventLoop, destroyed with a posted callback, destroys it") {
  auto held = std::make_shared<int>(1);
  const std::weak_ptr<int> seen = held;
  {
    EventLoop loop;
    loop.Post([held = std::move(held)] { CHECK(held == nullptr); });
  }
  CHECK(seen.expired());
}

TEST_CASE("EventLoop, stopped by a posted callback, runs the rest next time") {
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

// A supervisor may repeat SIGTERM while a process takes itself apart; the
// default action ended it with a signal instead of exit status 0.
TEST_CASE("EventLoop, signal after its end, is ignored") {
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
