#include "wisteriaflow/gateway/crash_suspects.h"

#include <algorithm>
#include <string>
#include <utility>

#include "wisteriaflow/base/hash.h"

namespace wisteriaflow::gateway {
namespace {

// Hash of one element of the state; the digest is the XOR of all of them.
std::uint64_t hash_of(const endpoint_process& process, const content_id& content,
                      answer_stage stage)
{
  const auto* mark = stage == answer_stage::started ? " begun" : "";
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
  if (!crash_counts_.contains(content)) {
    return false;
  }
  const bool clears = times_suspected(content) > 0;
  // Clocks of daemons differ: all crashes known at this moment happened before this answer.
  add_answer(content, std::max(now, last_crash_of(content).value_or(now)), now);
  return clears;
}

void crash_suspects::merge(const crash_report& received, wall_time now)
{
  for (const auto& crash : received.crashes) {
    // Clamped, so that a peer's fast clock doesn't extend the retention of a crash.
    const auto at = std::min(crash.at, now);
    if (at + options_.crash_retention <= now) {
      continue;
    }
    for (const auto& [content, stage] : crash.suspects) {
      add({.process = crash.process, .content = content, .stage = stage, .at = at}, now);
    }
  }
  for (const auto& [content, answered_at] : received.answered) {
    if (crash_counts_.contains(content)) {
      add_answer(content, std::min(answered_at, now), now);
    }
  }
}

void crash_suspects::add(const crash_observation& observed, wall_time now)
{
  auto& crash =
      crashes_.try_emplace(observed.process, crash_entry{.at = observed.at}).first->second;
  crash.at = std::min(crash.at, observed.at);
  // Of two requests with the same content, the one with less progress counts.
  const auto known = crash.suspects.find(observed.content);
  if (known != crash.suspects.end() && known->second <= observed.stage) {
    return;
  }
  set_stage(observed.process, crash, observed.content, observed.stage);
  crash.gossip_until = now + options_.gossip_duration;
  changed_ = true;
  if (was_answered_recently(observed.content, now)) {
    add_answer(observed.content, std::max(now, crash.at), now);
  }
  if (crash.suspects.size() > options_.max_suspects_per_crash) {
    drop_least_likely(observed.process, crash);
  }
  if (crashes_.size() > options_.max_crashes) {
    drop_crash();
  }
}

void crash_suspects::set_stage(const endpoint_process& process, crash_entry& crash,
                               const content_id& content, answer_stage stage)
{
  if (crash.suspects.contains(content)) {
    drop_suspect(process, crash, content);
  }
  crash.suspects.emplace(content, stage);
  ++crash_counts_[content];
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
  answered_[content] = {.at = answered_at, .gossip_until = now + options_.gossip_duration};
  digest_ ^= hash_of(content, answered_at);
  changed_ = true;
}

bool crash_suspects::is_cleared(const content_id& content, const crash_entry& crash) const
{
  const auto it = answered_.find(content);
  return it != answered_.end() && crash.at <= it->second.at;
}

bool crash_suspects::was_answered_recently(const content_id& content, wall_time now) const
{
  for (const auto* answers : {&latest_answers_, &earlier_answers_}) {
    const auto it = answers->find(content);
    if (it != answers->end() && now < it->second + options_.recent_answer_window) {
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
  recompute_holds();
  const auto is_needed = [this](const endpoint_process& process) {
    return std::any_of(holds_.begin(), holds_.end(), [&](const auto& it) {
      const auto& ended = it.second.crashed;
      return std::find(ended.begin(), ended.end(), process) != ended.end();
    });
  };
  const auto is_evicted_before = [&](const auto& a, const auto& b) {
    return std::pair(is_needed(a.first), a.second.at) < std::pair(is_needed(b.first), b.second.at);
  };
  const auto it = std::min_element(crashes_.begin(), crashes_.end(), is_evicted_before);
  drop_all(it->first, it->second);
  crashes_.erase(it);
}

void crash_suspects::drop_suspect(const endpoint_process& process, crash_entry& crash,
                                  const content_id& content)
{
  const auto it = crash.suspects.find(content);
  digest_ ^= hash_of(process, content, it->second);
  crash.suspects.erase(it);
  if (--crash_counts_.at(content) == 0) {
    crash_counts_.erase(content);
  }
  changed_ = true;
}

// The choice doesn't depend on the order of arrival, so that all daemons drop the same suspect.
void crash_suspects::drop_least_likely(const endpoint_process& process, crash_entry& crash)
{
  const auto likelier = [](const auto& a, const auto& b) {
    return std::pair(a.second, a.first) < std::pair(b.second, b.first);
  };
  const auto last = std::max_element(crash.suspects.begin(), crash.suspects.end(), likelier);
  drop_suspect(process, crash, content_id(last->first));
}

void crash_suspects::drop_all(const endpoint_process& process, crash_entry& crash)
{
  while (!crash.suspects.empty()) {
    drop_suspect(process, crash, content_id(crash.suspects.begin()->first));
  }
}

// Answers only serve to clear suspects.
void crash_suspects::drop_unneeded_answers()
{
  for (auto it = answered_.begin(); it != answered_.end();) {
    if (crash_counts_.contains(it->first)) {
      ++it;
      continue;
    }
    digest_ ^= hash_of(it->first, it->second.at);
    it = answered_.erase(it);
  }
}

void crash_suspects::rotate_answers(wall_time now)
{
  const bool full = latest_answers_.size() >= options_.max_recent_answers;
  if (!full && now < rotated_at_ + options_.recent_answer_window) {
    return;
  }
  earlier_answers_ = std::exchange(latest_answers_, {});
  rotated_at_ = now;
}

std::size_t crash_suspects::times_suspected(const content_id& content) const
{
  const auto is_suspect = [&](const auto& it) {
    return it.second.suspects.contains(content) && !is_cleared(content, it.second);
  };
  return static_cast<std::size_t>(std::count_if(crashes_.begin(), crashes_.end(), is_suspect));
}

crash_suspects::suspect_counts crash_suspects::count_suspects() const
{
  suspect_counts counts;
  for (const auto& [process, crash] : crashes_) {
    for (const auto& [content, stage] : crash.suspects) {
      counts[content] += is_cleared(content, crash) ? 0 : 1;
    }
  }
  return counts;
}

bool crash_suspects::has_likelier_suspect(const crash_entry& crash, const content_id& content,
                                          const suspect_counts& counts) const
{
  const auto own = counts.at(content);
  const auto stage = crash.suspects.at(content);
  return std::any_of(crash.suspects.begin(), crash.suspects.end(), [&](const auto& other) {
    if (other.first == content || is_cleared(other.first, crash)) {
      return false;
    }
    const auto n = counts.at(other.first);
    return n > own || (n == own && other.second < stage);
  });
}

std::chrono::seconds crash_suspects::probe_delay_after(std::size_t crashes) const
{
  auto delay = options_.initial_probe_delay;
  for (auto n = options_.crashes_before_hold; n < crashes && delay < options_.max_probe_delay;
       ++n) {
    delay *= 2;
  }
  return std::min(delay, options_.max_probe_delay);
}

void crash_suspects::recompute_holds()
{
  if (!std::exchange(changed_, false)) {
    return;
  }
  const auto counts = count_suspects();
  holds_.clear();
  std::unordered_map<content_id, wall_time> last_crashes;
  for (const auto& [process, crash] : crashes_) {
    for (const auto& [content, stage] : crash.suspects) {
      const bool is_counted = counts.at(content) >= options_.crashes_before_hold &&
                              !is_cleared(content, crash) &&
                              !has_likelier_suspect(crash, content, counts);
      if (is_counted) {
        holds_[content].crashed.push_back(process);
        auto& last = last_crashes.try_emplace(content, crash.at).first->second;
        last = std::max(last, crash.at);
      }
    }
  }
  std::erase_if(holds_, [this](const auto& it) {
    return it.second.crashed.size() < options_.crashes_before_hold;
  });
  for (auto& [content, hold] : holds_) {
    hold.probe_at = last_crashes.at(content) + probe_delay_after(hold.crashed.size());
  }
}

std::optional<content_hold> crash_suspects::hold_of(const content_id& content)
{
  const auto seen = crash_counts_.find(content);
  if (seen == crash_counts_.end() || seen->second < options_.crashes_before_hold) {
    return std::nullopt;
  }
  recompute_holds();
  const auto it = holds_.find(content);
  return it == holds_.end() ? std::nullopt : std::optional(it->second);
}

std::map<content_id, content_hold> crash_suspects::holds()
{
  recompute_holds();
  return holds_;
}

crash_report crash_suspects::evidence_of(const content_id& content) const
{
  crash_report out;
  for (const auto& [process, crash] : crashes_) {
    const auto it = crash.suspects.find(content);
    if (it != crash.suspects.end() && !is_cleared(content, crash)) {
      out.crashes.push_back({.process = process, .at = crash.at, .suspects = {*it}});
    }
  }
  return out;
}

crash_report crash_suspects::recent_changes(wall_time now)
{
  std::vector<decltype(crashes_)::const_iterator> crashes;
  for (auto it = crashes_.cbegin(); it != crashes_.cend(); ++it) {
    if (now < it->second.gossip_until) {
      crashes.push_back(it);
    }
  }
  std::vector<decltype(answered_)::const_iterator> answers;
  for (auto it = answered_.cbegin(); it != answered_.cend(); ++it) {
    if (now < it->second.gossip_until) {
      answers.push_back(it);
    }
  }
  crash_report out;
  std::size_t gossiped = 0;
  for (std::size_t i = 0; i < crashes.size() && gossiped < options_.max_gossiped_requests; ++i) {
    const auto& [process, crash] = *crashes[next_gossiped_crash_++ % crashes.size()];
    gossiped += crash.suspects.size();
    out.crashes.push_back({.process = process, .at = crash.at, .suspects = crash.suspects});
  }
  for (std::size_t i = 0; i < std::min(answers.size(), options_.max_gossiped_requests); ++i) {
    const auto& [content, answer] = *answers[next_gossiped_answer_++ % answers.size()];
    out.answered.emplace(content, answer.at);
  }
  return out;
}

crash_report crash_suspects::all() const
{
  crash_report out;
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
    if (now < it->second.at + options_.crash_retention) {
      ++it;
      continue;
    }
    drop_all(it->first, it->second);
    it = crashes_.erase(it);
  }
  drop_unneeded_answers();
  recompute_holds();
}

} // namespace wisteriaflow::gateway
