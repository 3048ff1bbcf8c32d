#pragma once

#include <string>

#include "gateway/header_names.h"
#include "gateway/upstream_pool.h"
#include "traffic/instance_registry.h"

namespace rwf {

// What the end of one send says of the attempt. Only kConnectFailed, kShed and
// kMisdirected mean that the request has not run. A success without the
// instance's mark, or to another request, counts as broken.
AttemptOutcome ClassifyResult(const HeaderNames& header_names,
                              const std::string& request_id,
                              const SendResult& result);

}  // namespace rwf
