#include "http/body.h"

#include <doctest/doctest.h>
#include <event2/buffer.h>

#include <memory>
#include <string>

#include "http/parser.h"

namespace rwf {
namespace {

struct EvbufferDeleter {
  void operator()(evbuffer* it) const { evbuffer_free(it); }
};
using EvbufferPtr = std::unique_ptr<evbuffer, EvbufferDeleter>;

std::string TakeAll(evbuffer* buf) {
  std::string out(evbuffer_get_length(buf), '\0');
  evbuffer_remove(buf, out.data(), out.size());
  return out;
}

// Guards against bytes that are lost or moved at the end of a block.
TEST_CASE("Body, appended in pieces of any size, keeps all bytes") {
  for (const size_t piece : {size_t{1}, size_t{7}, Body::kBlockBytes - 1,
                             Body::kBlockBytes, 3 * Body::kBlockBytes + 5}) {
    CAPTURE(piece);
    Body body;
    std::string expected;
    while (expected.size() < 4 * Body::kBlockBytes) {
      const std::string text(piece,
                             static_cast<char>('a' + expected.size() % 7));
      body.Append(text);
      expected += text;
    }
    CHECK(body.size() == expected.size());
    CHECK(body == expected);
    EvbufferPtr buf(evbuffer_new());
    REQUIRE(body.AddTo(buf.get()));
    CHECK(TakeAll(buf.get()) == expected);
  }
}

// Guards against a buffer that reads freed blocks, or blocks that have changed.
TEST_CASE(
    "Body, changed or destroyed after AddTo, leaves the buffer as it was") {
  EvbufferPtr buf(evbuffer_new());
  {
    Body body("abc");
    REQUIRE(body.AddTo(buf.get()));
    body.Append("def");
    CHECK(body == "abcdef");
  }
  CHECK(TakeAll(buf.get()) == "abc");
}

// A length above the limit is refused before the sender's bytes are kept.
TEST_CASE("Request, announces a body above the limit, is refused at its head") {
  MessageParser parser(HttpMessageType::kRequest, {1024, 16});
  parser.Feed("POST /a HTTP/1.1\r\nContent-Length: 17\r\n\r\n");
  CHECK(parser.state() == ParseState::kBodyTooLarge);
  CHECK(parser.message().body.empty());
}

TEST_CASE("Request, announces a body at the limit, is read") {
  MessageParser parser(HttpMessageType::kRequest, {1024, 16});
  parser.Feed("POST /a HTTP/1.1\r\nContent-Length: 16\r\n\r\n0123456789abcdef");
  CHECK(parser.state() == ParseState::kComplete);
}

}  // namespace
}  // namespace rwf
