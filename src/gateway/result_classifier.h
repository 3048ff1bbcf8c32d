#pragma once

#include <string>

#include "gateway/header_names.h"
#include "gateway/upstream_pool.h"
#include "traffic/instance_registry.h"

namespace rwf {

// Classifies the outcome of one send attempt. Only kConnectFailed, kShed and
// kMisdirected mean that the request has not run. A success without the
// server stamp, or with another request id, is classified as kBroken.
AttemptOutcome ClassifyResult(const HeaderNames& header_names,
                              const std::string& request_id,
                              const SendResult& result);

}  // namespace rwf
