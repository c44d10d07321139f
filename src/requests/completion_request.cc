#include "wisteriaflow/requests/completion_request.h"

#include <boost/json.hpp>

#include "wisteriaflow/requests/errors.h"

namespace wisteriaflow::requests {
namespace {

namespace json = boost::json;

constexpr int status_bad_request = 400;
constexpr int status_too_large = 413;

// Fields of the engine's request that only the gateway sets.
constexpr std::string_view reserved_fields[] = {"resume_tokens", "resume_text", "priority"};

[[noreturn]] void throw_invalid_request(std::string_view field, const std::string& problem)
{
  throw invalid_request(status_bad_request, std::string(field), problem);
}

json::object parse_object(std::string_view body)
{
  json::error_code ec;
  auto value = json::parse(json::string_view(body.data(), body.size()), ec);
  if (ec) {
    throw_invalid_request("body", "is not JSON: " + ec.message());
  }
  if (!value.is_object()) {
    throw_invalid_request("body", "must be a JSON object");
  }
  return std::move(value.get_object());
}

std::string required_string(const json::object& object, std::string_view name)
{
  const auto* value = object.if_contains(name);
  if (value == nullptr) {
    throw_invalid_request(name, "is required");
  }
  if (!value->is_string()) {
    throw_invalid_request(name, "must be a string");
  }
  return std::string(value->get_string());
}

std::uint64_t parse_max_tokens(const json::object& object, const call_limits& limits)
{
  const auto* value = object.if_contains("max_tokens");
  if (value == nullptr || value->is_null()) {
    return limits.default_tokens;
  }
  json::error_code ec;
  const auto n = value->is_number() ? value->to_number<std::uint64_t>(ec) : 0;
  if (ec || n < 1 || n > limits.max_tokens) {
    throw_invalid_request("max_tokens",
                          "must be a whole number from 1 to " + std::to_string(limits.max_tokens));
  }
  return n;
}

bool parse_stream(const json::object& object)
{
  const auto* value = object.if_contains("stream");
  if (value == nullptr || value->is_null()) {
    return false;
  }
  if (!value->is_bool()) {
    throw_invalid_request("stream", "must be true or false");
  }
  return value->get_bool();
}

// Requires one answer per request: offsets do not distinguish tokens of several answers.
void check_single_answer(const json::object& object)
{
  for (const std::string_view name : {"n", "best_of"}) {
    const auto* value = object.if_contains(name);
    if (value != nullptr && !value->is_null() && *value != json::value(1)) {
      throw_invalid_request(name, "must be 1");
    }
  }
}

void check_reserved(const json::object& object)
{
  for (const auto name : reserved_fields) {
    if (object.contains(name)) {
      throw_invalid_request(name, "may not be set by callers");
    }
  }
}

} // namespace

completion_request parse_completion_request(const std::vector<header_field>& fields,
                                            std::string_view body, const clock_reading& now,
                                            const call_limits& limits)
{
  if (body.size() > limits.max_body_bytes) {
    throw invalid_request(status_too_large, "body",
                          "is larger than " + std::to_string(limits.max_body_bytes) + " bytes");
  }
  completion_request request;
  request.headers = parse_call_headers(fields, now, limits);
  const auto object = parse_object(body);
  request.model = model_id(required_string(object, "model"));
  if (request.model.empty()) {
    throw_invalid_request("model", "must not be empty");
  }
  request.prompt = required_string(object, "prompt");
  if (request.prompt.size() > limits.max_prompt_bytes) {
    throw invalid_request(status_too_large, "prompt",
                          "is larger than " + std::to_string(limits.max_prompt_bytes) + " bytes");
  }
  request.max_tokens = parse_max_tokens(object, limits);
  request.stream = parse_stream(object);
  check_single_answer(object);
  check_reserved(object);
  request.body = body;
  request.body_hash = hash128_of(body);
  return request;
}

std::string render_engine_body(const completion_request& request,
                               const attempt_parameters& parameters)
{
  auto object = parse_object(request.body);
  object["model"] = parameters.model;
  object["max_tokens"] = request.max_tokens;
  object["stream"] = true;
  object["priority"] = parameters.priority;
  if (parameters.resume_tokens > 0) {
    object["resume_tokens"] = parameters.resume_tokens;
    object["resume_text"] = parameters.resume_text;
  }
  return json::serialize(object);
}

} // namespace wisteriaflow::requests
