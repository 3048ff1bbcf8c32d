#include "gateway/limit_refusal_log.h"

#include <doctest/doctest.h>
#include <fcntl.h>
#include <unistd.h>

#include <string>

namespace rwf {
namespace {

class LimitRefusalLogFixture {
 protected:
  // A pipe that is closed with the fixture.
  struct Pipe {
    Pipe() { REQUIRE(pipe2(fds, O_NONBLOCK) == 0); }
    ~Pipe() {
      for (const int it : fds) close(it);
    }
    int fds[2] = {};
  };
  bool Log(const std::string& workspace) {
    return refusals.Log(&log, &limiter, {"id", workspace, {}, {}}, now);
  }
  // Returns the lines written since the last call.
  std::string Lines() {
    log.Flush();
    char buf[8192];
    const ssize_t n = read(lines.fds[0], buf, sizeof(buf));
    return {buf, n > 0 ? static_cast<size_t>(n) : 0};
  }

  EventLoop loop;
  Pipe lines;
  EventLog log{&loop, lines.fds[1], "v"};
  TimePoint now{std::chrono::hours(1)};
  WorkspaceLimiter limiter{"v", now};
  LimitRefusalLog refusals;
};

// Load pattern: one workspace far above its rate. Guards against log lines that
// cost as much as the refusals and displace those of other requests.
TEST_CASE_FIXTURE(LimitRefusalLogFixture,
                  "Refusals by limit, many in a second, are counted") {
  CHECK(Log("a"));
  for (int n = 0; n < 99; ++n) CHECK_FALSE(Log("a"));
  CHECK(Log("b"));
  std::string text = Lines();
  CHECK(text.find("\"workspace\":\"a\"") != std::string::npos);
  CHECK(text.find("\"workspace\":\"b\"") != std::string::npos);
  now += LimitRefusalLog::kInterval;
  // The count of one workspace does not wait for its next refusal.
  CHECK(Log("b"));
  text = Lines();
  CHECK(text.find("\"event\":\"rate_limited_count\",\"workspace\":\"a\","
                  "\"not_logged\":99") != std::string::npos);
  CHECK(Log("a"));
  CHECK_FALSE(Log("a"));
}

}  // namespace
}  // namespace rwf
