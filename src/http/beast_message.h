// Conversions between the package's message types and those of Boost.Beast, and checks that protect
// sent messages against header injection.

#ifndef WISTERIAFLOW_SRC_HTTP_BEAST_MESSAGE_H_
#define WISTERIAFLOW_SRC_HTTP_BEAST_MESSAGE_H_

#include <string_view>

#include <boost/beast/http/fields.hpp>

#include "wisteriaflow/http/message.h"

namespace wisteriaflow::http::internal {

// Copies `from` into `to` without the fields that describe a connection or the framing, because
// each hop sets these itself. Throws http_error if a name or value contains characters that would
// corrupt the header, such as line breaks.
void append_fields(const headers& from, boost::beast::http::fields& to);

// Returns the fields of a received message, including those that describe the framing.
[[nodiscard]] headers to_headers(const boost::beast::http::fields& from);

// Throws http_error if `token` (a method or target) is empty or contains spaces or control
// characters.
void check_request_line_token(std::string_view token);

} // namespace wisteriaflow::http::internal

#endif // WISTERIAFLOW_SRC_HTTP_BEAST_MESSAGE_H_
