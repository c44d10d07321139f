#include "wisteriaflow/gateway/rejection_limits.h"

#include <algorithm>

namespace wisteriaflow::gateway {
namespace {

using std::chrono::milliseconds;

// A limit that was not confirmed for this long is removed.
constexpr milliseconds retention{120'000};
// An answer without a limit ends it only if no other answer stated one for this long: the endpoints
// of a service need not begin and cease to state it at the same moment.
constexpr milliseconds confirmation_period{2'000};
// An endpoint that survives more rejections needs no protection.
constexpr double max_limit = 10'000;

} // namespace

bool is_valid_rejection_limit(double limit)
{
  return limit >= 0 && limit <= max_limit; // false for NaN
}

bool rejection_limits::on_answer(const answered_rejection_limit& answer, mono_time now)
{
  const bool was_limited = limit_of(answer.service).has_value();
  if (answer.limit) {
    auto& it = entries_[std::string(answer.service)];
    it.limit = *answer.limit;
    it.stated_at = now;
    return !was_limited;
  }
  const auto known = entries_.find(answer.service);
  if (known == entries_.end() || answer.sent_at < known->second.stated_at + confirmation_period) {
    return false;
  }
  known->second.ended_at = answer.sent_at;
  return was_limited;
}

bool rejection_limits::on_peer_limit(const peer_rejection_limit& received, mono_time now)
{
  const auto stated_at = now - received.age;
  if (!is_valid_rejection_limit(received.limit) || stated_at + retention <= now) {
    return false;
  }
  const bool was_limited = limit_of(received.service).has_value();
  auto& it = entries_[received.service];
  if (stated_at <= it.stated_at) {
    return false;
  }
  it.stated_at = stated_at;
  it.limit = received.limit;
  return !was_limited && it.is_stated();
}

void rejection_limits::tick(mono_time now)
{
  std::erase_if(entries_, [now](const auto& it) { return it.second.stated_at + retention <= now; });
}

std::optional<double> rejection_limits::limit_of(std::string_view service) const
{
  const auto it = entries_.find(service);
  const bool is_stated = it != entries_.end() && it->second.is_stated();
  return is_stated ? std::optional(it->second.limit) : std::nullopt;
}

std::vector<peer_rejection_limit> rejection_limits::to_gossip(mono_time now) const
{
  std::vector<peer_rejection_limit> out;
  for (const auto& [service, it] : entries_) {
    if (it.is_stated()) {
      out.push_back({.service = service,
                     .limit = it.limit,
                     .age = std::chrono::ceil<milliseconds>(now - it.stated_at)});
    }
  }
  return out;
}

std::size_t rejection_limits::size() const
{
  return static_cast<std::size_t>(std::count_if(
      entries_.begin(), entries_.end(), [](const auto& it) { return it.second.is_stated(); }));
}

} // namespace wisteriaflow::gateway
