#include "once/idempotency_key.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <charconv>

#include "base/sha256_hasher.h"

namespace rwf {
namespace {

// Hexadecimal digits of the HMAC, truncated to 128 bits.
constexpr size_t kMacDigits = 32;
constexpr size_t kMaxKeyLength = 512;
// Domain separation, because the fleet secret also signs other data.
constexpr std::string_view kSigningDomain = "rwf idempotency key\n";

constexpr int64_t kLifetimeSeconds = kKeyLifetime / std::chrono::seconds(1);
constexpr int64_t kSkewSeconds = kKeyClockSkew / std::chrono::seconds(1);

class IdempotencyKeyCategory : public std::error_category {
 public:
  const char* name() const noexcept override { return "idempotency-key"; }
  std::string message(int value) const override {
    switch (static_cast<IdempotencyKeyErrc>(value)) {
      case IdempotencyKeyErrc::kMalformed:
        return "not in the form vm.incarnation.minted.mac.suffix";
      case IdempotencyKeyErrc::kBadMac:
        return "not signed with a secret of this fleet";
      case IdempotencyKeyErrc::kFromFuture:
        return "minted in the future according to the clock of this VM";
      case IdempotencyKeyErrc::kExpired:
        return "expired";
    }
    return "unknown error";
  }
};

std::string ComputeMac(std::string_view signed_part, std::string_view secret) {
  std::string text(kSigningDomain);
  text += signed_part;
  return ToHex(HmacSha256(secret, text)).substr(0, kMacDigits);
}

bool ParseNumber(std::string_view text, uint64_t* out) {
  const char* const end = text.data() + text.size();
  const auto [next, ec] = std::from_chars(text.data(), end, *out);
  return ec == std::errc() && next == end;
}

// Prefixes the part with its length, so that different lists of parts never
// give the same text.
void AppendPart(std::string* out, std::string_view part) {
  *out += std::to_string(part.size());
  *out += ':';
  *out += part;
}

}  // namespace

std::error_code make_error_code(IdempotencyKeyErrc code) {
  static const IdempotencyKeyCategory kCategory;
  return {static_cast<int>(code), kCategory};
}

std::string IdempotencyKey::MintPrefix(std::string_view vm,
                                       uint64_t incarnation,
                                       uint64_t minted_unix_s,
                                       std::string_view secret) {
  std::string text = fmt::format("{}.{}.{}", vm, incarnation, minted_unix_s);
  const std::string mac = ComputeMac(text, secret);
  return text + "." + mac;
}

Result<IdempotencyKey> IdempotencyKey::Parse(
    std::string_view text, const std::vector<std::string>& secrets,
    WallTime wall) {
  const auto malformed = [](const char* what) {
    return Fail(IdempotencyKeyErrc::kMalformed,
                fmt::format("idempotency key: {}", what));
  };
  if (text.size() > kMaxKeyLength) return malformed("key too long");
  std::array<std::string_view, 4> parts;
  std::string_view rest = text;
  for (std::string_view& part : parts) {
    const size_t dot = rest.find('.');
    if (dot == std::string_view::npos) return malformed("fewer than 5 parts");
    part = rest.substr(0, dot);
    rest.remove_prefix(dot + 1);
  }
  IdempotencyKey key;
  key.vm = std::string(parts[0]);
  key.suffix = std::string(rest);
  if (key.vm.empty()) return malformed("VM id is empty");
  if (key.suffix.empty()) return malformed("suffix is empty");
  if (key.suffix.size() > kMaxSuffixLength) return malformed("suffix too long");
  if (!std::all_of(text.begin(), text.end(),
                   [](char c) { return c > ' ' && c < 0x7f; })) {
    return malformed("contains characters other than printable ASCII");
  }
  if (!ParseNumber(parts[1], &key.incarnation) ||
      !ParseNumber(parts[2], &key.minted_unix_s)) {
    return malformed("incarnation or mint time is not a number");
  }
  const std::string_view signed_part =
      text.substr(0, static_cast<size_t>(parts[2].end() - text.begin()));
  const bool is_signed =
      std::any_of(secrets.begin(), secrets.end(), [&](const auto& secret) {
        return ConstantTimeEqual(parts[3], ComputeMac(signed_part, secret));
      });
  if (!is_signed) {
    return Fail(IdempotencyKeyErrc::kBadMac,
                "idempotency key: not signed with a secret of this fleet");
  }
  const int64_t now =
      std::chrono::floor<std::chrono::seconds>(wall).time_since_epoch().count();
  const auto minted = static_cast<int64_t>(key.minted_unix_s);
  if (key.minted_unix_s > static_cast<uint64_t>(INT64_MAX / 2) ||
      minted > now + kSkewSeconds) {
    return Fail(IdempotencyKeyErrc::kFromFuture,
                "idempotency key: minted in the future according to the clock "
                "of this VM");
  }
  if (now - minted >= kLifetimeSeconds + kSkewSeconds) {
    return Fail(
        IdempotencyKeyErrc::kExpired,
        fmt::format(
            "idempotency key: expired, minted {} s ago and valid for {} s",
            now - minted, kLifetimeSeconds));
  }
  return key;
}

Digest ClaimDigest(std::string_view workspace, std::string_view key) {
  std::string text;
  AppendPart(&text, workspace);
  AppendPart(&text, key);
  return Sha256(text);
}

Digest RequestDigest(std::string_view method, std::string_view path,
                     std::string_view body) {
  return RequestDigest(method, path, std::vector<std::string_view>{body});
}

Digest RequestDigest(std::string_view method, std::string_view path,
                     const std::vector<std::string_view>& body) {
  std::string head;
  AppendPart(&head, method);
  AppendPart(&head, path);
  size_t body_bytes = 0;
  for (std::string_view it : body) body_bytes += it.size();
  head += std::to_string(body_bytes);
  head += ':';
  Sha256Hasher hasher;
  hasher.Update(head);
  for (std::string_view it : body) hasher.Update(it);
  return hasher.Finish();
}

}  // namespace rwf
