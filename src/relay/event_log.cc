#include "relay/event_log.h"

#include <chrono>

namespace wisteriaflow::relay {

void event_log::write(daemon::log_level level, std::string_view kind, log_fields fields)
{
  const auto since_start = std::chrono::steady_clock::now().time_since_epoch();
  const auto second = std::chrono::duration_cast<std::chrono::seconds>(since_start).count();
  auto it = budgets_.find(kind);
  if (it == budgets_.end()) {
    it = budgets_.emplace(std::string(kind), budget{}).first;
  }
  auto& b = it->second;
  if (b.second != second) {
    b.second = second;
    b.written = 0;
  }
  if (b.written >= lines_of_a_kind) {
    ++b.left_out;
    ++left_out_;
    return;
  }
  ++b.written;
  if (b.left_out > 0) {
    fields.emplace_back("lines_left_out", std::to_string(b.left_out));
  }
  if (out_({.level = level, .message = std::string(kind), .fields = std::move(fields)})) {
    b.left_out = 0;
    return;
  }
  ++b.left_out;
  ++left_out_;
}

} // namespace wisteriaflow::relay
