#include "relay/hold_log.h"

#include <string>
#include <utility>

#include "wisteriaflow/base/time.h"

namespace wisteriaflow::relay {

log_fields hold_log_fields(const gateway::content_id& content, const gateway::content_hold& hold)
{
  std::string ended;
  for (const auto& process : hold.crashed) {
    ended += (ended.empty() ? "" : ",") + process.id.value();
  }
  return {{"content", to_string(content)},
          {"endpoints_ended", std::move(ended)},
          {"tried_from_unix_ms", std::to_string(to_unix_ms(hold.probe_at))}};
}

void hold_log::log_changes(content_holds present, event_log& log)
{
  for (const auto& [content, hold] : present) {
    const auto it = logged_.find(content);
    if (it == logged_.end() || it->second != hold) {
      log.write(daemon::log_level::warn, "content held", hold_log_fields(content, hold));
    }
  }
  for (const auto& [content, hold] : logged_) {
    if (!present.contains(content)) {
      log.write(daemon::log_level::info, "hold over", {{"content", to_string(content)}});
    }
  }
  logged_ = std::move(present);
}

} // namespace wisteriaflow::relay
