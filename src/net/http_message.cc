#include "net/http_message.h"

#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <strings.h>

#include <algorithm>

namespace rwf {

bool EqualsIgnoreCase(std::string_view a, std::string_view b) {
  return a.size() == b.size() && strncasecmp(a.data(), b.data(), a.size()) == 0;
}

std::string_view TrimBlanks(std::string_view text) {
  constexpr std::string_view kBlanks = " \t";
  const size_t begin = text.find_first_not_of(kBlanks);
  if (begin == std::string_view::npos) return {};
  return text.substr(begin, text.find_last_not_of(kBlanks) - begin + 1);
}

const std::string& HttpHeaders::Get(std::string_view name) const {
  static const std::string kEmpty;
  for (const Field& it : fields_) {
    if (EqualsIgnoreCase(it.first, name)) return it.second;
  }
  return kEmpty;
}

bool HttpHeaders::Has(std::string_view name) const {
  return std::any_of(fields_.begin(), fields_.end(), [&](const Field& it) {
    return EqualsIgnoreCase(it.first, name);
  });
}

void HttpHeaders::Add(std::string name, std::string value) {
  fields_.emplace_back(std::move(name), std::move(value));
}

void HttpHeaders::Set(std::string name, std::string value) {
  Remove(name);
  Add(std::move(name), std::move(value));
}

void HttpHeaders::Remove(std::string_view name) {
  std::erase_if(fields_, [&](const Field& it) {
    return EqualsIgnoreCase(it.first, name);
  });
}

std::string HttpRequest::QueryValue(std::string_view name) const {
  evkeyvalq params;
  if (evhttp_parse_query_str(query.c_str(), &params) != 0) return "";
  const char* found = evhttp_find_header(&params, std::string(name).c_str());
  std::string out = found == nullptr ? "" : found;
  evhttp_clear_headers(&params);
  return out;
}

HttpResponse JsonResponse(int status, std::string body) {
  HttpResponse out;
  out.status = status;
  out.headers.Add("Content-Type", "application/json");
  out.body = std::move(body);
  return out;
}

}  // namespace rwf
