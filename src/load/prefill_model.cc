#include "wisteriaflow/load/prefill_model.h"

#include <algorithm>
#include <cmath>

namespace wisteriaflow::load {
namespace {

// The initial values count as samples of a short and of a long prompt, so that they define a line.
constexpr double short_prompt_tokens = 500;
constexpr double long_prompt_tokens = 10'000;

// An answer that takes longer than this waited for something else than its prompt.
constexpr double max_seconds = 10;

} // namespace

prefill_model::prefill_model(const prefill_model_options& options)
    : options_(options), rate_(options.initial_rate), fixed_seconds_(options.initial_fixed_seconds)
{
  for (const double tokens : {short_prompt_tokens, long_prompt_tokens}) {
    accumulate({.tokens = tokens, .seconds = seconds_for(tokens)}, options_.initial_weight / 2);
  }
}

void prefill_model::accumulate(const prefill_sample& sample, double weight)
{
  weight_ += weight;
  tokens_ += weight * sample.tokens;
  seconds_ += weight * sample.seconds;
  token_squares_ += weight * sample.tokens * sample.tokens;
  token_seconds_ += weight * sample.tokens * sample.seconds;
}

// A caller may state any number of tokens. A sample weighs by the square of them, so that a single
// false one would bend the line for minutes.
bool prefill_model::is_valid(const prefill_sample& sample) const
{
  return std::isfinite(sample.tokens) && std::isfinite(sample.seconds) && sample.tokens >= 0 &&
         sample.seconds > 0 && sample.seconds <= max_seconds &&
         sample.tokens / sample.seconds <= options_.initial_rate * options_.max_rate_ratio;
}

void prefill_model::add(const prefill_sample& sample)
{
  if (!is_valid(sample)) {
    return;
  }
  const double kept = 1 - 1 / options_.memory_samples;
  for (auto* sum : {&weight_, &tokens_, &seconds_, &token_squares_, &token_seconds_}) {
    *sum *= kept;
  }
  accumulate(sample, 1);
  fit();
}

void prefill_model::fit()
{
  const double mean_tokens = tokens_ / weight_;
  const double mean_seconds = seconds_ / weight_;
  const double variance = token_squares_ / weight_ - mean_tokens * mean_tokens;
  if (variance <= 0) {
    return; // all prompts have the same length: the line is not defined
  }
  double slope = (token_seconds_ / weight_ - mean_tokens * mean_seconds) / variance;
  if (slope * mean_tokens > mean_seconds) {
    slope = token_seconds_ / token_squares_; // no fixed time: the line through the origin
  }
  const double lowest = 1 / (options_.initial_rate * options_.max_rate_ratio);
  const double highest = 1 / (options_.initial_rate * options_.min_rate_ratio);
  const double bounded = std::clamp(slope, lowest, highest);
  rate_ = 1 / bounded;
  fixed_seconds_ = std::max(0.0, mean_seconds - bounded * mean_tokens);
}

} // namespace wisteriaflow::load
