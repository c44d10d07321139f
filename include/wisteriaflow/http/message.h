// HTTP messages as the project passes them between its parts. Beast stays behind the package's
// sources.

#ifndef WISTERIAFLOW_HTTP_MESSAGE_H_
#define WISTERIAFLOW_HTTP_MESSAGE_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace wisteriaflow::http {

// One header field.
struct header {
  std::string name;
  std::string value;

  friend bool operator==(const header&, const header&) = default;
};

// Header fields in the order they stand in the message.
using headers = std::vector<header>;

// The value of the first field named `name` (case ignored), or `fallback` if there is none.
[[nodiscard]] std::string_view find_header(const headers& fields, std::string_view name,
                                           std::string_view fallback = {});

// A whole request.
struct request {
  std::string method = "GET";
  std::string target = "/";
  headers fields;
  std::string body;

  friend bool operator==(const request&, const request&) = default;
};

// A whole response, or the head of a streamed one (`body` empty).
struct response {
  int status = 200;
  headers fields;
  std::string body;

  friend bool operator==(const response&, const response&) = default;
};

// The parts of a request target such as "/v1/addresses?zone=a".
struct target_parts {
  std::string path;
  std::vector<header> query; // percent-decoded name and value pairs

  friend bool operator==(const target_parts&, const target_parts&) = default;
};

// Splits and decodes `target`. Malformed percent escapes are kept as they stand.
[[nodiscard]] target_parts parse_target(std::string_view target);

// A TCP address by IP number.
struct socket_address {
  std::string host = "127.0.0.1";
  std::uint16_t port = 0;

  // clang-tidy 14 takes the comparison with zero inside it for a null pointer.
  friend auto operator<=>(const socket_address&,
                          const socket_address&) = default; // NOLINT(modernize-use-nullptr)
};

// Parses "127.0.0.1:8080". Throws http_error if `text` is not an IP number and a port.
[[nodiscard]] socket_address parse_socket_address(std::string_view text);

// "127.0.0.1:8080".
[[nodiscard]] std::string to_string(const socket_address& address);

} // namespace wisteriaflow::http

#endif // WISTERIAFLOW_HTTP_MESSAGE_H_
