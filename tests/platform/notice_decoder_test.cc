#include "platform/notice_decoder.h"

#include <doctest/doctest.h>

#include <string>
#include <vector>

namespace rwf::platform {
namespace {

// Sun, 06 Nov 1994 08:49:37 GMT
constexpr WallTime kNow{std::chrono::seconds(784'111'777)};

class NoticeDecoderFixture {
 protected:
  DecodedNotice Decode(const std::string& name, const std::string& value,
                       int status = 200) {
    HttpHeaders headers;
    headers.Add(name, value);
    return decoder.Decode(status, headers, kNow);
  }

  const ResponseNoticeDecoder decoder{};
};

TEST_CASE_FIXTURE(NoticeDecoderFixture,
                  "Notice, response without its fields, says nothing") {
  CHECK(decoder.Decode(200, {}, kNow) == DecodedNotice{});
  CHECK(Decode("Content-Type", "text/plain") == DecodedNotice{});
}

TEST_CASE_FIXTURE(NoticeDecoderFixture, "Rate limit, decimal number, is read") {
  struct Row {
    const char* text;
    double expected;
  };
  for (const Row& it :
       std::vector<Row>{{"2", 2}, {"0.75", 0.75}, {"0", 0}, {"1000000", 1e6}}) {
    CAPTURE(it.text);
    const DecodedNotice out = Decode("server-limit", it.text);
    CHECK(out.problem.empty());
    CHECK(out.notice.rate_limit == it.expected);
  }
}

// Guards against an instance that is never or always used because of a value
// that is no number of requests.
TEST_CASE_FIXTURE(NoticeDecoderFixture,
                  "Rate limit, unusable value, is ignored with a reason") {
  for (const char* it : {"", " ", "-1", "-0", "+2", "two", "2/s", "1e300",
                         "1e3", "nan", "inf", "1000001", "0x10", "1,5"}) {
    CAPTURE(it);
    const DecodedNotice out = Decode("Server-Limit", it);
    CHECK(out.notice == InstanceNotice{});
    CHECK_FALSE(out.is_rate_limit_usable);
    CHECK(out.problem.find("Server-Limit") != std::string::npos);
  }
}

TEST_CASE_FIXTURE(NoticeDecoderFixture, "Leaving, flag, is read") {
  CHECK(Decode("Server-Leaving", "1").notice.is_leaving);
  CHECK(Decode("server-leaving", "1", 500).notice.is_leaving);
  CHECK(Decode("Server-Leaving", "0") == DecodedNotice{});
  for (const char* it : {"", "yes", "2", "true", "-1"}) {
    CAPTURE(it);
    const DecodedNotice out = Decode("Server-Leaving", it);
    CHECK_FALSE(out.notice.is_leaving);
    CHECK(out.problem.find("Server-Leaving") != std::string::npos);
  }
}

// Guards against an instance that is left out for ever, or never, because of
// the way in which it writes a time.
TEST_CASE_FIXTURE(NoticeDecoderFixture,
                  "Wait, seconds or date with a refusal, is read and bounded") {
  struct Row {
    const char* text;
    double seconds;  // 0: no wait
    bool has_problem;
  };
  for (const Row& it :
       std::vector<Row>{{"3", 3, false},
                        {"0.25", 0.25, false},
                        {"0", 0, false},
                        {"600", 600, false},
                        {"601", 600, true},
                        {"99999999999999999999", 600, true},
                        {"Sun, 06 Nov 1994 08:49:57 GMT", 20, false},
                        {"Sun, 06 Nov 1994 08:49:17 GMT", 0, false},
                        {"Tue, 06 Nov 2094 08:49:17 GMT", 600, true},
                        {"-1", 0, true},
                        {"soon", 0, true},
                        {"", 0, true},
                        {"3 s", 0, true},
                        {"nan", 0, true},
                        {"Sun, 06 Nov 1994 08:49:57 CET", 0, true},
                        {"1994-11-06T08:49:57Z", 0, true}}) {
    CAPTURE(std::string(it.text));
    const DecodedNotice out = Decode("Retry-After", it.text, 503);
    CHECK(out.notice.wait.has_value() == (it.seconds > 0));
    CHECK(ToSeconds(out.notice.wait.value_or(Duration::zero())) ==
          doctest::Approx(it.seconds));
    CHECK(out.problem.empty() != it.has_problem);
  }
  CHECK(Decode("Retry-After", "3", 200) == DecodedNotice{});
  CHECK(Decode("Retry-After", "3", 429) == DecodedNotice{});
}

}  // namespace
}  // namespace rwf::platform
