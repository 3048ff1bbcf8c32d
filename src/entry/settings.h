#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "base/error.h"
#include "net/http_client.h"
#include "net/peer_links.h"

namespace rwf {

enum class SettingsErrc { kInvalid = 1 };
std::error_code make_error_code(SettingsErrc code);

// The contents of the settings file of redwingferryd. Everything else is in the
// configuration.
struct Settings {
  std::string vm;
  std::string zone;
  std::string cluster;
  HttpTarget store;
  std::vector<std::string> fleet_secrets;  // the current one, then the previous
  std::string operator_token;
  std::string address;  // IPv4 of this VM
  uint16_t caller_port = 0;
  uint16_t peer_port = 0;
  uint16_t operator_port = 0;
  // Peers to request the first configuration from.
  std::vector<PeerAddress> seed_peers;

  friend bool operator==(const Settings&, const Settings&) = default;
};

// Reads settings (JSON with comments). On failure the message lists every
// problem with its JSON pointer.
Result<Settings> ParseSettings(std::string_view text, std::string_view source);

// Parses "http://ADDRESS:PORT" with an IPv4 address; returns false for any
// other text.
bool ParseHttpTarget(std::string_view text, HttpTarget* out);

}  // namespace rwf

template <>
struct std::is_error_code_enum<rwf::SettingsErrc> : std::true_type {};
