#include "wisteriaflow/gateway/crash_suspects.h"

#include <algorithm>
#include <string>
#include <tuple>
#include <utility>
#include <variant>

#include "wisteriaflow/base/hash.h"

namespace wisteriaflow::gateway {
namespace {

std::string text_of(const answer_progress& progress)
{
  return std::to_string(progress.position) + "/" + std::to_string(progress.time.count());
}

// Hash of one element of the state; the digest is the XOR of all of them.
std::uint64_t hash_of(const endpoint_process& process, const crash_suspect& suspect,
                      const suspicion& seen)
{
  auto text = process.id.value() + to_string(suspect);
  text += seen.stage == answer_stage::started ? " begun" : "";
  text += seen.depth > 0 ? " depth " + std::to_string(seen.depth) : "";
  text += seen.refuted ? " refuted" : "";
  if (seen.progress != answer_progress()) {
    text += " to " + text_of(seen.progress);
  }
  if (seen.outlived_by) {
    text += " outlived to " + text_of(*seen.outlived_by);
  }
  return hash64_of(text, process.incarnation);
}

std::uint64_t hash_of(const crash_suspect& suspect, wall_time answered_at)
{
  return hash64_of(to_string(suspect), static_cast<std::uint64_t>(to_unix_ms(answered_at)));
}

// Of two requests with the same suspect, the earlier stage, the furthest progress and the longer
// prompt count.
suspicion merged(const suspicion& a, const suspicion& b)
{
  const auto& known = a.outlived_by ? a.outlived_by : b.outlived_by;
  return {.stage = std::min(a.stage, b.stage),
          .depth = std::max(a.depth, b.depth),
          .refuted = a.refuted || b.refuted,
          .progress = furthest_of(a.progress, b.progress),
          .outlived_by = a.outlived_by && b.outlived_by
                             ? std::optional(furthest_of(*a.outlived_by, *b.outlived_by))
                             : known};
}

std::uint64_t hash_of(const endpoint_process& process, const prompt_part_id& part)
{
  return hash64_of(process.id.value(), process.incarnation ^ part.value);
}

} // namespace

bool crash_suspects::on_answered(const crash_suspect& suspect, wall_time now)
{
  rotate_answers(now);
  latest_answers_[suspect] = now;
  if (!crash_counts_.contains(suspect) || times_suspected(suspect) == 0) {
    return false;
  }
  // Clocks of daemons differ: all crashes known at this moment happened before this answer.
  add_answer(suspect, std::max(now, last_crash_of(suspect).value_or(now)), now);
  return true;
}

void crash_suspects::on_answered_by(const endpoint_process& process, const prompt_part_id& part)
{
  if (latest_answered_parts_.size() >= options_.max_answered_parts) {
    earlier_answered_parts_ = std::exchange(latest_answered_parts_, {});
  }
  latest_answered_parts_.insert(hash_of(process, part));
}

bool crash_suspects::has_answered(const endpoint_process& process,
                                  const crash_suspect& suspect) const
{
  const auto* part = std::get_if<prompt_part_id>(&suspect);
  if (part == nullptr) {
    return false;
  }
  const auto hash = hash_of(process, *part);
  return latest_answered_parts_.contains(hash) || earlier_answered_parts_.contains(hash);
}

void crash_suspects::merge(const crash_report& received, wall_time now)
{
  bool has_old = false;
  for (auto crash : received.crashes) {
    // Clamped, so that a peer's fast clock doesn't extend the retention of a crash.
    crash.at = std::min(crash.at, now);
    if (crash.at + options_.crash_retention <= now) {
      std::erase_if(crash.suspects, [](const auto& it) { return !is_prompt_part(it.first); });
      has_old = true;
    }
    add(crash, now);
  }
  for (const auto& [suspect, answered_at] : received.answered) {
    if (crash_counts_.contains(suspect)) {
      add_answer(suspect, std::min(answered_at, now), now);
    }
  }
  if (has_old) {
    drop_expired(now); // before they are gossiped
  }
}

void crash_suspects::add(const endpoint_crash& observed, wall_time now)
{
  if (observed.suspects.empty()) {
    return;
  }
  auto& crash =
      crashes_.try_emplace(observed.process, crash_entry{.at = observed.at}).first->second;
  crash.at = std::min(crash.at, observed.at);
  bool is_new = false;
  for (const auto& [suspect, seen] : observed.suspects) {
    is_new = add_suspect(observed.process, crash, suspect, seen) || is_new;
  }
  if (!is_new) {
    return;
  }
  changed_ = true;
  crash.gossip_until = now + options_.gossip_duration;
  for (const auto& [suspect, seen] : observed.suspects) {
    if (!is_cleared(suspect, crash) && was_answered_recently(suspect, now)) {
      add_answer(suspect, std::max(now, crash.at), now);
    }
  }
  drop_excess(observed.process, crash);
  if (crashes_.size() > options_.max_crashes) {
    drop_crash();
  }
}

bool crash_suspects::add_suspect(const endpoint_process& process, crash_entry& crash,
                                 const crash_suspect& suspect, const suspicion& seen)
{
  auto result = seen;
  result.refuted = result.refuted || has_answered(process, suspect);
  if (const auto known = crash.suspects.find(suspect); known != crash.suspects.end()) {
    result = merged(known->second, result);
    if (result == known->second) {
      return false;
    }
    replace(process, crash, suspect, result);
    return true;
  }
  crash.suspects.emplace(suspect, result);
  ++crash_counts_[suspect];
  digest_ ^= hash_of(process, suspect, result);
  return true;
}

void crash_suspects::replace(const endpoint_process& process, crash_entry& crash,
                             const crash_suspect& suspect, const suspicion& by)
{
  auto& seen = crash.suspects.at(suspect);
  digest_ ^= hash_of(process, suspect, seen) ^ hash_of(process, suspect, by);
  seen = by;
  changed_ = true;
}

std::vector<content_id> crash_suspects::on_running(const running_answers& running, wall_time now)
{
  std::vector<content_id> out;
  recompute_holds();
  for (const auto& [suspect, hold] : holds_) {
    const auto* content = std::get_if<content_id>(&suspect);
    if (content == nullptr) {
      continue;
    }
    const auto answers = running.find(*content);
    bool is_news = false;
    for (auto& [process, crash] : crashes_) {
      if (add_running(process, crash, *content, answers)) {
        crash.gossip_until = now + options_.gossip_duration;
        is_news = true;
      }
    }
    if (is_news) {
      out.push_back(*content);
    }
  }
  return out;
}

bool crash_suspects::add_running(const endpoint_process& process, crash_entry& crash,
                                 const content_id& content,
                                 const std::vector<running_answer>& answers)
{
  const auto known = crash.suspects.find(content);
  if (known == crash.suspects.end() || is_innocent(content, crash)) {
    return false;
  }
  answer_progress furthest;
  bool ran_elsewhere = false;
  for (const auto& answer : answers) {
    if (crashes_.contains(answer.by) || !answer.progress.is_known()) {
      continue;
    }
    furthest = furthest_of(furthest, answer.progress);
    ran_elsewhere = ran_elsewhere || answer.sent_at + options_.clock_tolerance <= crash.at;
  }
  auto seen = known->second;
  if (is_further(furthest, seen.progress)) {
    seen.outlived_by = furthest_of(furthest, seen.outlived_by.value_or(answer_progress()));
  } else if (ran_elsewhere && !seen.outlived_by) {
    seen.outlived_by = answer_progress();
  } else {
    return false;
  }
  replace(process, crash, content, seen);
  return true;
}

void crash_suspects::add_answer(const crash_suspect& suspect, wall_time answered_at, wall_time now)
{
  const auto known = answered_.find(suspect);
  if (known != answered_.end()) {
    if (answered_at <= known->second.at) {
      return;
    }
    digest_ ^= hash_of(suspect, known->second.at);
  }
  answered_[suspect] = {.at = answered_at, .gossip_until = now + options_.gossip_duration};
  digest_ ^= hash_of(suspect, answered_at);
  changed_ = true;
}

bool crash_suspects::is_cleared(const crash_suspect& suspect, const crash_entry& crash) const
{
  const auto it = answered_.find(suspect);
  return it != answered_.end() && crash.at <= it->second.at;
}

bool crash_suspects::is_innocent(const crash_suspect& suspect, const crash_entry& crash) const
{
  return crash.suspects.at(suspect).is_refuted() || is_cleared(suspect, crash);
}

bool crash_suspects::was_answered_recently(const crash_suspect& suspect, wall_time now) const
{
  for (const auto* answers : {&latest_answers_, &earlier_answers_}) {
    const auto it = answers->find(suspect);
    if (it != answers->end() && now < it->second + options_.recent_answer_window) {
      return true;
    }
  }
  return false;
}

std::optional<wall_time> crash_suspects::last_crash_of(const crash_suspect& suspect) const
{
  std::optional<wall_time> last;
  for (const auto& [process, crash] : crashes_) {
    if (crash.suspects.contains(suspect)) {
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
                                  const crash_suspect& suspect)
{
  const auto it = crash.suspects.find(suspect);
  digest_ ^= hash_of(process, suspect, it->second);
  crash.suspects.erase(it);
  if (--crash_counts_.at(suspect) == 0) {
    crash_counts_.erase(suspect);
  }
  changed_ = true;
}

// The choice doesn't depend on the order of arrival, so that all daemons drop the same suspects.
void crash_suspects::drop_excess(const endpoint_process& process, crash_entry& crash)
{
  for (const bool parts : {false, true}) {
    const auto limit = parts ? options_.max_parts_per_crash : options_.max_contents_per_crash;
    std::vector<std::tuple<answer_stage, std::int64_t, crash_suspect>> likeliest_first;
    for (const auto& [suspect, seen] : crash.suspects) {
      if (is_prompt_part(suspect) == parts) {
        likeliest_first.emplace_back(seen.stage, -std::int64_t{seen.depth}, suspect);
      }
    }
    std::sort(likeliest_first.begin(), likeliest_first.end());
    for (auto i = limit; i < likeliest_first.size(); ++i) {
      drop_suspect(process, crash, std::get<crash_suspect>(likeliest_first[i]));
    }
  }
}

void crash_suspects::drop_all(const endpoint_process& process, crash_entry& crash)
{
  while (!crash.suspects.empty()) {
    drop_suspect(process, crash, crash_suspect(crash.suspects.begin()->first));
  }
}

bool crash_suspects::is_retained(const crash_suspect& suspect, const endpoint_process& process,
                                 wall_time now) const
{
  const auto it = holds_.find(suspect);
  if (it == holds_.end() || !is_prompt_part(suspect)) {
    return false;
  }
  const auto& crashed = it->second.crashed;
  return now < it->second.probe_at + options_.crash_retention &&
         std::find(crashed.begin(), crashed.end(), process) != crashed.end();
}

void crash_suspects::drop_expired(wall_time now)
{
  recompute_holds();
  for (auto it = crashes_.begin(); it != crashes_.end();) {
    auto& [process, crash] = *it;
    if (crash.at + options_.crash_retention <= now) {
      for (const auto& [suspect, seen] : suspicions(crash.suspects)) {
        if (!is_retained(suspect, process, now)) {
          drop_suspect(process, crash, suspect);
        }
      }
    }
    it = crash.suspects.empty() ? crashes_.erase(it) : std::next(it);
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

std::size_t crash_suspects::times_suspected(const crash_suspect& suspect) const
{
  const auto is_suspect = [&](const auto& it) {
    return it.second.suspects.contains(suspect) && !is_innocent(suspect, it.second);
  };
  return static_cast<std::size_t>(std::count_if(crashes_.begin(), crashes_.end(), is_suspect));
}

bool crash_suspects::is_frequent(const crash_suspect& suspect) const
{
  const auto it = crash_counts_.find(suspect);
  return it != crash_counts_.end() && it->second >= options_.judgement.crashes_before_hold;
}

std::vector<endpoint_crash> crash_suspects::crashes_to_judge() const
{
  std::vector<endpoint_crash> out;
  out.reserve(crashes_.size());
  for (const auto& [process, crash] : crashes_) {
    auto& judged = out.emplace_back(endpoint_crash{.process = process, .at = crash.at});
    for (const auto& [suspect, seen] : crash.suspects) {
      if (is_frequent(suspect) && !is_innocent(suspect, crash)) {
        judged.suspects.emplace(suspect, seen);
      }
    }
  }
  return out;
}

void crash_suspects::recompute_holds()
{
  if (!std::exchange(changed_, false)) {
    return;
  }
  holds_ = judge_crashes(crashes_to_judge(), options_.judgement);
}

std::optional<crash_hold> crash_suspects::hold_of(const crash_suspect& suspect)
{
  if (!is_frequent(suspect)) {
    return std::nullopt;
  }
  recompute_holds();
  const auto it = holds_.find(suspect);
  return it == holds_.end() ? std::nullopt : std::optional(it->second);
}

bool crash_suspects::can_be_held(const crash_suspect& suspect) const
{
  return times_suspected(suspect) >= options_.judgement.crashes_before_hold;
}

crash_holds crash_suspects::holds()
{
  recompute_holds();
  return holds_;
}

crash_report crash_suspects::evidence_of(const crash_suspect& suspect) const
{
  crash_report out;
  for (const auto& [process, crash] : crashes_) {
    const auto it = crash.suspects.find(suspect);
    if (it != crash.suspects.end() && !is_innocent(suspect, crash)) {
      out.crashes.push_back({.process = process, .at = crash.at, .suspects = {*it}});
    }
  }
  return out;
}

void crash_suspects::add_answers(const crash_entry& crash, crash_report& to) const
{
  for (const auto& [suspect, seen] : crash.suspects) {
    if (is_cleared(suspect, crash)) {
      to.answered.emplace(suspect, answered_.at(suspect).at);
    }
  }
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
  for (std::size_t i = 0; i < crashes.size() && gossiped < options_.max_gossiped_suspects; ++i) {
    const auto& [process, crash] = *crashes[next_gossiped_crash_++ % crashes.size()];
    gossiped += crash.suspects.size();
    out.crashes.push_back({.process = process, .at = crash.at, .suspects = crash.suspects});
    add_answers(crash, out);
  }
  for (std::size_t i = 0; i < std::min(answers.size(), options_.max_gossiped_suspects); ++i) {
    const auto& [suspect, answer] = *answers[next_gossiped_answer_++ % answers.size()];
    out.answered.emplace(suspect, answer.at);
  }
  return out;
}

crash_report crash_suspects::all() const
{
  crash_report out;
  for (const auto& [process, crash] : crashes_) {
    out.crashes.push_back({.process = process, .at = crash.at, .suspects = crash.suspects});
  }
  for (const auto& [suspect, answer] : answered_) {
    out.answered.emplace(suspect, answer.at);
  }
  return out;
}

void crash_suspects::tick(wall_time now)
{
  rotate_answers(now);
  drop_expired(now);
  drop_unneeded_answers();
  recompute_holds();
}

} // namespace wisteriaflow::gateway
