#include "wisteriaflow/requests/completion_render.h"

#include <boost/json.hpp>

namespace wisteriaflow::requests {
namespace {

namespace json = boost::json;

json::object usage_json(const token_usage& usage)
{
  return {{"prompt_tokens", usage.prompt_tokens},
          {"completion_tokens", usage.completion_tokens},
          {"cached_tokens", usage.cached_tokens},
          {"recomputed_tokens", usage.recomputed_tokens}};
}

json::array choices(std::string_view text, std::string_view finish_reason)
{
  json::object choice{{"index", 0}, {"text", text}};
  if (!finish_reason.empty()) {
    choice["finish_reason"] = finish_reason;
  }
  json::array all;
  all.push_back(std::move(choice));
  return all;
}

} // namespace

std::string render_token_event(std::uint64_t offset, std::string_view text)
{
  const json::object data{{"choices", choices(text, "")}, {"offset", offset}};
  return "id: " + std::to_string(offset) + "\ndata: " + json::serialize(data) + "\n\n";
}

std::string render_final_events(std::string_view finish_reason, const token_usage& usage)
{
  const json::object data{{"choices", choices("", finish_reason)}, {"usage", usage_json(usage)}};
  return "data: " + json::serialize(data) + "\n\ndata: [DONE]\n\n";
}

std::string render_error_event(const outcome& result, wall_time now)
{
  return "event: error\ndata: " + outcome_response(result, now).body + "\n\n";
}

std::string render_completion_response(const completion_response& answer)
{
  const json::object body{{"id", answer.request_id},
                          {"model", answer.model},
                          {"choices", choices(answer.text, answer.finish_reason)},
                          {"usage", usage_json(answer.usage)}};
  return json::serialize(body);
}

} // namespace wisteriaflow::requests
