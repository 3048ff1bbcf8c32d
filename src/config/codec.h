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
  // but not references. Appends to lists that are not empty.
  void (*read)(JsonReader* document, Config* config);
  void (*copy)(const Config& from, Config* to);
  Json (*write)(const Config& config);
};

// All sections, in document order. The generation is not a section, since it
// changes with every one of them.
std::span<const SectionCodec> SectionCodecs();

// Returns nullptr if there is no section `name`.
const SectionCodec* FindSectionCodec(std::string_view name);

// Returns {"block":"10.1.0.0/16","zone":"x"}.
Json WriteClientBlock(const ClientBlock& block);
// Returns the block without its zone, e.g. "10.1.0.0/16".
std::string FormatBlock(const ClientBlock& block);
// Parses address and prefix length. The error message states the expected form.
Result<ClientBlock> ParseBlock(const std::string& text);

// JSON names of move states and drain kinds.
const char* ToText(MoveState state);
const char* ToText(DrainKind kind);

// Names appear in URLs, headers and idempotency keys, so they are limited to 1
// to 63 letters, digits, '-' and '_'.
bool IsValidName(std::string_view text);

// Sorts the lists whose order has no meaning (client blocks, withdrawn keys)
// into canonical order.
void SortUnorderedLists(Config* config);

}  // namespace rwf
