#pragma once

#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace rwf {

// Header fields in the order of their arrival; names compare without regard to
// case.
class HttpHeaders {
 public:
  using Field = std::pair<std::string, std::string>;

  // First value of `name`, or an empty text.
  const std::string& Get(std::string_view name) const;
  bool Has(std::string_view name) const;
  void Add(std::string name, std::string value);
  // Replaces all values of `name` by one.
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
  std::string client_address;  // of a request that was received

  // The value of `name` in the query, percent-decoded, or an empty text.
  std::string QueryValue(std::string_view name) const;
};

struct HttpResponse {
  int status = 0;
  HttpHeaders headers;
  std::string body;
};

// A response with a JSON body.
HttpResponse JsonResponse(int status, std::string body);

}  // namespace rwf
