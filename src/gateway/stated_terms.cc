#include "wisteriaflow/gateway/stated_terms.h"

#include <algorithm>
#include <utility>

namespace wisteriaflow::gateway {
namespace {

using std::chrono::milliseconds;

// News are told in every report for this long, well above the time in which they reach all.
constexpr milliseconds news_told{2'500};
// A statement heard again within this is the same one, come by way of another daemon: its age grows
// by less than the way takes.
constexpr milliseconds same_statement{500};
// A rate that nobody has confirmed for so long is forgotten. While calls come, holders of a share
// hear from the endpoint once a minute at the least.
constexpr milliseconds rate_kept{120'000};
// An endpoint that leaves has ended well before this.
constexpr milliseconds leaving_kept{600'000};

milliseconds kept_for(bool leaving)
{
  return leaving ? leaving_kept : rate_kept;
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

terms_step stated_terms::on_answer(const answered_terms& said, mono_time now)
{
  const auto& id = said.process.id;
  if (const auto& pause = said.terms.pause) {
    auto& until = paused_until_[id];
    until = std::max(until, now + *pause); // an answer to an earlier request may ask for less
  }
  const auto& rate = said.terms.request_rate;
  const auto known = entries_.find(id);
  const bool limited = known != entries_.end() && known->second.request_rate;
  // A rate that cannot be believed leaves the former as it is, as does an answer that may be
  // another program's.
  const bool ends_rate = limited && !rate && said.is_signed && said.terms.rejected.empty() &&
                         said.sent_at > known->second.said_at;
  if (!rate && !said.terms.leaving && !ends_rate) {
    return terms_step::nothing;
  }
  auto& it = entry_of(said.process);
  it.said_at = now;
  bool is_news = said.terms.leaving && set_leaving(it, now);
  if (rate || ends_rate) {
    is_news = set_rate(id, it, rate, now) || is_news;
  }
  return is_news ? terms_step::tell : terms_step::nothing;
}

terms_step stated_terms::on_told(const told_terms& told, mono_time now)
{
  if (told.request_rate && !is_credible_rate(*told.request_rate)) {
    return terms_step::reject;
  }
  const auto& id = told.process.id;
  const auto said_at = now - told.age;
  if (said_at + kept_for(told.leaving) <= now) {
    return terms_step::nothing;
  }
  const auto known = entries_.find(id);
  const bool is_new = known == entries_.end();
  if (!is_new && is_restart({.incarnation = known->second.incarnation}, told.process) &&
      said_at <= known->second.said_at) {
    return terms_step::nothing; // of the process before
  }
  auto& it = entry_of(told.process);
  const bool leaves = told.leaving && set_leaving(it, now);
  const bool same = !leaves && it.request_rate == told.request_rate;
  if (is_new || said_at > it.said_at + (same ? same_statement : milliseconds{0})) {
    it.said_at = said_at;
    set_rate(id, it, told.request_rate, now);
  }
  // A rate binds from some seconds after it was named; that an endpoint leaves has to be known
  // soon.
  return leaves ? terms_step::tell : terms_step::nothing;
}

bool stated_terms::is_leaving(const endpoint_process& process) const
{
  const auto it = entries_.find(process.id);
  return it != entries_.end() && it->second.leaving &&
         !is_restart({.incarnation = it->second.incarnation}, process);
}

void stated_terms::forget(const endpoint_id& id)
{
  entries_.erase(id);
  shares_.clear(id);
  paused_until_.erase(id);
}

void stated_terms::tick(mono_time now)
{
  std::erase_if(paused_until_, [now](const auto& it) { return it.second <= now; });
  for (auto it = entries_.begin(); it != entries_.end();) {
    if (it->second.said_at + kept_for(it->second.leaving) <= now) {
      shares_.clear(it->first);
      it = entries_.erase(it);
    } else {
      ++it;
    }
  }
}

mono_time stated_terms::open_at(const endpoint_id& id, mono_time now) const
{
  const auto open_at = shares_.open_at(id, now);
  const auto paused = paused_until_.find(id);
  return paused == paused_until_.end() ? open_at : std::max(open_at, paused->second);
}

told_terms stated_terms::tell(const entry_map::value_type& it, mono_time now)
{
  const auto& [id, e] = it;
  return {.process = {.id = id, .incarnation = e.incarnation},
          .request_rate = e.request_rate,
          .leaving = e.leaving,
          .age = std::chrono::ceil<milliseconds>(now - e.said_at)};
}

template <typename predicate>
void stated_terms::tell_in_turn(std::vector<told_terms>& out, std::size_t most, predicate is_wanted,
                                mono_time now)
{
  auto it = entries_.lower_bound(next_);
  for (std::size_t i = 0; i < entries_.size() && out.size() < most; ++i) {
    if (it == entries_.end()) {
      it = entries_.begin();
    }
    if (is_wanted(it->first, it->second)) {
      out.push_back(tell(*it, now));
    }
    ++it;
  }
  next_ = it == entries_.end() ? endpoint_id() : it->first;
}

std::vector<told_terms> stated_terms::to_tell(std::size_t most, const in_use& is_in_use,
                                              mono_time now)
{
  const auto is_news = [now](const endpoint_id&, const entry& e) {
    return now < e.changed_at + news_told;
  };
  const auto is_other = [&](const endpoint_id& id, const entry& e) {
    return !is_news(id, e) && is_in_use(id);
  };
  std::vector<told_terms> out;
  tell_in_turn(out, most, is_news, now);
  tell_in_turn(out, most, is_other, now);
  return out;
}

} // namespace wisteriaflow::gateway
