#include "load/load_plan.h"

#include <arpa/inet.h>
#include <fmt/format.h>

#include <cstdlib>

namespace rwf {
namespace {

using std::chrono::milliseconds;

// Reads are several times as frequent as writes.
constexpr double kReadWeight = 4;
constexpr int64_t kDefaultMaxTimeoutMs = 5000;

LoadPlan::Block ParseBlock(const std::string& text) {
  const size_t slash = text.find('/');
  in_addr raw{};
  inet_pton(AF_INET, text.substr(0, slash).c_str(), &raw);
  const int n =
      slash == std::string::npos ? 32 : std::atoi(text.c_str() + slash + 1);
  return {ntohl(raw.s_addr), n};
}

LoadPlan::Service ReadService(const Json& it) {
  LoadPlan::Service out;
  out.name = it.at("name");
  for (const Json& route : it.at("routes")) {
    LoadPlan::Route entry;
    entry.method = route.at("method");
    entry.prefix = route.at("prefix");
    entry.is_idempotent = route.value("idempotent", true);
    entry.is_open = route.value("open", false);
    entry.max_timeout =
        milliseconds(route.value("max_timeout_ms", kDefaultMaxTimeoutMs));
    entry.weight = entry.is_idempotent ? kReadWeight : 1;
    out.routes.push_back(entry);
  }
  for (const Json& upstream : it.at("upstreams")) {
    out.upstreams.push_back({upstream.at("address"), upstream.at("port")});
    out.weight += upstream.value("slots", 1.0);
  }
  return out;
}

}  // namespace

std::string LoadPlan::RandomClientAddress(std::mt19937_64* random) const {
  if (client_blocks.empty()) return "10.0.0.1";
  std::uniform_int_distribution<size_t> pick(0, client_blocks.size() - 1);
  const Block& block = client_blocks[pick(*random)];
  const uint64_t hosts = uint64_t{1} << (32 - block.prefix_length);
  std::uniform_int_distribution<uint64_t> host(0, hosts - 1);
  const uint32_t n = block.address + static_cast<uint32_t>(host(*random));
  return fmt::format("{}.{}.{}.{}", n >> 24, n >> 16 & 255, n >> 8 & 255,
                     n & 255);
}

Result<LoadPlan> ReadLoadPlan(const Json& config, const Json& keys) {
  LoadPlan out;
  try {
    for (const Json& it : config.at("services")) {
      out.services.push_back(ReadService(it));
    }
    for (const Json& it : config.at("workspaces")) {
      const std::string name = it.at("name");
      const Json key = keys.value(name, Json(""));
      out.workspaces.push_back({name, it.at("rate"), it.value("burst", 1.0),
                                key.is_array() ? key.at(0) : key});
    }
    for (const Json& it : config.at("entry_vms")) {
      out.entry_vms.push_back(
          {it.at("id"), {it.at("address"), it.at("caller_port")}});
    }
    for (const Json& it : config.value("client_blocks", Json::array())) {
      out.client_blocks.push_back(ParseBlock(it.at("block")));
    }
  } catch (const Json::exception& e) {
    return Fail(
        JsonErrc::kSchema,
        fmt::format("invalid configuration or keys file: {}", e.what()));
  }
  if (out.services.empty() || out.workspaces.empty())
    return Fail(JsonErrc::kSchema,
                "configuration has no services or no workspaces");
  return out;
}

}  // namespace rwf
