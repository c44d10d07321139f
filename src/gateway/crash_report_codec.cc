#include "wisteriaflow/gateway/crash_report_codec.h"

#include <chrono>
#include <exception>
#include <string>
#include <utility>

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/value_to.hpp>

namespace wisteriaflow::gateway {
namespace {

namespace json = boost::json;

// Daemons of an earlier version know contents only. Parts stand in members of their own, which
// these daemons ignore.
constexpr std::string_view contents_member = "suspects";
constexpr std::string_view parts_member = "parts";
constexpr std::string_view refuted_parts_member = "refuted_parts";
constexpr std::string_view progress_member = "progress";       // of contents
constexpr std::string_view outlived_by_member = "outlived_by"; // of contents
constexpr std::string_view answered_contents_member = "answered";
constexpr std::string_view answered_parts_member = "answered_parts";

void add_unless_empty(json::object& to, std::string_view name, json::object member)
{
  if (!member.empty()) {
    to[name] = std::move(member);
  }
}

json::value encode(const answer_progress& progress)
{
  return json::array{progress.position, progress.time.count()};
}

json::value encode(const endpoint_crash& crash)
{
  json::object contents;
  json::object parts;
  json::array refuted;
  json::object progress;
  json::object outlived_by;
  for (const auto& [suspect, seen] : crash.suspects) {
    if (is_prompt_part(suspect)) {
      parts[to_string(suspect)] = seen.depth;
      if (seen.refuted) {
        refuted.emplace_back(to_string(suspect));
      }
    } else {
      const bool has_started = seen.stage == answer_stage::started;
      contents[to_string(suspect)] = has_started;
      if (has_started || seen.progress != answer_progress()) {
        progress[to_string(suspect)] = encode(seen.progress);
      }
      if (seen.outlived_by) {
        outlived_by[to_string(suspect)] = encode(*seen.outlived_by);
      }
    }
  }
  json::object out{{"endpoint", crash.process.id.value()},
                   {"incarnation", crash.process.incarnation},
                   {"at", to_unix_ms(crash.at)},
                   {contents_member, std::move(contents)}};
  add_unless_empty(out, parts_member, std::move(parts));
  if (!refuted.empty()) {
    out[refuted_parts_member] = std::move(refuted);
  }
  add_unless_empty(out, progress_member, std::move(progress));
  add_unless_empty(out, outlived_by_member, std::move(outlived_by));
  return out;
}

crash_suspect decode_suspect(std::string_view text, bool is_part)
{
  const auto suspect = parse_crash_suspect(text);
  if (!suspect || is_prompt_part(*suspect) != is_part) {
    throw crash_report_error("not a suspect: " + std::string(text));
  }
  return *suspect;
}

// The member of that name; empty if it is missing.
json::object optional_member(const json::value& from, std::string_view name)
{
  const auto* found = from.as_object().if_contains(name);
  return found == nullptr ? json::object() : found->as_object();
}

wall_time decode_time(const json::value& from)
{
  return from_unix_ms(from.to_number<std::int64_t>());
}

answer_progress decode_progress(const json::value& from)
{
  const auto time = std::chrono::milliseconds(from.at(1).to_number<std::uint32_t>());
  return {.position = from.at(0).to_number<std::uint32_t>(), .time = time};
}

endpoint_crash decode_crash(const json::value& from)
{
  endpoint_crash out{
      .process = {.id = endpoint_id(json::value_to<std::string>(from.at("endpoint"))),
                  .incarnation = from.at("incarnation").to_number<std::uint64_t>()},
      .at = decode_time(from.at("at"))};
  for (const auto& [content, started] : from.at(contents_member).as_object()) {
    suspicion seen;
    if (started.as_bool()) {
      seen.stage = answer_stage::started;
      // Daemons of an earlier version don't tell how far the answer had come.
      seen.progress.position = answer_progress::unknown_position;
    }
    out.suspects.emplace(decode_suspect(content, false), seen);
  }
  for (const auto& [part, depth] : optional_member(from, parts_member)) {
    out.suspects.emplace(decode_suspect(part, true),
                         suspicion{.depth = depth.to_number<std::uint32_t>()});
  }
  // Daemons of an earlier version refute nothing.
  if (const auto* refuted = from.as_object().if_contains(refuted_parts_member)) {
    for (const auto& part : refuted->as_array()) {
      out.suspects.at(decode_suspect(part.as_string(), true)).refuted = true;
    }
  }
  for (const auto& [content, progress] : optional_member(from, progress_member)) {
    out.suspects.at(decode_suspect(content, false)).progress = decode_progress(progress);
  }
  for (const auto& [content, progress] : optional_member(from, outlived_by_member)) {
    out.suspects.at(decode_suspect(content, false)).outlived_by = decode_progress(progress);
  }
  return out;
}

crash_report decode(const json::value& from)
{
  crash_report out;
  for (const auto& crash : from.at("crashes").as_array()) {
    out.crashes.push_back(decode_crash(crash));
  }
  for (const auto& [content, at] : from.at(answered_contents_member).as_object()) {
    out.answered.emplace(decode_suspect(content, false), decode_time(at));
  }
  for (const auto& [part, at] : optional_member(from, answered_parts_member)) {
    out.answered.emplace(decode_suspect(part, true), decode_time(at));
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
  json::object contents;
  json::object parts;
  for (const auto& [suspect, at] : report.answered) {
    (is_prompt_part(suspect) ? parts : contents)[to_string(suspect)] = to_unix_ms(at);
  }
  json::object out{{"crashes", std::move(crashes)},
                   {answered_contents_member, std::move(contents)}};
  add_unless_empty(out, answered_parts_member, std::move(parts));
  return out;
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
