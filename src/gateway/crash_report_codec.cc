#include "wisteriaflow/gateway/crash_report_codec.h"

#include <exception>
#include <string>
#include <utility>

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/value_to.hpp>

namespace wisteriaflow::gateway {
namespace {

namespace json = boost::json;

json::value encode(const endpoint_crash& crash)
{
  json::object suspects;
  for (const auto& [content, stage] : crash.suspects) {
    suspects[to_string(content)] = stage == answer_stage::started;
  }
  return {{"endpoint", crash.process.id.value()},
          {"incarnation", crash.process.incarnation},
          {"at", to_unix_ms(crash.at)},
          {"suspects", std::move(suspects)}};
}

content_id decode_content(std::string_view text)
{
  const auto content = parse_content_id(text);
  if (!content) {
    throw crash_report_error("not a content id: " + std::string(text));
  }
  return *content;
}

wall_time decode_time(const json::value& from)
{
  return from_unix_ms(from.to_number<std::int64_t>());
}

endpoint_crash decode_crash(const json::value& from)
{
  endpoint_crash out{
      .process = {.id = endpoint_id(json::value_to<std::string>(from.at("endpoint"))),
                  .incarnation = from.at("incarnation").to_number<std::uint64_t>()},
      .at = decode_time(from.at("at"))};
  for (const auto& [content, started] : from.at("suspects").as_object()) {
    const auto stage = started.as_bool() ? answer_stage::started : answer_stage::not_started;
    out.suspects.emplace(decode_content(content), stage);
  }
  return out;
}

crash_report decode(const json::value& from)
{
  crash_report out;
  for (const auto& crash : from.at("crashes").as_array()) {
    out.crashes.push_back(decode_crash(crash));
  }
  for (const auto& [content, at] : from.at("answered").as_object()) {
    out.answered.emplace(decode_content(content), decode_time(at));
  }
  return out;
}

} // namespace

json::value encode_crash_report(const crash_report& report)
{
  json::array crashes;
  for (const auto& crash : report.crashes) {
    crashes.push_back(encode(crash));
  }
  json::object answered;
  for (const auto& [content, at] : report.answered) {
    answered[to_string(content)] = to_unix_ms(at);
  }
  return {{"crashes", std::move(crashes)}, {"answered", std::move(answered)}};
}

crash_report decode_crash_report(const json::value& from)
{
  try {
    return decode(from);
  } catch (const std::exception& e) {
    throw crash_report_error(std::string("invalid crash report: ") + e.what());
  }
}

} // namespace wisteriaflow::gateway
