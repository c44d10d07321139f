#include "relay/hold_log.h"

#include <string>
#include <utility>

#include "wisteriaflow/base/time.h"

namespace wisteriaflow::relay {

log_fields fields_of(const gateway::content_id& content, const gateway::content_hold& hold)
{
  std::string ended;
  for (const auto& process : hold.crashed) {
    ended += (ended.empty() ? "" : ",") + process.id.value();
  }
  return {{"content", to_string(content)},
          {"endpoints_ended", std::move(ended)},
          {"tried_from_unix_ms", std::to_string(to_unix_ms(hold.probe_at))}};
}

void hold_log::note(content_holds present, event_log& log)
{
  for (const auto& [content, hold] : present) {
    const auto it = noted_.find(content);
    if (it == noted_.end() || it->second != hold) {
      log.write(daemon::log_level::warn, "content held", fields_of(content, hold));
    }
  }
  for (const auto& [content, hold] : noted_) {
    if (!present.contains(content)) {
      log.write(daemon::log_level::info, "hold over", {{"content", to_string(content)}});
    }
  }
  noted_ = std::move(present);
}

} // namespace wisteriaflow::relay
