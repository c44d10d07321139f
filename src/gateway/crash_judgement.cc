#include "wisteriaflow/gateway/crash_judgement.h"

#include <algorithm>
#include <cstdint>
#include <optional>
#include <unordered_map>
#include <utility>

namespace wisteriaflow::gateway {
namespace {

// Crashes attributed to one suspect.
struct attribution {
  std::vector<endpoint_process> crashed;
  std::size_t untied = 0; // those that no other part explains as well
  wall_time first;
  wall_time last;
  bool is_contested = false;
};

using attributions = std::map<crash_suspect, attribution>;

void attribute(attribution& to, const endpoint_crash& crash, const suspicion& seen)
{
  to.first = to.crashed.empty() ? crash.at : std::min(to.first, crash.at);
  to.last = to.crashed.empty() ? crash.at : std::max(to.last, crash.at);
  to.crashed.push_back(crash.process);
  to.is_contested = to.is_contested || seen.outlived_by.has_value();
}

class judgement {
 public:
  judgement(std::vector<endpoint_crash> crashes, const crash_judgement_options& options)
      : crashes_(std::move(crashes)), options_(options)
  {
    drop_outrun();
    for (const auto& crash : crashes_) {
      for (const auto& [suspect, seen] : crash.suspects) {
        ++counts_[suspect];
      }
    }
    std::erase_if(counts_,
                  [this](const auto& it) { return it.second < options_.crashes_before_hold; });
  }

  crash_holds holds()
  {
    hold_parts();
    hold_contents(); // crashes that a held part explains don't count
    return std::move(holds_);
  }

 private:
  // Drops contents from crashes at which they had not come as far as at others.
  void drop_outrun();
  // The number of crashes with this suspect; nothing if they are too few for a hold.
  [[nodiscard]] std::optional<std::size_t> count_of(const crash_suspect& suspect) const
  {
    const auto it = counts_.find(suspect);
    return it == counts_.end() ? std::nullopt : std::optional(it->second);
  }

  // The parts that explain the crash better than its other parts, and than all its contents.
  [[nodiscard]] std::vector<crash_suspect> likeliest_parts(const endpoint_crash& crash) const;
  // Whether another content of the crash is likelier to have caused it.
  [[nodiscard]] bool has_likelier_content(const endpoint_crash& crash,
                                          const crash_suspect& content) const;
  // Whether no suspect of the crash was present in enough crashes to be held.
  [[nodiscard]] bool is_unexplained(const endpoint_crash& crash) const;
  // Whether the part caused the crashes attributed to it, given the times of unexplained crashes.
  [[nodiscard]] bool is_likely_cause(const attribution& part,
                                     const std::vector<wall_time>& unexplained) const;
  [[nodiscard]] bool is_explained_by_held_part(const endpoint_process& process) const;
  void hold_parts();
  void hold_contents();
  void hold(const crash_suspect& suspect, attribution because, std::chrono::seconds probe_delay);
  [[nodiscard]] std::chrono::seconds content_probe_delay(std::size_t crashes) const;
  [[nodiscard]] std::chrono::seconds part_probe_delay(wall_time first, wall_time last) const;

  std::vector<endpoint_crash> crashes_;
  const crash_judgement_options& options_;
  // Number of crashes with each suspect; only those that were present in enough of them to be held.
  std::unordered_map<crash_suspect, std::size_t> counts_;
  crash_holds holds_;
};

void judgement::drop_outrun()
{
  struct observed_run {
    wall_time at;
    answer_progress progress;
  };
  std::unordered_map<crash_suspect, std::vector<observed_run>> runs;
  for (const auto& crash : crashes_) {
    for (const auto& [suspect, seen] : crash.suspects) {
      if (!is_prompt_part(suspect) && seen.progress.is_known()) {
        runs[suspect].push_back({.at = crash.at, .progress = seen.progress});
      }
    }
  }
  for (auto& crash : crashes_) {
    std::erase_if(crash.suspects, [&](const auto& it) {
      const auto& others = runs[it.first];
      return std::any_of(others.begin(), others.end(), [&](const observed_run& other) {
        return crash.at <= other.at + options_.progress_window &&
               is_further(other.progress, it.second.progress);
      });
    });
  }
}

std::vector<crash_suspect> judgement::likeliest_parts(const endpoint_crash& crash) const
{
  std::vector<crash_suspect> out;
  std::pair<std::size_t, std::uint32_t> best; // number of crashes, depth in the prompt
  std::size_t best_content = 0;
  for (const auto& [suspect, seen] : crash.suspects) {
    const auto count = count_of(suspect);
    if (!count) {
      continue;
    }
    if (!is_prompt_part(suspect)) {
      best_content = std::max(best_content, *count);
      continue;
    }
    const std::pair rank(*count, seen.depth);
    if (rank > best) {
      out.clear();
      best = rank;
    }
    if (rank == best) {
      out.push_back(suspect);
    }
  }
  if (best_content >= best.first) {
    out.clear();
  }
  return out;
}

bool judgement::has_likelier_content(const endpoint_crash& crash,
                                     const crash_suspect& content) const
{
  const auto own = count_of(content).value_or(0);
  const auto stage = crash.suspects.at(content).stage;
  return std::any_of(crash.suspects.begin(), crash.suspects.end(), [&](const auto& other) {
    const auto count = count_of(other.first);
    if (!count || is_prompt_part(other.first) || other.first == content) {
      return false;
    }
    return *count > own || (*count == own && other.second.stage < stage);
  });
}

void judgement::hold_parts()
{
  attributions found;
  std::vector<wall_time> unexplained;
  for (const auto& crash : crashes_) {
    const auto parts = likeliest_parts(crash);
    for (const auto& part : parts) {
      auto& it = found[part];
      attribute(it, crash, crash.suspects.at(part));
      it.untied += parts.size() == 1 ? 1 : 0;
    }
    if (is_unexplained(crash)) {
      unexplained.push_back(crash.at);
    }
  }
  for (auto& [part, it] : found) {
    if (is_likely_cause(it, unexplained)) {
      const auto delay = part_probe_delay(it.first, it.last);
      hold(part, std::move(it), delay);
    }
  }
}

// Where many endpoints end for other reasons, a rare part is present in some of these crashes.
bool judgement::is_likely_cause(const attribution& part,
                                const std::vector<wall_time>& unexplained) const
{
  const auto coincident = std::count_if(unexplained.begin(), unexplained.end(), [&](wall_time at) {
    return part.first <= at && at <= part.last;
  });
  const auto crashes = part.crashed.size();
  return crashes >= options_.max_crashes_before_hold ||
         (part.untied >= options_.crashes_before_hold &&
          crashes >= static_cast<std::size_t>(coincident));
}

bool judgement::is_unexplained(const endpoint_crash& crash) const
{
  return std::none_of(crash.suspects.begin(), crash.suspects.end(),
                      [&](const auto& it) { return counts_.contains(it.first); });
}

bool judgement::is_explained_by_held_part(const endpoint_process& process) const
{
  return std::any_of(holds_.begin(), holds_.end(), [&](const auto& it) {
    const auto& crashed = it.second.crashed;
    return is_prompt_part(it.first) &&
           std::find(crashed.begin(), crashed.end(), process) != crashed.end();
  });
}

void judgement::hold_contents()
{
  attributions found;
  for (const auto& crash : crashes_) {
    if (is_explained_by_held_part(crash.process)) {
      continue;
    }
    for (const auto& [suspect, seen] : crash.suspects) {
      const bool is_counted = !is_prompt_part(suspect) && counts_.contains(suspect) &&
                              !has_likelier_content(crash, suspect);
      if (is_counted) {
        attribute(found[suspect], crash, seen);
      }
    }
  }
  for (auto& [content, it] : found) {
    if (it.crashed.size() >= options_.crashes_before_hold) {
      const auto delay = content_probe_delay(it.crashed.size());
      hold(content, std::move(it), delay);
    }
  }
}

void judgement::hold(const crash_suspect& suspect, attribution because,
                     std::chrono::seconds probe_delay)
{
  holds_[suspect] = {.probe_at = because.last + probe_delay,
                     .crashed = std::move(because.crashed),
                     .first_crash_at = because.first,
                     .last_crash_at = because.last,
                     .is_contested = because.is_contested};
}

std::chrono::seconds judgement::content_probe_delay(std::size_t crashes) const
{
  auto delay = options_.initial_probe_delay;
  for (auto n = options_.crashes_before_hold; n < crashes && delay < options_.max_probe_delay;
       ++n) {
    delay *= 2;
  }
  return std::min(delay, options_.max_probe_delay);
}

std::chrono::seconds judgement::part_probe_delay(wall_time first, wall_time last) const
{
  const auto age = std::chrono::duration_cast<std::chrono::seconds>(last - first);
  return std::clamp(age * options_.part_probe_delay_per_age, options_.initial_part_probe_delay,
                    options_.max_part_probe_delay);
}

} // namespace

crash_holds judge_crashes(std::vector<endpoint_crash> crashes,
                          const crash_judgement_options& options)
{
  return judgement(std::move(crashes), options).holds();
}

} // namespace wisteriaflow::gateway
