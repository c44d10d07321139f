#include "wisteriaflow/gateway/stated_terms.h"

#include <algorithm>

namespace wisteriaflow::gateway {
namespace {

using std::chrono::milliseconds;

// News are told in every report for this long, well above the time in which they reach all.
constexpr milliseconds news_told{2'500};
// A statement heard again within this is the same one, come by way of another daemon: its age grows
// by less than the way takes.
constexpr milliseconds same_statement{500};
// What nobody has confirmed for so long is forgotten. While calls come, holders of a rate hear from
// the endpoint once a minute at the least.
constexpr milliseconds statement_kept{120'000};

} // namespace

void stated_terms::set_rate(const endpoint_id& id, entry& it, std::optional<double> rate,
                            mono_time now)
{
  if (it.request_rate != rate) {
    it.request_rate = rate;
    it.changed_at = now;
  }
  if (rate) {
    shares_.set(id, *rate, now);
  } else {
    shares_.clear(id);
  }
}

bool stated_terms::on_answer(const answered_terms& said, mono_time now)
{
  const auto& id = said.process.id;
  const auto known = entries_.find(id);
  const auto& rate = said.terms.request_rate;
  if (!rate) {
    // One that cannot be believed leaves the former as it is, as does an answer that may be another
    // program's.
    const bool limited = known != entries_.end() && known->second.request_rate;
    const bool is_over = said.is_signed && said.terms.rejected.empty();
    if (!limited || !is_over || said.sent_at <= known->second.said_at) {
      return false;
    }
  }
  auto& it = entries_[id];
  const bool is_news = it.request_rate != rate;
  it.incarnation = said.process.incarnation;
  it.said_at = now;
  set_rate(id, it, rate, now);
  return is_news;
}

bool stated_terms::on_told(const told_terms& told, mono_time now)
{
  if (told.request_rate && !is_credible_rate(*told.request_rate)) {
    return false;
  }
  const auto said_at = now - told.age;
  if (said_at + statement_kept <= now) {
    return true;
  }
  const auto& id = told.process.id;
  const auto [it, is_new] = entries_.try_emplace(id);
  auto& known = it->second;
  const bool same = !is_new && known.request_rate == told.request_rate &&
                    known.incarnation == told.process.incarnation;
  const auto newer_than = same ? known.said_at + same_statement : known.said_at;
  if (!is_new && said_at <= newer_than) {
    return true;
  }
  known.incarnation = told.process.incarnation;
  known.said_at = said_at;
  set_rate(id, known, told.request_rate, now);
  return true;
}

void stated_terms::forget(const endpoint_id& id)
{
  entries_.erase(id);
  shares_.clear(id);
}

void stated_terms::tick(mono_time now)
{
  for (auto it = entries_.begin(); it != entries_.end();) {
    if (it->second.said_at + statement_kept <= now) {
      shares_.clear(it->first);
      it = entries_.erase(it);
    } else {
      ++it;
    }
  }
}

mono_time stated_terms::open_at(const endpoint_id& id, mono_time now) const
{
  return shares_.open_at(id, now);
}

told_terms stated_terms::tell(const entry_map::value_type& it, mono_time now)
{
  const auto& [id, e] = it;
  return {.process = {.id = id, .incarnation = e.incarnation},
          .request_rate = e.request_rate,
          .age = std::chrono::ceil<milliseconds>(now - e.said_at)};
}

std::vector<told_terms> stated_terms::to_tell(std::size_t most, mono_time now)
{
  const auto is_news = [now](const entry& e) { return now < e.changed_at + news_told; };
  std::vector<told_terms> out;
  for (const auto& it : entries_) {
    if (out.size() < most && is_news(it.second)) {
      out.push_back(tell(it, now));
    }
  }
  auto next = entries_.lower_bound(next_);
  for (std::size_t i = 0; i < entries_.size() && out.size() < most; ++i) {
    if (next == entries_.end()) {
      next = entries_.begin();
    }
    if (!is_news(next->second)) {
      out.push_back(tell(*next, now));
    }
    ++next;
  }
  next_ = next == entries_.end() ? endpoint_id() : next->first;
  return out;
}

} // namespace wisteriaflow::gateway
