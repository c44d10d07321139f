#include "wisteriaflow/gateway/terms_codec.h"

#include <boost/json/array.hpp>

#include "gateway/json_fields.h"

namespace wisteriaflow::gateway {
namespace {

namespace json = boost::json;

// Short names, since a report may contain many of these.
json::value encode(const peer_terms& t)
{
  json::object out = {
      {"id", t.process.id.value()}, {"inc", t.process.incarnation}, {"age", t.age.count()}};
  if (t.request_rate) {
    out["rate"] = *t.request_rate;
  }
  if (t.leaving) {
    out["leaving"] = true;
  }
  return out;
}

peer_terms decode(const json::value& from)
{
  peer_terms out{.process = {.id = endpoint_id(internal::text_at(from, "id")),
                             .incarnation = internal::number_at(from, "inc")},
                 .age = internal::decode_age(from.at("age"))};
  if (const auto* rate = from.as_object().if_contains("rate")) {
    out.request_rate = rate->to_number<double>();
  }
  out.leaving = from.as_object().contains("leaving");
  return out;
}

} // namespace

json::value encode_terms(const std::vector<peer_terms>& terms)
{
  json::array out;
  for (const auto& t : terms) {
    out.push_back(encode(t));
  }
  return out;
}

json::value encode_rejection_limits(const std::vector<peer_rejection_limit>& limits)
{
  json::array out;
  for (const auto& r : limits) {
    out.push_back({{"service", r.service}, {"limit", r.limit}, {"age", r.age.count()}});
  }
  return out;
}

std::vector<peer_rejection_limit> decode_rejection_limits(const json::value& from)
{
  std::vector<peer_rejection_limit> out;
  for (const auto& r : from.as_array()) {
    out.push_back({.service = internal::text_at(r, "service"),
                   .limit = r.at("limit").to_number<double>(),
                   .age = internal::decode_age(r.at("age"))});
  }
  return out;
}

std::vector<peer_terms> decode_terms(const json::value& from)
{
  std::vector<peer_terms> out;
  for (const auto& t : from.as_array()) {
    out.push_back(decode(t));
  }
  return out;
}

} // namespace wisteriaflow::gateway
