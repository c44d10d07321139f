#include "wisteriaflow/gateway/endpoint_links.h"

#include <algorithm>

namespace wisteriaflow::gateway {

using std::chrono::milliseconds;

endpoint_links::endpoint_links(endpoint_link_options options)
    : options_(options), random_(options.seed)
{
}

milliseconds endpoint_links::probe_delay(unsigned failures)
{
  constexpr unsigned max_doublings = 8;
  const auto longest = options_.probe_period * (1U << std::min(failures, max_doublings));
  const auto limit = std::min(longest, options_.max_probe_period);
  // Spreads the connections of daemons and links that were lost at the same moment.
  std::uniform_int_distribution<milliseconds::rep> varied(limit.count() / 2, limit.count());
  return milliseconds(varied(random_));
}

bool endpoint_links::on_connect_failure(const endpoint_id& id, mono_time began_at, mono_time now)
{
  const bool was_lost = is_lost(id);
  auto& link = lost_[id];
  link.began_at = began_at;
  link.successes = 0;
  link.next_probe_at = now + probe_delay(link.failures++);
  const auto failed_since = std::count_if(lost_.begin(), lost_.end(), [this](const auto& it) {
    return it.second.began_at > last_received_at_;
  });
  if (!cut_off_ && static_cast<std::size_t>(failed_since) >= options_.cut_off_failures) {
    cut_off_ = true;
    next_cut_off_probe_at_ = now + probe_delay(0);
  }
  return !was_lost;
}

bool endpoint_links::on_probe_success(const endpoint_id& id, mono_time now)
{
  on_received(now);
  const auto it = lost_.find(id);
  if (it == lost_.end()) {
    return false;
  }
  auto& link = it->second;
  if (++link.successes >= options_.probes_to_restore) {
    lost_.erase(it);
    return true;
  }
  link.failures = 0;
  link.next_probe_at = now + probe_delay(0);
  return false;
}

void endpoint_links::on_received(mono_time now)
{
  last_received_at_ = now;
  end_cut_off(now);
}

// The links that have not failed themselves are used again at once, the others after probes, which
// begin soon and one after another.
void endpoint_links::end_cut_off(mono_time now)
{
  if (!cut_off_) {
    return;
  }
  cut_off_ = false;
  for (auto& [id, link] : lost_) {
    link.failures = 0;
    link.next_probe_at = std::min(link.next_probe_at, now + probe_delay(0));
  }
}

std::vector<endpoint_id> endpoint_links::take_due_probes(std::span<const endpoint_id> known,
                                                         mono_time now)
{
  std::erase_if(lost_, [known](const auto& it) {
    return !std::binary_search(known.begin(), known.end(), it.first);
  });
  if (cut_off_) {
    if (known.empty() || now < next_cut_off_probe_at_) {
      return {};
    }
    next_cut_off_probe_at_ = now + probe_delay(0);
    return {known[random_() % known.size()]};
  }
  std::vector<endpoint_id> out;
  for (auto& [id, link] : lost_) {
    if (out.size() == options_.max_probes) {
      break;
    }
    if (link.next_probe_at <= now) {
      link.next_probe_at = now + probe_delay(link.failures);
      out.push_back(id);
    }
  }
  return out;
}

} // namespace wisteriaflow::gateway
