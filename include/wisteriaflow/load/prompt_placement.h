// The preference among engines for a prompt by its length: long prompts go to the daemon's own
// engines (see long_prompt_affinity.h), and short ones avoid engines that prefill a long one.
//
// A preference is a penalty in seconds that is added to the predicted delay at the other engines.
// It is thus weighed against their queues, so that long prompts overflow from busy engines, and
// against shared tokens that they have cached, each of which saves its prefill time.
//
//   const double s = penalty_seconds({.own_seconds = 0.3}, {.is_own = false});

#ifndef WISTERIAFLOW_LOAD_PROMPT_PLACEMENT_H_
#define WISTERIAFLOW_LOAD_PROMPT_PLACEMENT_H_

#include <string_view>

namespace wisteriaflow::load {

// A prompt whose own part takes this long to prefill delays other calls noticeably: it is longer
// than a tenth of the usual objective for the first event.
inline constexpr double long_prefill_seconds = 0.1;

// A prompt that is to be placed, with times at the prefill rate of the engine in question.
struct placed_prompt {
  double own_seconds = 0; // to prefill the part that is not shared with other prompts

  [[nodiscard]] constexpr bool is_long() const { return own_seconds >= long_prefill_seconds; }
};

// What a daemon knows about an engine that matters for the placement by length.
struct placement_engine {
  bool is_own = false;     // see long_prompt_affinity
  double long_seconds = 0; // prefill time of this daemon's long prompts that wait there
};

// Expected delay by long prompts of other daemons that this daemon does not know of, to this prompt
// and to the calls that wait behind both, as a multiple of the prompt's own prefill time.
inline constexpr double collision_weight = 8;

// Part of a long prefill that delays a short prompt: the two are prefilled in turns.
inline constexpr double interference_weight = 0.5;

[[nodiscard]] constexpr double penalty_seconds(const placed_prompt& prompt,
                                               const placement_engine& engine)
{
  if (prompt.is_long()) {
    return engine.is_own ? 0 : collision_weight * prompt.own_seconds;
  }
  return interference_weight * engine.long_seconds;
}

// Why an engine was chosen, for operators.
enum class choice_reason {
  own_engine, // a long prompt went to one of the daemon's own engines
  overflow,   // a long prompt went elsewhere, because those were busier
  prefix,     // the engine probably has a part of the prompt in its cache
  load,       // the lowest predicted delay
};

[[nodiscard]] std::string_view to_string(choice_reason reason);

// The reason for which a prompt was sent to `engine`, of which it has `cached_tokens` cached there.
[[nodiscard]] choice_reason reason_of(const placed_prompt& prompt, const placement_engine& engine,
                                      int cached_tokens);

} // namespace wisteriaflow::load

#endif // WISTERIAFLOW_LOAD_PROMPT_PLACEMENT_H_
