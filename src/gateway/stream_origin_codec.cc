#include "wisteriaflow/gateway/stream_origin_codec.h"

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <exception>
#include <variant>

#include <absl/strings/escaping.h>
#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include "gateway/json_fields.h"

namespace wisteriaflow::gateway {
namespace {

namespace json = boost::json;
using std::chrono::milliseconds;

// A peer with a wrong value must not make this daemon remember a stream for good.
constexpr milliseconds max_stream_memory{600'000};
constexpr std::size_t max_items = 4'096; // of one message
constexpr unsigned bits_per_byte = 8;
constexpr std::size_t packed_number_size = sizeof(std::uint64_t);
constexpr std::size_t packed_stream_size = 2 * packed_number_size; // both parts of its hash

milliseconds decode_time(const json::value& from)
{
  return std::min(internal::decode_age(from), max_stream_memory);
}

std::int64_t milliseconds_between(mono_time from, mono_time to)
{
  return std::max<std::int64_t>(0, std::chrono::ceil<milliseconds>(to - from).count());
}

std::string text_of(const json::value& from)
{
  return json::value_to<std::string>(from);
}

// Appends the number with its highest byte first.
void append(std::string& to, std::uint64_t number)
{
  for (std::size_t i = packed_number_size; i-- > 0;) {
    to += static_cast<char>(number >> (bits_per_byte * i) & 0xffU);
  }
}

std::uint64_t number_in(std::string_view bytes)
{
  std::uint64_t out = 0;
  for (const char c : bytes) {
    out = out << bits_per_byte | static_cast<unsigned char>(c);
  }
  return out;
}

json::array encode(const stream_id& id)
{
  return {id.hash.high, id.hash.low};
}

stream_id decode_stream(const json::value& from)
{
  return {.hash = {.high = from.at(0).to_number<std::uint64_t>(),
                   .low = from.at(1).to_number<std::uint64_t>()}};
}

json::array encode(const service_version& v)
{
  return {json::string(v.service), json::string(v.version)};
}

service_version decode_version(const json::value& from)
{
  return {.service = text_of(from.at(0)), .version = text_of(from.at(1))};
}

json::array encode(const service_version_set& versions)
{
  json::array out;
  for (const auto& v : versions) {
    out.push_back(encode(v));
  }
  return out;
}

const json::array& items_of(const json::value& from)
{
  const auto& out = from.as_array();
  if (out.size() > max_items) {
    throw stream_origin_error("too many items");
  }
  return out;
}

service_version_set decode_version_set(const json::value& from)
{
  service_version_set out;
  for (const auto& v : items_of(from)) {
    out.insert(decode_version(v));
  }
  return out;
}

// Calls `decode` with the parsed text, and makes its exceptions stream_origin_error.
template <typename function> auto decode_with(std::string_view text, function decode)
{
  try {
    return decode(internal::parse_lenient(text));
  } catch (const stream_origin_error&) {
    throw;
  } catch (const std::exception& e) {
    throw stream_origin_error(e.what());
  }
}

} // namespace

std::string encode_origins(const std::vector<stream_origin>& origins, mono_time now)
{
  json::array out;
  for (const auto& o : origins) {
    out.push_back(json::object{{"stream", encode(o.stream)},
                               {"version", encode(o.version)},
                               {"left", milliseconds_between(now, o.expires_at)}});
  }
  return json::serialize(out);
}

std::vector<stream_origin> decode_origins(std::string_view text, mono_time now)
{
  return decode_with(text, [now](const json::value& from) {
    std::vector<stream_origin> out;
    for (const auto& item : items_of(from)) {
      out.push_back({.stream = decode_stream(item.at("stream")),
                     .version = decode_version(item.at("version")),
                     .expires_at = now + decode_time(item.at("left"))});
    }
    return out;
  });
}

std::string encode_origin_question(const origin_question& question, mono_time now)
{
  json::array services;
  for (const auto& s : question.services) {
    services.emplace_back(s);
  }
  return json::serialize(json::object{{"stream", encode(question.stream)},
                                      {"services", std::move(services)},
                                      {"since", milliseconds_between(question.since, now)}});
}

origin_question decode_origin_question(std::string_view text, mono_time now)
{
  return decode_with(text, [now](const json::value& from) {
    origin_question out{.stream = decode_stream(from.at("stream")),
                        .since = now - decode_time(from.at("since"))};
    for (const auto& s : items_of(from.at("services"))) {
      out.services.push_back(text_of(s));
    }
    return out;
  });
}

std::string encode_origin_answer(const origin_answer& answer)
{
  json::object out;
  if (const auto* version = std::get_if<service_version>(&answer.origin)) {
    out["version"] = encode(*version);
  } else if (std::holds_alternative<ambiguous_origin>(answer.origin)) {
    out["ambiguous"] = true;
  }
  out["in_use"] = encode(answer.in_use);
  out["knows_all_versions"] = answer.knows_versions;
  out["knows_versions"] = false; // read by daemons of earlier versions, which infer more from it
  out["current"] = answer.has_current_view;
  return json::serialize(out);
}

origin_answer decode_origin_answer(std::string_view text)
{
  return decode_with(text, [](const json::value& from) {
    const auto& fields = from.as_object();
    const auto* knows_all = fields.if_contains("knows_all_versions");
    origin_answer out{.knows_versions = knows_all != nullptr && knows_all->as_bool(),
                      .has_current_view = from.at("current").as_bool()};
    if (const auto* version = fields.if_contains("version")) {
      out.origin = decode_version(*version);
    } else if (fields.contains("ambiguous")) {
      out.origin = ambiguous_origin{};
    }
    out.in_use = decode_version_set(from.at("in_use"));
    return out;
  });
}

json::value encode_stored_origins(const origins_by_version& origins)
{
  json::array out;
  for (const auto& [version, streams] : origins) {
    std::string packed;
    for (const auto& id : streams) {
      append(packed, id.hash.high);
      append(packed, id.hash.low);
    }
    out.push_back(json::object{{"version", encode(version)},
                               {"streams", json::string(absl::Base64Escape(packed))}});
  }
  return json::object{{"origins", std::move(out)}};
}

origins_by_version decode_stored_origins(const json::value& from)
{
  origins_by_version out;
  try {
    for (const auto& item : items_of(from.at("origins"))) {
      std::string packed;
      if (!absl::Base64Unescape(text_of(item.at("streams")), &packed) ||
          packed.size() % packed_stream_size != 0) {
        throw stream_origin_error("streams unreadable");
      }
      auto& streams = out[decode_version(item.at("version"))];
      for (std::size_t i = 0; i < packed.size(); i += packed_stream_size) {
        const std::string_view bytes(packed);
        streams.insert(
            {.hash = {.high = number_in(bytes.substr(i, packed_number_size)),
                      .low = number_in(bytes.substr(i + packed_number_size, packed_number_size))}});
      }
    }
  } catch (const stream_origin_error&) {
    throw;
  } catch (const std::exception& e) {
    throw stream_origin_error(e.what());
  }
  return out;
}

std::string encode_versions(const service_version_set& versions)
{
  return json::serialize(encode(versions));
}

service_version_set decode_versions(std::string_view text)
{
  return decode_with(text, decode_version_set);
}

} // namespace wisteriaflow::gateway
