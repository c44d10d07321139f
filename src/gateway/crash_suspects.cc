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
  if (!sightings_.contains(content)) {
    return false;
  }
  const bool lifts = times_suspected(content) > 0;
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
    if (sightings_.contains(content)) {
      add_answer(content, std::min(answered_at, now), now);
    }
  }
}

void crash_suspects::add(const crash_sighting& seen, wall_time now)
{
  auto& crash = crashes_.try_emplace(seen.process, known_crash{.at = seen.at}).first->second;
  crash.at = std::min(crash.at, seen.at);
  // Of two requests of one content the one that had come less far counts.
  const auto known = crash.suspects.find(seen.content);
  if (known != crash.suspects.end() && known->second <= seen.stage) {
    return;
  }
  set_stage(seen.process, crash, seen.content, seen.stage);
  crash.told_until = now + options_.told_for;
  changed_ = true;
  if (was_answered_lately(seen.content, now)) {
    add_answer(seen.content, std::max(now, crash.at), now);
  }
  if (crash.suspects.size() > options_.most_suspects) {
    drop_least_likely(seen.process, crash);
  }
  if (crashes_.size() > options_.most_crashes) {
    drop_crash();
  }
}

void crash_suspects::set_stage(const endpoint_process& process, known_crash& crash,
                               const content_id& content, answer_stage stage)
{
  if (crash.suspects.contains(content)) {
    drop_suspect(process, crash, content);
  }
  crash.suspects.emplace(content, stage);
  ++sightings_[content];
  digest_ ^= hash_of(process, content, stage);
}

void crash_suspects::add_answer(const content_id& content, wall_time answered_at, wall_time now)
{
  const auto known = answered_.find(content);
  if (known != answered_.end()) {
    if (answered_at <= known->second.at) {
      return;
    }
    digest_ ^= hash_of(content, known->second.at);
  }
  answered_[content] = {.at = answered_at, .told_until = now + options_.told_for};
  digest_ ^= hash_of(content, answered_at);
  changed_ = true;
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

void crash_suspects::drop_crash()
{
  refresh();
  const auto is_needed = [this](const endpoint_process& process) {
    return std::any_of(holds_.begin(), holds_.end(), [&](const auto& it) {
      const auto& ended = it.second.ended;
      return std::find(ended.begin(), ended.end(), process) != ended.end();
    });
  };
  const auto sooner = [&](const auto& a, const auto& b) {
    return std::pair(is_needed(a.first), a.second.at) < std::pair(is_needed(b.first), b.second.at);
  };
  const auto it = std::min_element(crashes_.begin(), crashes_.end(), sooner);
  drop_all(it->first, it->second);
  crashes_.erase(it);
}

void crash_suspects::drop_suspect(const endpoint_process& process, known_crash& crash,
                                  const content_id& content)
{
  const auto it = crash.suspects.find(content);
  digest_ ^= hash_of(process, content, it->second);
  crash.suspects.erase(it);
  if (--sightings_.at(content) == 0) {
    sightings_.erase(content);
  }
  changed_ = true;
}

// Each daemon drops the same one, whatever the order in which it heard of them.
void crash_suspects::drop_least_likely(const endpoint_process& process, known_crash& crash)
{
  const auto likelier = [](const auto& a, const auto& b) {
    return std::pair(a.second, a.first) < std::pair(b.second, b.first);
  };
  const auto last = std::max_element(crash.suspects.begin(), crash.suspects.end(), likelier);
  drop_suspect(process, crash, content_id(last->first));
}

void crash_suspects::drop_all(const endpoint_process& process, known_crash& crash)
{
  while (!crash.suspects.empty()) {
    drop_suspect(process, crash, content_id(crash.suspects.begin()->first));
  }
}

// Answers count against suspicions alone.
void crash_suspects::drop_answers_of_others()
{
  for (auto it = answered_.begin(); it != answered_.end();) {
    if (sightings_.contains(it->first)) {
      ++it;
      continue;
    }
    digest_ ^= hash_of(it->first, it->second.at);
    it = answered_.erase(it);
  }
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

crash_suspects::suspect_counts crash_suspects::count_suspects() const
{
  suspect_counts counts;
  for (const auto& [process, crash] : crashes_) {
    for (const auto& [content, stage] : crash.suspects) {
      counts[content] += is_void(content, crash) ? 0 : 1;
    }
  }
  return counts;
}

bool crash_suspects::is_explained(const known_crash& crash, const content_id& content,
                                  const suspect_counts& counts) const
{
  const auto own = counts.at(content);
  const auto stage = crash.suspects.at(content);
  return std::any_of(crash.suspects.begin(), crash.suspects.end(), [&](const auto& other) {
    if (other.first == content || is_void(other.first, crash)) {
      return false;
    }
    const auto n = counts.at(other.first);
    return n > own || (n == own && other.second < stage);
  });
}

std::chrono::seconds crash_suspects::pause_after(std::size_t ended) const
{
  auto pause = options_.first_pause;
  for (auto n = options_.hold_after; n < ended && pause < options_.longest_pause; ++n) {
    pause *= 2;
  }
  return std::min(pause, options_.longest_pause);
}

void crash_suspects::refresh()
{
  if (!std::exchange(changed_, false)) {
    return;
  }
  const auto counts = count_suspects();
  holds_.clear();
  std::unordered_map<content_id, wall_time> last_ends;
  for (const auto& [process, crash] : crashes_) {
    for (const auto& [content, stage] : crash.suspects) {
      const bool is_counted = counts.at(content) >= options_.hold_after &&
                              !is_void(content, crash) && !is_explained(crash, content, counts);
      if (is_counted) {
        holds_[content].ended.push_back(process);
        auto& last = last_ends.try_emplace(content, crash.at).first->second;
        last = std::max(last, crash.at);
      }
    }
  }
  std::erase_if(holds_,
                [this](const auto& it) { return it.second.ended.size() < options_.hold_after; });
  for (auto& [content, hold] : holds_) {
    hold.try_at = last_ends.at(content) + pause_after(hold.ended.size());
  }
}

std::optional<content_hold> crash_suspects::hold_of(const content_id& content)
{
  const auto seen = sightings_.find(content);
  if (seen == sightings_.end() || seen->second < options_.hold_after) {
    return std::nullopt;
  }
  refresh();
  const auto it = holds_.find(content);
  return it == holds_.end() ? std::nullopt : std::optional(it->second);
}

std::map<content_id, content_hold> crash_suspects::holds()
{
  refresh();
  return holds_;
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

crash_news crash_suspects::news(wall_time now)
{
  std::vector<decltype(crashes_)::const_iterator> crashes;
  for (auto it = crashes_.cbegin(); it != crashes_.cend(); ++it) {
    if (now < it->second.told_until) {
      crashes.push_back(it);
    }
  }
  std::vector<decltype(answered_)::const_iterator> answers;
  for (auto it = answered_.cbegin(); it != answered_.cend(); ++it) {
    if (now < it->second.told_until) {
      answers.push_back(it);
    }
  }
  crash_news out;
  std::size_t told = 0;
  for (std::size_t i = 0; i < crashes.size() && told < options_.most_told; ++i) {
    const auto& [process, crash] = *crashes[next_crash_++ % crashes.size()];
    told += crash.suspects.size();
    out.crashes.push_back({.process = process, .at = crash.at, .suspects = crash.suspects});
  }
  for (std::size_t i = 0; i < std::min(answers.size(), options_.most_told); ++i) {
    const auto& [content, answer] = *answers[next_answer_++ % answers.size()];
    out.answered.emplace(content, answer.at);
  }
  return out;
}

crash_news crash_suspects::all() const
{
  crash_news out;
  for (const auto& [process, crash] : crashes_) {
    out.crashes.push_back({.process = process, .at = crash.at, .suspects = crash.suspects});
  }
  for (const auto& [content, answer] : answered_) {
    out.answered.emplace(content, answer.at);
  }
  return out;
}

void crash_suspects::tick(wall_time now)
{
  rotate_answers(now);
  for (auto it = crashes_.begin(); it != crashes_.end();) {
    if (now < it->second.at + options_.kept) {
      ++it;
      continue;
    }
    drop_all(it->first, it->second);
    it = crashes_.erase(it);
  }
  drop_answers_of_others();
  refresh();
}

} // namespace wisteriaflow::gateway
