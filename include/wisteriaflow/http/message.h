// HTTP message types that are independent of Boost.Beast, which only the sources of this package
// use.

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

// Header fields in the order of the message; a name may occur more than once.
using headers = std::vector<header>;

// Returns the value of the first field named `name` (ignoring case), or `fallback` if there is
// none.
[[nodiscard]] std::string_view find_header(const headers& fields, std::string_view name,
                                           std::string_view fallback = {});

// A complete request.
struct request {
  std::string method = "GET";
  std::string target = "/";
  headers fields;
  std::string body;

  friend bool operator==(const request&, const request&) = default;
};

// A complete response, or the head of a streamed response, in which `body` is empty.
struct response {
  int status = 200;
  headers fields;
  std::string body;

  friend bool operator==(const response&, const response&) = default;
};

// The path and query of a request target such as "/v1/addresses?zone=a".
struct target_parts {
  std::string path;
  std::vector<header> query; // percent-decoded name and value pairs

  friend bool operator==(const target_parts&, const target_parts&) = default;
};

// Splits `target` and decodes its query. Malformed percent escapes are kept unchanged.
[[nodiscard]] target_parts parse_target(std::string_view target);

// A TCP address: an IP address (not a host name) and a port.
struct socket_address {
  std::string host = "127.0.0.1";
  std::uint16_t port = 0;

  // NOLINT: clang-tidy 14 mistakes the comparison with zero inside it for one with a null pointer.
  friend auto operator<=>(const socket_address&,
                          const socket_address&) = default; // NOLINT(modernize-use-nullptr)
};

// Parses "127.0.0.1:8080". Throws http_error if `text` is not an IP address and a port.
[[nodiscard]] socket_address parse_socket_address(std::string_view text);

// Formats an address as "127.0.0.1:8080".
[[nodiscard]] std::string to_string(const socket_address& address);

} // namespace wisteriaflow::http

#endif // WISTERIAFLOW_HTTP_MESSAGE_H_
