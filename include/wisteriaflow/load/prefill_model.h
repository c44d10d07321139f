// Estimates how long the engines of a service take for a prompt, from measured times to the first
// event.
//
// The time has a part that each prompt takes, whatever its length, and a part for each token. If
// the first part were counted as time for tokens, short prompts would make engines seem several
// times slower than they are: the wait behind others and the gain of a cached prefix would be
// overestimated, and calls would queue at engines that hold their prefix while others are idle.
//
//   prefill_model model({});
//   model.add({.tokens = 1'800, .seconds = 0.08});
//   const double s = model.seconds_for(12'000);

#ifndef WISTERIAFLOW_LOAD_PREFILL_MODEL_H_
#define WISTERIAFLOW_LOAD_PREFILL_MODEL_H_

namespace wisteriaflow::load {

// A prompt that met no known queue, with the time from sending it to the first event.
struct prefill_sample {
  double tokens = 0; // prompt tokens that were expected to be computed
  double seconds = 0;
};

struct prefill_model_options {
  double initial_rate = 30'000;     // tokens/s
  double initial_fixed_seconds = 0; // per prompt
  // Number of samples after which a sample weighs a third of a new one.
  double memory_samples = 400;
  // The initial values weigh as much as this many samples.
  double initial_weight = 20;
  // Bounds of the fitted rate, as multiples of the initial one: beyond them the samples are not
  // those of prompts.
  double min_rate_ratio = 0.1;
  double max_rate_ratio = 10;
};

// A weighted least-squares line through the samples. Not thread-safe.
class prefill_model {
 public:
  explicit prefill_model(const prefill_model_options& options);

  // Whether the sample can be that of a prompt.
  [[nodiscard]] bool is_valid(const prefill_sample& sample) const;

  // Ignores invalid samples.
  void add(const prefill_sample& sample);

  [[nodiscard]] double rate() const { return rate_; }                   // tokens/s
  [[nodiscard]] double fixed_seconds() const { return fixed_seconds_; } // per prompt
  [[nodiscard]] double seconds_for(double tokens) const { return fixed_seconds_ + tokens / rate_; }

 private:
  void accumulate(const prefill_sample& sample, double weight);
  void fit();

  prefill_model_options options_;
  // Weighted sums over the samples.
  double weight_ = 0;
  double tokens_ = 0;
  double seconds_ = 0;
  double token_squares_ = 0;
  double token_seconds_ = 0;

  double rate_;
  double fixed_seconds_;
};

} // namespace wisteriaflow::load

#endif // WISTERIAFLOW_LOAD_PREFILL_MODEL_H_
