#pragma once

#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace rwf {

bool EqualsIgnoreCase(std::string_view a, std::string_view b);
// Returns `text` without the spaces and tabs at its ends.
std::string_view TrimBlanks(std::string_view text);

// Header fields in the order received. Names are case-insensitive.
class HttpHeaders {
 public:
  using Field = std::pair<std::string, std::string>;

  // Returns the first value of `name`, or an empty string.
  const std::string& Get(std::string_view name) const;
  bool Has(std::string_view name) const;
  void Add(std::string name, std::string value);
  // Replaces all values of `name` with `value`.
  void Set(std::string name, std::string value);
  void Remove(std::string_view name);

  auto begin() const { return fields_.begin(); }
  auto end() const { return fields_.end(); }

  friend bool operator==(const HttpHeaders&, const HttpHeaders&) = default;

 private:
  std::vector<Field> fields_;
};

struct HttpRequest {
  std::string method;
  std::string path;   // as sent, without the query
  std::string query;  // without '?'
  HttpHeaders headers;
  std::string body;
  std::string client_address;  // set on received requests only

  // Returns the percent-decoded value of `name` in the query, or an empty
  // string.
  std::string QueryValue(std::string_view name) const;
};

struct HttpResponse {
  int status = 0;
  HttpHeaders headers;
  std::string body;
};

HttpResponse JsonResponse(int status, std::string body);

}  // namespace rwf
