#include "relay/start_log.h"

#include <chrono>
#include <utility>

namespace wisteriaflow::relay {
namespace {

// An unchanged line is repeated after this time, so that the last lines of a log show it.
constexpr std::chrono::seconds repeat_period{5};

} // namespace

void start_log::update(const std::vector<std::string_view>& missing, mono_time now, event_log& log)
{
  std::string text;
  for (const auto& each : missing) {
    text += (text.empty() ? "" : ", ") + std::string(each);
  }
  const bool is_repeat = logged_ == text;
  if (is_repeat && (text.empty() || now < repeat_at_)) {
    return;
  }
  const auto elapsed = std::chrono::duration_cast<std::chrono::milliseconds>(now - started_at_);
  const std::string since_start = std::to_string(elapsed.count());
  if (text.empty()) {
    log.write(daemon::log_level::info, "start complete", {{"after_ms", since_start}});
  } else {
    log.write(is_repeat ? daemon::log_level::warn : daemon::log_level::info, "start waits",
              {{"missing", text}, {"since_start_ms", since_start}});
  }
  logged_ = std::move(text);
  repeat_at_ = now + repeat_period;
}

} // namespace wisteriaflow::relay
