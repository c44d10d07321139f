#include "relay/hold_log.h"

#include <algorithm>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "wisteriaflow/base/time.h"

namespace wisteriaflow::relay {
namespace {

void add_running(log_fields& to, const std::vector<gateway::running_answer>& running)
{
  gateway::answer_progress furthest;
  for (const auto& answer : running) {
    furthest = furthest_of(furthest, answer.progress);
  }
  to.emplace_back("running", std::to_string(running.size()));
  to.emplace_back("furthest_event", std::to_string(furthest.position));
  to.emplace_back("furthest_ms", std::to_string(furthest.time.count()));
}

} // namespace

log_fields suspect_log_fields(const gateway::crash_suspect& suspect)
{
  return {{is_prompt_part(suspect) ? "prompt_part" : "content", to_string(suspect)}};
}

log_fields hold_log_fields(const gateway::crash_suspect& suspect, const gateway::crash_hold& hold,
                           const gateway::running_answers& running)
{
  std::string ended;
  for (const auto& process : hold.crashed) {
    ended += (ended.empty() ? "" : ",") + process.id.value();
  }
  auto out = suspect_log_fields(suspect);
  out.emplace_back("endpoints_ended", std::move(ended));
  out.emplace_back("ended_within_ms", std::to_string(to_unix_ms(hold.last_crash_at) -
                                                     to_unix_ms(hold.first_crash_at)));
  out.emplace_back("tried_from_unix_ms", std::to_string(to_unix_ms(hold.probe_at)));
  if (const auto* content = std::get_if<gateway::content_id>(&suspect)) {
    add_running(out, running.find(*content));
  }
  return out;
}

log_fields running_log_fields(const gateway::content_id& content,
                              const std::optional<gateway::crash_hold>& hold,
                              const gateway::running_answers& running)
{
  auto out = suspect_log_fields(content);
  out.emplace_back("held", hold ? "yes" : "no");
  add_running(out, running.find(content));
  return out;
}

std::size_t hold_log::prompt_parts() const
{
  return static_cast<std::size_t>(std::count_if(
      logged_.begin(), logged_.end(), [](const auto& it) { return is_prompt_part(it.first); }));
}

void hold_log::log_changes(gateway::crash_holds present, const gateway::running_answers& running,
                           event_log& log)
{
  for (const auto& [suspect, hold] : present) {
    const auto it = logged_.find(suspect);
    if (it == logged_.end() || it->second != hold) {
      log.write(daemon::log_level::warn,
                is_prompt_part(suspect) ? "prompt part held" : "content held",
                hold_log_fields(suspect, hold, running));
    }
  }
  for (const auto& [suspect, hold] : logged_) {
    if (!present.contains(suspect)) {
      log.write(daemon::log_level::info, "hold over", suspect_log_fields(suspect));
    }
  }
  logged_ = std::move(present);
}

} // namespace wisteriaflow::relay
