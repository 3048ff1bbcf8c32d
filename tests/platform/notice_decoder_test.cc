#include "platform/notice_decoder.h"

#include <doctest/doctest.h>

#include <string>
#include <vector>

namespace rwf::platform {
namespace {

class NoticeDecoderFixture {
 protected:
  DecodedNotice Decode(const std::string& name, const std::string& value,
                       int status = 200) {
    HttpHeaders headers;
    headers.Add(name, value);
    return decoder.Decode(status, headers);
  }

  const ResponseNoticeDecoder decoder{};
};

TEST_CASE_FIXTURE(NoticeDecoderFixture,
                  "Notice, response without its fields, says nothing") {
  CHECK(decoder.Decode(200, {}) == DecodedNotice{});
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
    CHECK(out.problem.find("Server-Limit") != std::string::npos);
  }
}

}  // namespace
}  // namespace rwf::platform
