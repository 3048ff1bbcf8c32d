#pragma once

#include <span>
#include <string>
#include <string_view>

#include "base/json_reader.h"
#include "config/config.h"

namespace rwf {

// Reads and writes one top-level member of the configuration document.
struct SectionCodec {
  const char* name;
  // Reads member `name` of `document` into `config`, checking types and ranges
  // but no references; appends to lists that are not empty.
  void (*read)(JsonReader* document, Config* config);
  void (*copy)(const Config& from, Config* to);
  Json (*write)(const Config& config);
};

// Every section, in the order of the document. The generation is no section:
// it changes with each of them.
std::span<const SectionCodec> SectionCodecs();

// The codec named `name`, nullptr when there is none.
const SectionCodec* FindSectionCodec(std::string_view name);

// A client block as {"block":"10.1.0.0/16","zone":"x"}.
Json WriteClientBlock(const ClientBlock& block);
// "10.1.0.0/16".
std::string FormatBlock(const ClientBlock& block);
// Reads address and prefix length; on failure says what was expected.
Result<ClientBlock> ParseBlock(const std::string& text);

// Names in JSON of moves' states and drains' kinds.
const char* ToText(MoveState state);
const char* ToText(DrainKind kind);

// Names are parts of URLs, headers and idempotency keys, so their alphabet is
// letters, digits, '-' and '_', and their length 1 to 63.
bool IsValidName(std::string_view text);

// Puts lists whose order has no meaning (client blocks, withdrawn keys) into
// their canonical order.
void SortUnorderedLists(Config* config);

}  // namespace rwf
