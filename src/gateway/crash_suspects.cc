#include "wisteriaflow/gateway/crash_suspects.h"

#include <algorithm>
#include <string>
#include <utility>

#include "wisteriaflow/base/hash.h"

namespace wisteriaflow::gateway {
namespace {

// One piece of what is known, for the digest.
std::uint64_t hash_of(const endpoint_process& process, const content_id& content,
                      answer_stage stage)
{
  const auto* mark = stage == answer_stage::begun ? " begun" : "";
  return hash64_of(process.id.value() + to_string(content) + mark, process.incarnation);
}

std::uint64_t hash_of(const content_id& content, wall_time answered_at)
{
  return hash64_of(to_string(content), static_cast<std::uint64_t>(to_unix_ms(answered_at)));
}

} // namespace

bool crash_suspects::on_answered(const content_id& content, wall_time now)
{
  rotate_answers(now);
  latest_answers_[content] = now;
  refresh();
  if (!counts_.contains(content)) {
    return false;
  }
  const bool lifts = counts_.at(content) > 0;
  // Clocks differ: what has been heard of has ended before this answer.
  add_answer(content, std::max(now, last_crash_of(content).value_or(now)), now);
  return lifts;
}

void crash_suspects::absorb(const crash_news& told, wall_time now)
{
  for (const auto& crash : told.crashes) {
    // A clock that is ahead must not make a crash count for longer.
    const auto at = std::min(crash.at, now);
    if (at + options_.kept <= now) {
      continue;
    }
    for (const auto& [content, stage] : crash.suspects) {
      add({.process = crash.process, .content = content, .stage = stage, .at = at}, now);
    }
  }
  for (const auto& [content, answered_at] : told.answered) {
    if (last_crash_of(content)) {
      add_answer(content, std::min(answered_at, now), now);
    }
  }
}

void crash_suspects::add(const crash_sighting& seen, wall_time now)
{
  const auto [it, is_new] = crashes_.try_emplace(seen.process, known_crash{.at = seen.at});
  auto& crash = it->second;
  crash.at = std::min(crash.at, seen.at);
  const auto [suspect, added] = crash.suspects.try_emplace(seen.content, seen.stage);
  // Two requests of one content: the one that had come less far counts.
  const bool nearer = seen.stage < suspect->second;
  if (!added && !nearer) {
    return;
  }
  suspect->second = std::min(suspect->second, seen.stage);
  crash.told_until = now + options_.told_for;
  changed_ = true;
  if (crash.suspects.size() > options_.most_suspects) {
    drop_least_likely(crash);
  }
  if (was_answered_lately(seen.content, now)) {
    add_answer(seen.content, std::max(now, crash.at), now);
  }
  if (is_new && crashes_.size() > options_.most_crashes) {
    drop_oldest();
  }
}

void crash_suspects::add_answer(const content_id& content, wall_time answered_at, wall_time now)
{
  auto& known = answered_[content];
  if (known.at < answered_at) {
    known = {.at = answered_at, .told_until = now + options_.told_for};
    changed_ = true;
  }
}

bool crash_suspects::is_void(const content_id& content, const known_crash& crash) const
{
  const auto it = answered_.find(content);
  return it != answered_.end() && crash.at <= it->second.at;
}

bool crash_suspects::was_answered_lately(const content_id& content, wall_time now) const
{
  for (const auto* answers : {&latest_answers_, &earlier_answers_}) {
    const auto it = answers->find(content);
    if (it != answers->end() && now < it->second + options_.answer_clears) {
      return true;
    }
  }
  return false;
}

std::optional<wall_time> crash_suspects::last_crash_of(const content_id& content) const
{
  std::optional<wall_time> last;
  for (const auto& [process, crash] : crashes_) {
    if (crash.suspects.contains(content)) {
      last = std::max(last.value_or(crash.at), crash.at);
    }
  }
  return last;
}

void crash_suspects::drop_oldest()
{
  const auto earlier = [](const auto& a, const auto& b) { return a.second.at < b.second.at; };
  crashes_.erase(std::min_element(crashes_.begin(), crashes_.end(), earlier));
}

// Each daemon drops the same one, whatever the order in which it heard of them.
void crash_suspects::drop_least_likely(known_crash& crash)
{
  const auto likelier = [](const auto& a, const auto& b) {
    return std::pair(a.second, a.first) < std::pair(b.second, b.first);
  };
  crash.suspects.erase(
      std::max_element(crash.suspects.begin(), crash.suspects.end(), likelier)->first);
}

void crash_suspects::rotate_answers(wall_time now)
{
  const bool full = latest_answers_.size() >= options_.most_answers;
  if (!full && now < rotated_at_ + options_.answer_clears) {
    return;
  }
  earlier_answers_ = std::exchange(latest_answers_, {});
  rotated_at_ = now;
}

std::size_t crash_suspects::times_suspected(const content_id& content) const
{
  const auto is_suspect = [&](const auto& it) {
    return it.second.suspects.contains(content) && !is_void(content, it.second);
  };
  return static_cast<std::size_t>(std::count_if(crashes_.begin(), crashes_.end(), is_suspect));
}

void crash_suspects::count_suspects()
{
  counts_.clear();
  for (const auto& [process, crash] : crashes_) {
    for (const auto& [content, stage] : crash.suspects) {
      counts_[content] += is_void(content, crash) ? 0 : 1;
    }
  }
}

bool crash_suspects::is_explained(const known_crash& crash, const content_id& content) const
{
  const auto own = counts_.at(content);
  const auto stage = crash.suspects.at(content);
  return std::any_of(crash.suspects.begin(), crash.suspects.end(), [&](const auto& other) {
    if (other.first == content || is_void(other.first, crash)) {
      return false;
    }
    const auto n = counts_.at(other.first);
    return n > own || (n == own && other.second < stage);
  });
}

std::chrono::seconds crash_suspects::hold_time(std::size_t ended) const
{
  auto time = options_.first_hold;
  for (auto n = options_.hold_after; n < ended && time < options_.longest_hold; ++n) {
    time *= 2;
  }
  return std::min(time, options_.longest_hold);
}

void crash_suspects::refresh()
{
  if (!std::exchange(changed_, false)) {
    return;
  }
  count_suspects();
  digest_ = 0;
  holds_.clear();
  for (const auto& [content, answer] : answered_) {
    digest_ ^= hash_of(content, answer.at);
  }
  std::unordered_map<content_id, wall_time> last_ends;
  for (const auto& [process, crash] : crashes_) {
    for (const auto& [content, stage] : crash.suspects) {
      digest_ ^= hash_of(process, content, stage);
      const bool counts = counts_.at(content) >= options_.hold_after && !is_void(content, crash) &&
                          !is_explained(crash, content);
      if (counts) {
        holds_[content].ended.push_back(process);
        auto& last = last_ends.try_emplace(content, crash.at).first->second;
        last = std::max(last, crash.at);
      }
    }
  }
  std::erase_if(holds_,
                [this](const auto& it) { return it.second.ended.size() < options_.hold_after; });
  for (auto& [content, hold] : holds_) {
    hold.until = last_ends.at(content) + hold_time(hold.ended.size());
  }
}

std::uint64_t crash_suspects::digest()
{
  refresh();
  return digest_;
}

std::optional<content_hold> crash_suspects::hold_of(const content_id& content, wall_time now)
{
  refresh();
  const auto it = holds_.find(content);
  if (it == holds_.end() || it->second.until <= now) {
    return std::nullopt;
  }
  return it->second;
}

std::map<content_id, content_hold> crash_suspects::holds(wall_time now)
{
  refresh();
  std::map<content_id, content_hold> out;
  for (const auto& [content, hold] : holds_) {
    if (now < hold.until) {
      out.emplace(content, hold);
    }
  }
  return out;
}

crash_news crash_suspects::evidence_of(const content_id& content) const
{
  crash_news out;
  for (const auto& [process, crash] : crashes_) {
    const auto it = crash.suspects.find(content);
    if (it != crash.suspects.end() && !is_void(content, crash)) {
      out.crashes.push_back({.process = process, .at = crash.at, .suspects = {*it}});
    }
  }
  return out;
}

crash_news crash_suspects::news(wall_time now) const
{
  crash_news out;
  for (const auto& [process, crash] : crashes_) {
    if (now < crash.told_until) {
      out.crashes.push_back({.process = process, .at = crash.at, .suspects = crash.suspects});
    }
  }
  for (const auto& [content, answer] : answered_) {
    if (now < answer.told_until) {
      out.answered.emplace(content, answer.at);
    }
  }
  return out;
}

crash_news crash_suspects::all() const
{
  return news(wall_time::min());
}

void crash_suspects::tick(wall_time now)
{
  rotate_answers(now);
  const auto is_old = [&](const auto& it) { return it.second.at + options_.kept <= now; };
  changed_ = std::erase_if(crashes_, is_old) > 0 || changed_;
  const auto is_needless = [&](const auto& it) { return !last_crash_of(it.first); };
  changed_ = std::erase_if(answered_, is_needless) > 0 || changed_;
  refresh();
}

} // namespace wisteriaflow::gateway
