#include "wisteriaflow/gateway/stated_terms.h"

#include <algorithm>
#include <utility>

namespace wisteriaflow::gateway {
namespace {

using std::chrono::milliseconds;

// Changed terms are contained in every report for this long, well above the time in which they
// reach all daemons.
constexpr milliseconds change_gossip_duration{2'500};
// A statement that differs in time by less than this is the same one, received through another
// daemon: its age doesn't include the transmission time.
constexpr milliseconds same_statement_window{500};
// A rate limit that was not confirmed for this long is removed. While calls arrive, holders of a
// share get an answer of the endpoint once a minute at least.
constexpr milliseconds rate_retention{120'000};
// A leaving endpoint has terminated well before this.
constexpr milliseconds leaving_retention{600'000};

milliseconds kept_for(bool leaving)
{
  return leaving ? leaving_retention : rate_retention;
}

} // namespace

stated_terms::entry& stated_terms::entry_of(const endpoint_process& process)
{
  auto& it = entries_[process.id];
  if (is_restart({.incarnation = it.incarnation}, process)) {
    shares_.clear(process.id);
    it = {};
  }
  it.incarnation = process.incarnation;
  return it;
}

bool stated_terms::set_rate(const endpoint_id& id, entry& it, std::optional<double> rate,
                            mono_time now)
{
  if (rate) {
    shares_.set(id, *rate, now);
  } else {
    shares_.clear(id);
  }
  const bool changed = std::exchange(it.request_rate, rate) != rate;
  it.changed_at = changed ? now : it.changed_at;
  return changed;
}

bool stated_terms::set_leaving(entry& it, mono_time now)
{
  const bool changed = !std::exchange(it.leaving, true);
  it.changed_at = changed ? now : it.changed_at;
  return changed;
}

terms_action stated_terms::on_answer(const answer_terms& answer, mono_time now)
{
  const auto& id = answer.process.id;
  if (const auto& pause = answer.terms.pause) {
    auto& until = paused_until_[id];
    until = std::max(until, now + *pause); // the answer to an earlier request may ask for less
  }
  const auto& rate = answer.terms.request_rate;
  const auto known = entries_.find(id);
  const bool limited = known != entries_.end() && known->second.request_rate;
  // An invalid rate leaves the previous one in force, and so does an unsigned answer, which may
  // come from another program.
  const bool ends_rate = limited && !rate && answer.is_signed && answer.terms.rejected.empty() &&
                         answer.sent_at > known->second.stated_at;
  if (!rate && !answer.terms.leaving && !ends_rate) {
    return terms_action::nothing;
  }
  auto& it = entry_of(answer.process);
  it.stated_at = now;
  bool is_changed = answer.terms.leaving && set_leaving(it, now);
  if (rate || ends_rate) {
    is_changed = set_rate(id, it, rate, now) || is_changed;
  }
  return is_changed ? terms_action::gossip : terms_action::nothing;
}

terms_action stated_terms::on_peer_terms(const peer_terms& received, mono_time now)
{
  if (received.request_rate && !is_valid_rate(*received.request_rate)) {
    return terms_action::reject;
  }
  const auto& id = received.process.id;
  const auto stated_at = now - received.age;
  if (stated_at + kept_for(received.leaving) <= now) {
    return terms_action::nothing;
  }
  const auto known = entries_.find(id);
  const bool is_new = known == entries_.end();
  if (!is_new && is_restart({.incarnation = known->second.incarnation}, received.process) &&
      stated_at <= known->second.stated_at) {
    return terms_action::nothing; // stated by the previous process
  }
  auto& it = entry_of(received.process);
  const bool leaves = received.leaving && set_leaving(it, now);
  const bool same = !leaves && it.request_rate == received.request_rate;
  if (is_new || stated_at > it.stated_at + (same ? same_statement_window : milliseconds{0})) {
    it.stated_at = stated_at;
    set_rate(id, it, received.request_rate, now);
  }
  // A rate limit takes effect only some seconds after it was stated, but all daemons must learn
  // soon that an endpoint is leaving.
  return leaves ? terms_action::gossip : terms_action::nothing;
}

bool stated_terms::is_leaving(const endpoint_process& process) const
{
  const auto it = entries_.find(process.id);
  return it != entries_.end() && it->second.leaving &&
         !is_restart({.incarnation = it->second.incarnation}, process);
}

void stated_terms::remove(const endpoint_id& id)
{
  entries_.erase(id);
  shares_.clear(id);
  paused_until_.erase(id);
}

void stated_terms::tick(mono_time now)
{
  std::erase_if(paused_until_, [now](const auto& it) { return it.second <= now; });
  for (auto it = entries_.begin(); it != entries_.end();) {
    if (it->second.stated_at + kept_for(it->second.leaving) <= now) {
      shares_.clear(it->first);
      it = entries_.erase(it);
    } else {
      ++it;
    }
  }
}

mono_time stated_terms::next_allowed_at(const endpoint_id& id, mono_time now) const
{
  const auto allowed_at = shares_.next_allowed_at(id, now);
  const auto paused = paused_until_.find(id);
  return paused == paused_until_.end() ? allowed_at : std::max(allowed_at, paused->second);
}

peer_terms stated_terms::to_peer_terms(const entry_map::value_type& it, mono_time now)
{
  const auto& [id, e] = it;
  return {.process = {.id = id, .incarnation = e.incarnation},
          .request_rate = e.request_rate,
          .leaving = e.leaving,
          .age = std::chrono::ceil<milliseconds>(now - e.stated_at)};
}

template <typename predicate>
void stated_terms::append_round_robin(std::vector<peer_terms>& out, std::size_t max_count,
                                      predicate is_selected, mono_time now)
{
  auto it = entries_.lower_bound(next_gossiped_);
  for (std::size_t i = 0; i < entries_.size() && out.size() < max_count; ++i) {
    if (it == entries_.end()) {
      it = entries_.begin();
    }
    if (is_selected(it->first, it->second)) {
      out.push_back(to_peer_terms(*it, now));
    }
    ++it;
  }
  next_gossiped_ = it == entries_.end() ? endpoint_id() : it->first;
}

std::vector<peer_terms> stated_terms::to_gossip(std::size_t max_count, const in_use& is_in_use,
                                                mono_time now)
{
  const auto is_changed = [now](const endpoint_id&, const entry& e) {
    return now < e.changed_at + change_gossip_duration;
  };
  const auto is_other = [&](const endpoint_id& id, const entry& e) {
    return !is_changed(id, e) && is_in_use(id);
  };
  std::vector<peer_terms> out;
  append_round_robin(out, max_count, is_changed, now);
  append_round_robin(out, max_count, is_other, now);
  return out;
}

} // namespace wisteriaflow::gateway
