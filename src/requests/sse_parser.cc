#include "wisteriaflow/requests/sse_parser.h"

#include <utility>

#include <boost/json.hpp>

#include "wisteriaflow/requests/errors.h"

namespace wisteriaflow::requests {
namespace {

namespace json = boost::json;

constexpr std::string_view end_of_stream = "[DONE]";

std::uint64_t read_count(const json::object& object, std::string_view name)
{
  const auto* value = object.if_contains(name);
  if (value == nullptr) {
    return 0;
  }
  json::error_code ec;
  const auto n = value->to_number<std::uint64_t>(ec);
  if (ec) {
    throw stream_error("engine event: " + std::string(name) + " is not a count");
  }
  return n;
}

token_usage read_usage(const json::object& event)
{
  const auto* value = event.if_contains("usage");
  if (value == nullptr || !value->is_object()) {
    return {};
  }
  const auto& usage = value->get_object();
  return {.prompt_tokens = read_count(usage, "prompt_tokens"),
          .completion_tokens = read_count(usage, "completion_tokens"),
          .cached_tokens = read_count(usage, "cached_tokens"),
          .recomputed_tokens = read_count(usage, "recomputed_tokens")};
}

std::string read_string(const json::object& object, std::string_view name)
{
  const auto* value = object.if_contains(name);
  return value != nullptr && value->is_string() ? std::string(value->get_string()) : std::string();
}

json::object parse_event(const std::string& data)
{
  json::error_code ec;
  auto value = json::parse(data, ec);
  if (ec || !value.is_object()) {
    throw stream_error("engine event: not a JSON object");
  }
  return std::move(value.get_object());
}

const json::object& first_choice(const json::object& event)
{
  const auto* choices = event.if_contains("choices");
  if (choices == nullptr || !choices->is_array() || choices->get_array().empty() ||
      !choices->get_array().front().is_object()) {
    throw stream_error("engine event: choices is missing or empty");
  }
  return choices->get_array().front().get_object();
}

} // namespace

std::vector<engine_event> sse_parser::feed(std::string_view bytes)
{
  std::vector<engine_event> events;
  while (!bytes.empty()) {
    const auto end = bytes.find('\n');
    line_ += bytes.substr(0, end);
    if (line_.size() + data_.size() > max_event_bytes_) {
      throw stream_error("engine event: longer than " + std::to_string(max_event_bytes_) +
                         " bytes");
    }
    if (end == std::string_view::npos) {
      break;
    }
    bytes.remove_prefix(end + 1);
    if (line_.ends_with('\r')) {
      line_.pop_back();
    }
    parse_line(std::exchange(line_, {}), events);
  }
  return events;
}

void sse_parser::parse_line(std::string_view line, std::vector<engine_event>& events)
{
  if (line.empty()) {
    dispatch_event(events);
    return;
  }
  const auto colon = line.find(':');
  const auto field = line.substr(0, colon);
  auto value = colon == std::string_view::npos ? std::string_view() : line.substr(colon + 1);
  if (value.starts_with(' ')) {
    value.remove_prefix(1);
  }
  if (field == "data") {
    if (has_data_) {
      data_ += '\n';
    }
    data_ += value;
    has_data_ = true;
  } else if (field == "event") {
    name_ = value;
  }
}

void sse_parser::dispatch_event(std::vector<engine_event>& events)
{
  const auto data = std::exchange(data_, {});
  const auto name = std::exchange(name_, {});
  if (!std::exchange(has_data_, false)) {
    return;
  }
  if (name == "error") {
    throw stream_error("engine reported: " + data);
  }
  if (data == end_of_stream) {
    events.emplace_back(engine_stream_end{});
    return;
  }
  const auto event = parse_event(data);
  const auto& choice = first_choice(event);
  auto text = read_string(choice, "text");
  auto finish_reason = read_string(choice, "finish_reason");
  // The event with the finish reason may also carry the last token.
  const bool is_token = !text.empty() || finish_reason.empty();
  if (is_token) {
    if (!event.contains("offset")) {
      throw stream_error("engine event: offset is missing");
    }
    const auto offset = read_count(event, "offset");
    next_offset_ = offset + 1;
    events.emplace_back(engine_token{.offset = offset, .text = std::move(text)});
  }
  if (!finish_reason.empty()) {
    events.emplace_back(engine_finish{.tokens = next_offset_,
                                      .finish_reason = std::move(finish_reason),
                                      .usage = read_usage(event)});
  }
}

} // namespace wisteriaflow::requests
