#include "relay/event_log.h"

#include <chrono>
#include <cstddef>

namespace wisteriaflow::relay {
namespace {

// Names that other programs have stored may be as long as the store allows. A line must fit into
// the room that its writer waits for.
constexpr std::size_t max_value_size = 1'024; // bytes

void shorten(log_fields& fields)
{
  for (auto& [name, value] : fields) {
    if (value.size() > max_value_size) {
      value.resize(max_value_size);
      value += "...";
    }
  }
}

} // namespace

void event_log::write(daemon::log_level level, std::string_view kind, log_fields fields)
{
  const auto since_start = std::chrono::steady_clock::now().time_since_epoch();
  const auto second = std::chrono::duration_cast<std::chrono::seconds>(since_start).count();
  auto it = budgets_.find(kind);
  if (it == budgets_.end()) {
    it = budgets_.emplace(std::string(kind), line_budget{}).first;
  }
  auto& b = it->second;
  if (b.second != second) {
    b.second = second;
    b.written = 0;
  }
  if (b.written >= max_lines_per_second) {
    ++b.dropped;
    ++dropped_lines_;
    return;
  }
  ++b.written;
  shorten(fields);
  if (b.dropped > 0) {
    fields.emplace_back("lines_left_out", std::to_string(b.dropped));
  }
  if (sink_({.level = level, .message = std::string(kind), .fields = std::move(fields)})) {
    b.dropped = 0;
    return;
  }
  ++b.dropped;
  ++dropped_lines_;
}

} // namespace wisteriaflow::relay
