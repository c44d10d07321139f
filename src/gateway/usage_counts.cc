#include "wisteriaflow/gateway/usage_counts.h"

#include <algorithm>
#include <utility>

namespace wisteriaflow::gateway {

usage_counts::usage_counts(usage_source self, std::chrono::milliseconds window_length,
                           usage_window retained_windows)
    : self_(std::move(self)), window_length_(window_length), retained_windows_(retained_windows)
{
}

usage_window usage_counts::window_at(wall_time t) const
{
  return static_cast<usage_window>(t.time_since_epoch() / window_length_);
}

wall_time usage_counts::end_of(usage_window window) const
{
  return wall_time{window_length_ * static_cast<std::int64_t>(window + 1)};
}

void usage_counts::record_start(const workspace_id& workspace, wall_time at)
{
  ++windows_[window_at(at)][self_][workspace];
}

void usage_counts::merge(const usage_row& row)
{
  if (row.source == self_) {
    return;
  }
  auto& merged = windows_[row.window][row.source];
  for (const auto& [workspace, n] : row.counts) {
    auto& count = merged[workspace];
    count = std::max(count, n);
  }
}

std::vector<usage_row>
usage_counts::rows_for_peer(const std::function<bool(const daemon_id&)>& is_silent,
                            std::size_t max_relayed)
{
  struct known_row {
    usage_window window = 0;
    const usage_source* source = nullptr;
    const window_counts* counts = nullptr;
  };
  std::vector<usage_row> out;
  std::vector<known_row> others;
  for (const auto& [window, sources] : windows_) {
    for (const auto& [source, counts] : sources) {
      if (source == self_) {
        out.push_back({.source = source, .window = window, .counts = counts});
      } else if (source.daemon == self_.daemon || is_silent(source.daemon)) {
        others.push_back({.window = window, .source = &source, .counts = &counts});
      }
    }
  }
  for (std::size_t i = 0; i < std::min(max_relayed, others.size()); ++i) {
    const auto& row = others[next_relayed_row_++ % others.size()];
    out.push_back({.source = *row.source, .window = row.window, .counts = *row.counts});
  }
  return out;
}

std::optional<usage_row> usage_counts::own_row(usage_window window) const
{
  const auto sources = windows_.find(window);
  if (sources == windows_.end()) {
    return std::nullopt;
  }
  const auto own = sources->second.find(self_);
  if (own == sources->second.end()) {
    return std::nullopt;
  }
  return usage_row{.source = self_, .window = window, .counts = own->second};
}

bool usage_counts::is_kept(usage_window window, wall_time now) const
{
  const auto current = window_at(now);
  return window + retained_windows_ >= current && window <= current + 1;
}

window_counts usage_counts::total(usage_window window) const
{
  window_counts out;
  const auto it = windows_.find(window);
  if (it == windows_.end()) {
    return out;
  }
  for (const auto& [source, counts] : it->second) {
    for (const auto& [workspace, n] : counts) {
      out[workspace] += n;
    }
  }
  return out;
}

void usage_counts::forget_old(wall_time now)
{
  const auto current = window_at(now);
  while (!windows_.empty() && windows_.begin()->first + retained_windows_ < current) {
    windows_.erase(windows_.begin());
  }
}

} // namespace wisteriaflow::gateway
