#include "relay/relay_messages.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <cstdint>
#include <utility>

#include "wisteriaflow/base/text.h"
#include "wisteriaflow/http/status.h"

namespace wisteriaflow::relay {
namespace {

using std::chrono::milliseconds;

constexpr std::string_view endpoint_field = "Wisteriaflow-Relay-Endpoint";
constexpr std::string_view version_field = "Wisteriaflow-Relay-Version";
constexpr std::string_view target_field = "Wisteriaflow-Relay-Target";
constexpr std::string_view request_field = "Wisteriaflow-Relay-Request";
constexpr std::string_view time_left_field = "Wisteriaflow-Relay-Time-Left-Ms";
constexpr std::string_view result_field = "Wisteriaflow-Relay-Result";
constexpr std::array<std::string_view, 6> relay_fields = {
    endpoint_field, version_field, target_field, request_field, time_left_field, result_field};

constexpr std::array<relay_result, 6> all_results = {
    relay_result::answered,    relay_result::refused,   relay_result::unreachable,
    relay_result::interrupted, relay_result::timed_out, relay_result::abandoned};

// Neither a caller nor an endpoint may state these fields.
void remove_relay_fields(http::headers& fields)
{
  std::erase_if(fields, [](const http::header& f) {
    return std::any_of(relay_fields.begin(), relay_fields.end(),
                       [&f](std::string_view name) { return equals_ignoring_case(f.name, name); });
  });
}

void add(http::headers& to, std::string_view name, std::string value)
{
  to.push_back({.name = std::string(name), .value = std::move(value)});
}

} // namespace

std::string_view to_string(relay_result result)
{
  switch (result) {
  case relay_result::answered:
    return "answered";
  case relay_result::refused:
    return "refused";
  case relay_result::unreachable:
    return "unreachable";
  case relay_result::interrupted:
    return "interrupted";
  case relay_result::timed_out:
    return "timed_out";
  case relay_result::abandoned:
    return "abandoned";
  }
  return "refused";
}

http::request encode_relay_request(endpoint_request request, mono_time now)
{
  auto out = std::move(request.message);
  remove_relay_fields(out.fields);
  const auto left = std::chrono::duration_cast<milliseconds>(request.deadline - now);
  add(out.fields, endpoint_field, request.endpoint.value());
  if (!request.version.empty()) {
    add(out.fields, version_field, std::move(request.version));
  }
  add(out.fields, target_field, std::exchange(out.target, std::string(relay_target)));
  add(out.fields, request_field, std::move(request.request_id));
  add(out.fields, time_left_field, std::to_string(left.count()));
  return out;
}

std::optional<endpoint_request> decode_relay_request(http::request message, mono_time now)
{
  const auto text = [&message](std::string_view name) {
    return std::string(http::find_header(message.fields, name));
  };
  const auto left = parse_number<std::int64_t>(text(time_left_field));
  endpoint_request out{.endpoint = endpoint_id(text(endpoint_field)),
                       .version = text(version_field),
                       .request_id = text(request_field)};
  auto target = text(target_field);
  if (!left || out.endpoint.empty() || target.empty()) {
    return std::nullopt;
  }
  out.deadline = now + milliseconds(*left);
  out.message = std::move(message);
  out.message.target = std::move(target);
  remove_relay_fields(out.message.fields);
  return out;
}

http::response with_relay_result(http::response head, relay_result result)
{
  remove_relay_fields(head.fields);
  add(head.fields, result_field, std::string(to_string(result)));
  return head;
}

std::optional<relay_result> relay_result_of(const http::response& head)
{
  const auto text = http::find_header(head.fields, result_field);
  for (const auto result : all_results) {
    if (to_string(result) == text) {
      return result;
    }
  }
  return std::nullopt;
}

http::response without_relay_result(http::response head)
{
  remove_relay_fields(head.fields);
  return head;
}

} // namespace wisteriaflow::relay
