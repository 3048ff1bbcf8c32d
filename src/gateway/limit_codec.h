#pragma once

#include "traffic/limit_messages.h"
#include "wire/messages_generated.h"

namespace rwf {

// Convert the messages on limits of workspaces to and from their wire form.
wire::LimitClaimsT ToWire(const LimitClaims& message);
wire::LimitReplyT ToWire(const LimitReply& message);
LimitClaims FromWire(const wire::LimitClaimsT& message);
LimitReply FromWire(const wire::LimitReplyT& message);

}  // namespace rwf
