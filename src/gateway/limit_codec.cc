#include "gateway/limit_codec.h"

#include <algorithm>
#include <cmath>
#include <memory>

namespace rwf {

wire::LimitClaimsT ToWire(const LimitClaims& message) {
  wire::LimitClaimsT out;
  out.id = message.id;
  for (const LimitClaim& it : message.claims) {
    auto claim = std::make_unique<wire::LimitClaimT>();
    claim->name = it.name;
    claim->admitted = it.admitted;
    claim->returned = it.returned;
    claim->wanted = it.wanted;
    if (it.handed_over) claim->handed_over = *it.handed_over;
    out.claims.push_back(std::move(claim));
  }
  return out;
}

wire::LimitReplyT ToWire(const LimitReply& message) {
  wire::LimitReplyT out;
  out.id = message.id;
  for (const LimitVerdict& it : message.verdicts) {
    auto verdict = std::make_unique<wire::LimitVerdictT>();
    verdict->name = it.name;
    verdict->granted = it.granted;
    verdict->retry_after_ms = static_cast<uint32_t>(
        std::clamp<int64_t>(ToMillis(it.retry_after), 0, UINT32_MAX));
    verdict->is_scarce = it.is_scarce;
    out.verdicts.push_back(std::move(verdict));
  }
  return out;
}

LimitClaims FromWire(const wire::LimitClaimsT& message) {
  LimitClaims out{message.id, {}};
  for (const auto& it : message.claims) {
    LimitClaim claim{it->name, it->admitted, it->returned, it->wanted};
    if (it->handed_over && std::isfinite(*it->handed_over))
      claim.handed_over = *it->handed_over;
    out.claims.push_back(std::move(claim));
  }
  return out;
}

LimitReply FromWire(const wire::LimitReplyT& message) {
  LimitReply out{message.id, {}};
  for (const auto& it : message.verdicts) {
    out.verdicts.push_back({it->name, it->granted,
                            std::chrono::milliseconds(it->retry_after_ms),
                            it->is_scarce});
  }
  return out;
}

}  // namespace rwf
