#include "wisteriaflow/requests/move_choice.h"

#include <limits>

namespace wisteriaflow::requests {
namespace {

// Estimates are off by load and network; a step is planned only if it fits this many times.
constexpr double safety_factor = 1.25;

// Fixed cost of an export, a confirmed cancel and an import, in seconds: three round trips and the
// engine's scheduling step. Below it a short prefix is cheaper to replay.
constexpr double kv_move_overhead = 0.02;

double seconds_for(std::uint64_t tokens, double rate)
{
  if (rate <= 0) {
    return std::numeric_limits<double>::infinity();
  }
  return static_cast<double>(tokens) / rate;
}

} // namespace

move_choice choose_move(const move_estimate& estimate, bool may_replay, mono_time now)
{
  const double notice = std::chrono::duration<double>(estimate.reclaim_at - now).count();
  const double finish = seconds_for(estimate.remaining_tokens, estimate.decode_rate);
  if (finish * safety_factor <= notice) {
    return move_choice::stay;
  }
  const double move = kv_move_overhead + seconds_for(estimate.kv_tokens, estimate.transfer_rate);
  const bool move_fits = move * safety_factor <= notice;
  if (!may_replay) {
    return move_fits ? move_choice::move_kv : move_choice::stay;
  }
  const double replay = seconds_for(estimate.kv_tokens, estimate.prefill_rate);
  return move_fits && move < replay ? move_choice::move_kv : move_choice::replay;
}

} // namespace wisteriaflow::requests
