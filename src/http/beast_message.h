// Conversions between the package's messages and Beast's, and the checks that a message may be
// written as it stands.

#ifndef WISTERIAFLOW_SRC_HTTP_BEAST_MESSAGE_H_
#define WISTERIAFLOW_SRC_HTTP_BEAST_MESSAGE_H_

#include <string_view>

#include <boost/beast/http/fields.hpp>

#include "wisteriaflow/http/message.h"

namespace wisteriaflow::http::internal {

// Copies `from` into `to`, leaving out the fields that describe one connection or the framing:
// those are set anew for each hop. Throws http_error if a field would break the message's lines.
void append_fields(const headers& from, boost::beast::http::fields& to);

// The fields of a received message, framing included.
[[nodiscard]] headers to_headers(const boost::beast::http::fields& from);

// Throws http_error unless `word` can stand in a request line.
void check_request_word(std::string_view word);

} // namespace wisteriaflow::http::internal

#endif // WISTERIAFLOW_SRC_HTTP_BEAST_MESSAGE_H_
