#include "config/codec.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <chrono>
#include <utility>

#include "config/config_error.h"
#include "config/ipv4.h"

namespace rwf {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int64_t kMaxWeight = 1'000;
constexpr int64_t kMaxSlots = 100'000;
constexpr int64_t kMaxConnections = 1'000'000;
constexpr double kMinRate = 0.001;  // requests per second
constexpr double kMaxRate = 1e6;
constexpr int64_t kMaxBurst = 10'000'000;
constexpr int64_t kMaxTimeoutMs = 10'000;
constexpr int64_t kMaxKeyStalenessS = 86'400;
constexpr int64_t kDefaultIdempotentKeyStalenessS = 3'600;
constexpr int64_t kDefaultNonIdempotentKeyStalenessS = 60;
constexpr int64_t kMaxLinkBytesPerSecond = 12'500'000'000;  // 100 Gbit/s
constexpr int64_t kMaxOneWayMs = 10'000;
constexpr int64_t kMaxBodyBytes = 64 << 20;
constexpr int64_t kMaxQueuedRequests = 128;

constexpr std::array kMoveStates = {"running", "paused", "stopped"};
constexpr std::array kDrainKinds = {"upstream", "zone", "region", "entry_vm"};

template <size_t N>
size_t IndexOfName(const std::array<const char*, N>& names,
                   const std::string& text) {
  const auto it = std::find(names.begin(), names.end(), text);
  return it == names.end() ? 0 : static_cast<size_t>(it - names.begin());
}

// Reads members of one JSON object into the fields of a struct. Has the same
// interface as ObjectWriter, so that one VisitFields() function per struct
// serves both.
class ObjectReader {
 public:
  static constexpr bool kIsReader = true;
  explicit ObjectReader(JsonReader* reader) : reader_(reader) {}

  void Name(const char* name, std::string& out) {
    out = reader_->String(name);
    if (out.empty() || IsValidName(out)) return;
    reader_->AddProblem(name,
                        fmt::format("found {:?}, expected 1 to 63 letters, "
                                    "digits, '-' or '_'",
                                    out));
  }
  void Address(const char* name, std::string& out) {
    out = reader_->String(name);
    if (out.empty() || ParseIpv4(out)) return;
    reader_->AddProblem(
        name, fmt::format("found {:?}, expected an IPv4 address", out));
  }
  void PathPrefix(const char* name, std::string& out) {
    static constexpr std::string_view kAllowed =
        "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789/-_.~";
    out = reader_->String(name);
    if (out.empty() || (out.front() == '/' &&
                        out.find_first_not_of(kAllowed) == std::string::npos))
      return;
    reader_->AddProblem(
        name, fmt::format("found {:?}, expected a path that starts with '/' "
                          "and has only letters, digits and /-_.~",
                          out));
  }
  template <typename T>
  void Integer(const char* name, T& out, int64_t low, int64_t high) {
    out = static_cast<T>(reader_->Integer(name, low, high));
  }
  template <typename T>
  void OptionalInteger(const char* name, T& out, int64_t low, int64_t high) {
    out = static_cast<T>(
        reader_->Integer(name, low, high, static_cast<int64_t>(out)));
  }
  void Number(const char* name, double& out, double low, double high) {
    out = reader_->Number(name, low, high);
  }
  void Flag(const char* name, bool& out) { out = reader_->Boolean(name, out); }
  template <typename Unit>
  void Time(const char* name, Duration& out, int64_t low, int64_t high) {
    out = Unit(reader_->Integer(name, low, high));
  }
  template <typename Unit>
  void OptionalTime(const char* name, Duration& out, int64_t low,
                    int64_t high) {
    const auto fallback = std::chrono::duration_cast<Unit>(out).count();
    out = Unit(reader_->Integer(name, low, high, fallback));
  }
  void Method(const char* name, std::string& out) {
    out = reader_->Choice(name,
                          {"GET", "POST", "PUT", "DELETE", "HEAD", "PATCH"});
  }
  void State(const char* name, MoveState& out) {
    out = static_cast<MoveState>(IndexOfName(
        kMoveStates,
        reader_->Choice(name, {"running", "paused", "stopped"}, "paused")));
  }
  void Kind(const char* name, DrainKind& out) {
    out = static_cast<DrainKind>(IndexOfName(
        kDrainKinds,
        reader_->Choice(name, {"upstream", "zone", "region", "entry_vm"})));
  }
  void Digests(const char* name, std::vector<Digest>& out) {
    const Json* list = reader_->Array(name);
    if (list == nullptr) return;
    for (size_t i = 0; i < list->size(); ++i) {
      Digest digest;
      const Json& it = (*list)[i];
      if (it.is_string() && FromHex(it.get_ref<const std::string&>(), &digest))
        out.push_back(digest);
      else  // Omits the value, which may be a plaintext key.
        reader_->AddProblem(fmt::format("{}/{}", name, i).c_str(),
                            "expected a SHA-256 digest of 64 hexadecimal "
                            "characters");
    }
  }
  template <typename T>
  void List(const char* name, std::vector<T>& out, bool required = false) {
    for (JsonReader& it : reader_->Objects(name, required)) {
      ObjectReader element(&it);
      out.emplace_back();
      VisitFields(element, out.back());
      it.Finish();
    }
  }

 private:
  JsonReader* reader_;
};

// Writes the fields of a struct as members of one JSON object.
class ObjectWriter {
 public:
  static constexpr bool kIsReader = false;
  explicit ObjectWriter(Json* out) : out_(out) { *out_ = Json::object(); }

  void Name(const char* name, const std::string& value) { Put(name, value); }
  void Address(const char* name, const std::string& value) { Put(name, value); }
  void PathPrefix(const char* name, const std::string& value) {
    Put(name, value);
  }
  template <typename T>
  void Integer(const char* name, const T& value, int64_t, int64_t) {
    Put(name, value);
  }
  template <typename T>
  void OptionalInteger(const char* name, const T& value, int64_t, int64_t) {
    Put(name, value);
  }
  void Number(const char* name, double value, double, double) {
    Put(name, value);
  }
  void Flag(const char* name, bool value) { Put(name, value); }
  template <typename Unit>
  void Time(const char* name, Duration value, int64_t, int64_t) {
    Put(name, std::chrono::duration_cast<Unit>(value).count());
  }
  template <typename Unit>
  void OptionalTime(const char* name, Duration value, int64_t, int64_t) {
    Put(name, std::chrono::duration_cast<Unit>(value).count());
  }
  void Method(const char* name, const std::string& value) { Put(name, value); }
  void State(const char* name, MoveState value) { Put(name, ToText(value)); }
  void Kind(const char* name, DrainKind value) { Put(name, ToText(value)); }
  void Digests(const char* name, const std::vector<Digest>& value) {
    Json list = Json::array();
    for (const Digest& it : value) list.push_back(ToHex(it));
    Put(name, std::move(list));
  }
  template <typename T>
  void List(const char* name, std::vector<T>& value, bool = false) {
    Json list = Json::array();
    for (T& it : value) {
      list.emplace_back();
      ObjectWriter element(&list.back());
      VisitFields(element, it);
    }
    Put(name, std::move(list));
  }

 private:
  template <typename T>
  void Put(const char* name, T&& value) {
    (*out_)[name] = std::forward<T>(value);
  }
  Json* out_;
};

// VisitFields() lists the members of each struct: JSON name, field and range.

template <typename Object>
void VisitFields(Object& o, Region& it) {
  o.Name("name", it.name);
}

template <typename Object>
void VisitFields(Object& o, Zone& it) {
  o.Name("name", it.name);
  o.Name("region", it.region);
}

template <typename Object>
void VisitFields(Object& o, Link& it) {
  o.Name("from", it.from);
  o.Name("to", it.to);
  o.Integer("bytes_per_second", it.bytes_per_second, 1, kMaxLinkBytesPerSecond);
  o.template Time<milliseconds>("one_way_ms", it.one_way, 0, kMaxOneWayMs);
}

template <typename Object>
void VisitFields(Object& o, EntryVm& it) {
  o.Name("id", it.id);
  o.Name("zone", it.zone);
  o.Address("address", it.address);
  o.Integer("caller_port", it.caller_port, 1, UINT16_MAX);
  o.Integer("peer_port", it.peer_port, 1, UINT16_MAX);
  o.Integer("operator_port", it.operator_port, 1, UINT16_MAX);
  // Weight 0 withdraws the shares of a VM before it is removed from the
  // configuration.
  o.OptionalInteger("weight", it.weight, 0, kMaxWeight);
  o.Flag("retired", it.retired);
}

template <typename Object>
void VisitFields(Object& o, Upstream& it) {
  o.Name("id", it.id);
  o.Name("zone", it.zone);
  o.Address("address", it.address);
  o.Integer("port", it.port, 1, UINT16_MAX);
  o.Integer("slots", it.slots, 1, kMaxSlots);
  o.Integer("connections", it.connections, 1, kMaxConnections);
}

template <typename Object>
void VisitFields(Object& o, Route& it) {
  o.Method("method", it.method);
  o.PathPrefix("prefix", it.prefix);
  // By default only read methods are idempotent, so that an omitted member
  // never lets a request run twice.
  if constexpr (Object::kIsReader)
    it.idempotent = it.method == "GET" || it.method == "HEAD";
  o.Flag("idempotent", it.idempotent);
  o.Flag("open", it.open);
  o.template Time<milliseconds>("max_timeout_ms", it.max_timeout, 1,
                                kMaxTimeoutMs);
  if constexpr (Object::kIsReader) {
    it.key_staleness_limit =
        seconds(it.idempotent ? kDefaultIdempotentKeyStalenessS
                              : kDefaultNonIdempotentKeyStalenessS);
  }
  o.template OptionalTime<seconds>(
      "key_staleness_limit_s", it.key_staleness_limit, 1, kMaxKeyStalenessS);
}

template <typename Object>
void VisitFields(Object& o, Service& it) {
  o.Name("name", it.name);
  o.List("routes", it.routes, true);
  o.List("upstreams", it.upstreams, true);
}

template <typename Object>
void VisitFields(Object& o, Workspace& it) {
  o.Name("name", it.name);
  o.Number("rate", it.rate, kMinRate, kMaxRate);
  o.Integer("burst", it.burst, 1, kMaxBurst);
  o.OptionalInteger("weight", it.weight, 1, kMaxWeight);
  o.Digests("keys", it.keys);
}

template <typename Object>
void VisitFields(Object& o, Move& it) {
  o.Name("id", it.id);
  o.Name("service", it.service);
  o.Name("from", it.from);
  o.Name("to", it.to);
  o.Number("percent", it.percent, 0.01, 100);
  o.Number("step_percent", it.step_percent, 0.01, 100);
  o.Number("cap_percent", it.cap_percent, 1, 100);
  o.template Time<seconds>("step_interval_s", it.step_interval, 1, 86'400);
  o.OptionalInteger("step", it.step, 0, 10'000);
  o.State("state", it.state);
}

template <typename Object>
void VisitFields(Object& o, Drain& it) {
  o.Kind("kind", it.kind);
  o.Name("id", it.id);
}

template <typename Object>
void VisitFields(Object& o, Limits& it) {
  o.template OptionalTime<milliseconds>("lookup_ttl_ms", it.lookup_ttl, 100,
                                        60'000);
  o.OptionalInteger("max_request_bytes", it.max_request_bytes, 1,
                    kMaxBodyBytes);
  o.OptionalInteger("max_response_bytes", it.max_response_bytes, 1,
                    kMaxBodyBytes);
  o.OptionalInteger("queue_per_workspace", it.queue_per_workspace, 1,
                    kMaxQueuedRequests);
}

// ReadMember() and WriteMember() convert one top-level member: a list, a struct
// or a name.
template <typename T>
void ReadMember(JsonReader* document, const char* name, bool required,
                std::vector<T>* out) {
  ObjectReader(document).List(name, *out, required);
}

void ReadMember(JsonReader* document, const char* name, bool,
                std::vector<Digest>* out) {
  ObjectReader(document).Digests(name, *out);
}

void ReadMember(JsonReader* document, const char* name, bool,
                std::string* out) {
  ObjectReader(document).Name(name, *out);
}

void ReadMember(JsonReader* document, const char* name, bool, Limits* out) {
  JsonReader limits = document->Object(name);
  ObjectReader reader(&limits);
  VisitFields(reader, *out);
  limits.Finish();
}

template <typename T>
Json WriteMember(std::vector<T> value) {
  Json out;
  ObjectWriter(&out).List("list", value);
  return std::move(out["list"]);
}

Json WriteMember(const std::vector<Digest>& value) {
  Json out;
  ObjectWriter(&out).Digests("list", value);
  return std::move(out["list"]);
}

Json WriteMember(const std::string& value) { return value; }

Json WriteMember(Limits value) {
  Json out;
  ObjectWriter writer(&out);
  VisitFields(writer, value);
  return out;
}

// Reads {"block", "zone"} objects without a JsonReader to save time: there may
// be 360,000 of them.
void ReadClientBlocks(JsonReader* document, Config* config) {
  const Json* list = document->Array("client_blocks");
  if (list == nullptr) return;
  config->client_blocks.reserve(config->client_blocks.size() + list->size());
  for (size_t i = 0; i < list->size(); ++i) {
    const Json& it = (*list)[i];
    const auto problem = [&](const char* member, const std::string& message) {
      document->AddProblem(fmt::format("client_blocks/{}{}", i, member).c_str(),
                           message);
    };
    const auto block = it.is_object() ? it.find("block") : it.end();
    const auto zone = it.is_object() ? it.find("zone") : it.end();
    if (block == it.end() || zone == it.end() || it.size() != 2) {
      problem("", "expected an object with exactly the members block, zone");
      continue;
    }
    if (!zone->is_string() ||
        !IsValidName(zone->get_ref<const std::string&>())) {
      problem("/zone", "expected a zone name");
      continue;
    }
    if (!block->is_string()) {
      problem("/block", "expected a string such as 10.1.0.0/16");
      continue;
    }
    auto parsed = ParseBlock(block->get_ref<const std::string&>());
    if (!parsed) {
      problem("/block", parsed.error().message);
      continue;
    }
    parsed->zone = zone->get<std::string>();
    config->client_blocks.push_back(std::move(*parsed));
  }
}

Json WriteClientBlocks(const Config& config) {
  Json out = Json::array();
  for (const ClientBlock& it : config.client_blocks)
    out.push_back(WriteClientBlock(it));
  return out;
}

#define RWF_SECTION(member, required)                                  \
  SectionCodec {                                                       \
#member,                                                             \
        [](JsonReader* document, Config* config) {                       \
          ReadMember(document, #member, required, &config->member);      \
        },                                                               \
        [](const Config& from, Config* to) { to->member = from.member; }, \
        [](const Config& config) { return WriteMember(config.member); } \
  }

constexpr std::array kSectionCodecs = {
    RWF_SECTION(site, true),
    RWF_SECTION(regions, true),
    RWF_SECTION(zones, true),
    RWF_SECTION(links, false),
    RWF_SECTION(entry_vms, true),
    RWF_SECTION(services, true),
    RWF_SECTION(workspaces, true),
    RWF_SECTION(withdrawn_keys, false),
    SectionCodec{"client_blocks", ReadClientBlocks,
                 [](const Config& from, Config* to) {
                   to->client_blocks = from.client_blocks;
                 },
                 WriteClientBlocks},
    RWF_SECTION(moves, false),
    RWF_SECTION(drains, false),
    RWF_SECTION(limits, false),
};

#undef RWF_SECTION

}  // namespace

std::span<const SectionCodec> SectionCodecs() { return kSectionCodecs; }

const SectionCodec* FindSectionCodec(std::string_view name) {
  const auto it = std::find_if(
      kSectionCodecs.begin(), kSectionCodecs.end(),
      [&](const SectionCodec& codec) { return codec.name == name; });
  return it == kSectionCodecs.end() ? nullptr : &*it;
}

Json WriteClientBlock(const ClientBlock& block) {
  return {{"block", FormatBlock(block)}, {"zone", block.zone}};
}

std::string FormatBlock(const ClientBlock& block) {
  return fmt::format("{}/{}", FormatIpv4(block.address), block.prefix_length);
}

Result<ClientBlock> ParseBlock(const std::string& text) {
  const size_t slash = text.find('/');
  const auto address = ParseIpv4(text.substr(0, slash));
  int length = -1;
  if (slash != std::string::npos) {
    const char* end = text.data() + text.size();
    const auto parsed =
        std::from_chars(text.data() + slash + 1, end, length, 10);
    if (parsed.ec != std::errc() || parsed.ptr != end) length = -1;
  }
  if (!address || length < 0 || length > 32) {
    return Fail(ConfigErrc::kInvalid,
                fmt::format("found {:?}, expected an IPv4 block such as "
                            "10.1.0.0/16",
                            text));
  }
  const uint32_t network = *address & PrefixMask(length);
  if (network != *address) {
    return Fail(
        ConfigErrc::kInvalid,
        fmt::format("found {}, which has bits below its prefix, expected {}/{}",
                    text, FormatIpv4(network), length));
  }
  return ClientBlock{*address, static_cast<uint8_t>(length), ""};
}

const char* ToText(MoveState state) {
  return kMoveStates.at(static_cast<size_t>(state));
}

const char* ToText(DrainKind kind) {
  return kDrainKinds.at(static_cast<size_t>(kind));
}

bool IsValidName(std::string_view text) {
  static constexpr size_t kMaxLength = 63;
  return !text.empty() && text.size() <= kMaxLength &&
         std::all_of(text.begin(), text.end(), [](char c) {
           return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
                  (c >= '0' && c <= '9') || c == '-' || c == '_';
         });
}

void SortUnorderedLists(Config* config) {
  // Assembled lists are already sorted, and checking is cheaper than sorting.
  const auto sort = [](auto& list) {
    if (!std::is_sorted(list.begin(), list.end()))
      std::sort(list.begin(), list.end());
  };
  sort(config->client_blocks);
  sort(config->withdrawn_keys);
}

}  // namespace rwf
