// Accessors for fields of JSON values that daemons exchange. Each throws std::exception if the
// field is missing or of another type; callers convert that into their own error.

#ifndef WISTERIAFLOW_SRC_GATEWAY_JSON_FIELDS_H_
#define WISTERIAFLOW_SRC_GATEWAY_JSON_FIELDS_H_

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>

#include <boost/json/parse.hpp>
#include <boost/json/value.hpp>
#include <boost/json/value_to.hpp>

#include "wisteriaflow/gateway/store_revision.h"

namespace wisteriaflow::gateway::internal {

// Parses a message of a daemon. Texts in it that other programs have stored need not be valid
// UTF-8; one of them must not make the whole message unreadable.
inline boost::json::value parse_lenient(std::string_view text)
{
  boost::json::parse_options options;
  options.allow_invalid_utf8 = true;
  return boost::json::parse(text, {}, options);
}

inline std::string text_at(const boost::json::value& from, std::string_view key)
{
  return boost::json::value_to<std::string>(from.at(key));
}

inline std::uint64_t number_at(const boost::json::value& from, std::string_view key)
{
  return from.at(key).to_number<std::uint64_t>();
}

inline store_revision revision_at(const boost::json::value& from, std::string_view key)
{
  return store_revision::from_packed(number_at(from, key));
}

// An age is never negative, whatever a peer sends: a timestamp in the future would never expire.
inline std::chrono::milliseconds decode_age(const boost::json::value& from)
{
  return std::chrono::milliseconds(std::max<std::int64_t>(0, from.to_number<std::int64_t>()));
}

} // namespace wisteriaflow::gateway::internal

#endif // WISTERIAFLOW_SRC_GATEWAY_JSON_FIELDS_H_
