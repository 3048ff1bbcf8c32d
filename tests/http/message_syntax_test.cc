#include <doctest/doctest.h>

#include "http/parser.h"
#include "message_table.h"

namespace rwf {
namespace {

ParseState StateAfter(MessageParser* parser, const MessageRow& row,
                      size_t split) {
  const std::string_view text = row.text;
  const std::string_view first = text.substr(0, split);
  // What follows is only read if the first part is the begin of a message.
  if (parser->Feed(first) == first.size()) parser->Feed(text.substr(split));
  if (row.ends_with_close || split == 0) parser->FeedEof();
  return parser->state();
}

void CheckMalformed(HttpMessageType type, const std::string& section) {
  for (const MessageRow& row : ReadMessages(section)) {
    CAPTURE(row.name);
    size_t accepted = 0;
    for (size_t split = 0; split < row.text.size(); ++split) {
      MessageParser parser(type, {});
      if (StateAfter(&parser, row, split) != ParseState::kMalformed) ++accepted;
    }
    CHECK(accepted == 0);
  }
}

void CheckSound(HttpMessageType type, const std::string& section) {
  for (const MessageRow& row : ReadMessages(section)) {
    CAPTURE(row.name);
    for (size_t split = 0; split < row.text.size(); ++split) {
      CAPTURE(split);
      MessageParser parser(type, {});
      REQUIRE(StateAfter(&parser, row, split) == ParseState::kComplete);
      const ReceivedMessage& it = parser.message();
      if (type == HttpMessageType::kRequest) {
        CHECK(it.target == row.target);
      } else {
        CHECK(it.status == row.status);
      }
      CHECK(it.body == row.content);
      if (!row.field.first.empty())
        CHECK(it.headers.Get(row.field.first) == row.field.second);
    }
  }
}

// Guards against broken responses that reach callers: http_parser accepts a
// status of 000, blanks in field names and more.
TEST_CASE("Response, against the syntax, is malformed at every split") {
  CheckMalformed(HttpMessageType::kResponse, "malformed_responses");
}

// Guards against a request that an upstream reads differently, as one of
// another workspace or as two requests.
TEST_CASE("Request, against the syntax, is malformed at every split") {
  CheckMalformed(HttpMessageType::kRequest, "malformed_requests");
}

TEST_CASE("Response, unusual but sound, is parsed at every split") {
  CheckSound(HttpMessageType::kResponse, "sound_responses");
}

TEST_CASE("Request, unusual but sound, is parsed at every split") {
  CheckSound(HttpMessageType::kRequest, "sound_requests");
}

// Guards against a message whose end is missed, or found within the next one.
TEST_CASE("Message, followed by another, is parsed apart from it") {
  for (const MessageRow& row : ReadMessages("sound_responses")) {
    if (row.ends_with_close) continue;
    CAPTURE(row.name);
    MessageParser parser(HttpMessageType::kResponse, {});
    CHECK(parser.Feed(row.text + row.text) == row.text.size());
    CHECK(parser.state() == ParseState::kComplete);
  }
}

// Guards against the body of a response to HEAD being awaited, and against one
// that a status or a length of zero excludes.
TEST_CASE("Response, without a body, ends with its head") {
  const std::string chunked = "Transfer-Encoding: chunked\r\n\r\n";
  struct Row {
    std::string text;
    bool is_head_response;
  };
  for (const Row& row :
       {Row{"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n", true},
        Row{"HTTP/1.1 200 OK\r\n" + chunked, true},
        Row{"HTTP/1.1 200 OK\r\n\r\n", true},
        Row{"HTTP/1.1 103 X\r\n\r\nHTTP/1.1 200 OK\r\n\r\n", true},
        Row{"HTTP/1.1 204 No Content\r\nContent-Length: 0\r\n\r\n", false},
        Row{"HTTP/1.1 304 Not Modified\r\nContent-Length: 4\r\n\r\n", false}}) {
    CAPTURE(row.text);
    MessageParser parser(HttpMessageType::kResponse, {});
    parser.Reset(row.is_head_response);
    CHECK(parser.Feed(row.text + "x") == row.text.size());
    CHECK(parser.state() == ParseState::kComplete);
  }
}

}  // namespace
}  // namespace rwf
