#include "wisteriaflow/requests/move_choice.h"

#include <limits>

namespace wisteriaflow::requests {
namespace {

// Load and network make estimates inexact: a step is chosen only if the notice is at least this
// many times its estimated duration.
constexpr double safety_factor = 1.25;

// Fixed cost of an export, a confirmed cancel and an import: three round trips and the engine's
// scheduling step. It makes replay the cheaper choice for short prefixes.
constexpr double kv_move_overhead_seconds = 0.02;

double seconds_to_process(std::uint64_t tokens, double rate)
{
  if (rate <= 0) {
    return std::numeric_limits<double>::infinity();
  }
  return static_cast<double>(tokens) / rate;
}

} // namespace

move_choice choose_move(const move_estimate& estimate, bool may_replay, mono_time now)
{
  const double notice_seconds = std::chrono::duration<double>(estimate.reclaim_at - now).count();
  const double finish_seconds = seconds_to_process(estimate.remaining_tokens, estimate.decode_rate);
  if (finish_seconds * safety_factor <= notice_seconds) {
    return move_choice::stay;
  }
  const double move_seconds =
      kv_move_overhead_seconds + seconds_to_process(estimate.kv_tokens, estimate.transfer_rate);
  const bool move_fits = move_seconds * safety_factor <= notice_seconds;
  if (!may_replay) {
    return move_fits ? move_choice::move_kv : move_choice::stay;
  }
  const double replay_seconds = seconds_to_process(estimate.kv_tokens, estimate.prefill_rate);
  return move_fits && move_seconds < replay_seconds ? move_choice::move_kv : move_choice::replay;
}

} // namespace wisteriaflow::requests
