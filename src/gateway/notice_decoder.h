#pragma once

#include <string>

#include "base/time.h"
#include "net/http_message.h"
#include "traffic/instance_notices.h"

namespace rwf {

struct DecodedNotice {
  InstanceNotice notice;
  // False if a rate limit is named that cannot be used, so that the limit known
  // before holds.
  bool is_rate_limit_usable = true;
  // Names the header field that cannot be used as it is, and why; empty if all
  // can.
  std::string problem;
  friend bool operator==(const DecodedNotice&, const DecodedNotice&) = default;
};

// Decodes what instances say of themselves in their responses. Implemented by
// the platform adapter.
class NoticeDecoder {
 public:
  virtual ~NoticeDecoder() = default;
  virtual DecodedNotice Decode(int status, const HttpHeaders& headers,
                               WallTime now) const = 0;
};

}  // namespace rwf
