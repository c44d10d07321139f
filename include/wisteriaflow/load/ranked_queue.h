// The queue of an engine that admits waiting calls by rank, as seen by a call of a given rank.
//
// The functions are inline: a decision calls them for each of a hundred engines.
//
//   ranked_waiting waiting{};
//   waiting[index_of(rank)] += {.calls = 1, .tokens = 900};
//   const auto ahead = ahead_of(rank, waiting); // of the same rank or a more urgent one
//   const auto over = calls_over_slots({.slots = 12, .running = 11, .waiting = waiting}, rank);

#ifndef WISTERIAFLOW_LOAD_RANKED_QUEUE_H_
#define WISTERIAFLOW_LOAD_RANKED_QUEUE_H_

#include <algorithm>
#include <cstddef>
#include <cstdint>

#include "wisteriaflow/load/rank.h"

namespace wisteriaflow::load {

// Calls that wait for the first byte of their answer, and the prompt tokens that are still to be
// computed for them.
struct waiting_calls {
  std::uint32_t calls = 0;
  std::uint64_t tokens = 0;

  constexpr waiting_calls& operator+=(const waiting_calls& other)
  {
    calls += other.calls;
    tokens += other.tokens;
    return *this;
  }

  // Subtracts at most what is there.
  constexpr waiting_calls& operator-=(const waiting_calls& other)
  {
    calls -= std::min(calls, other.calls);
    tokens -= std::min(tokens, other.tokens);
    return *this;
  }

  friend bool operator==(const waiting_calls&, const waiting_calls&) = default;
};

using ranked_waiting = by_rank<waiting_calls>;

[[nodiscard]] constexpr ranked_waiting sum_of(ranked_waiting a, const ranked_waiting& b)
{
  for (std::size_t i = 0; i < a.size(); ++i) {
    a[i] += b[i];
  }
  return a;
}

// Waiting calls that an engine admits before a new call of class `rank`: those of the same class
// and of more urgent ones.
[[nodiscard]] constexpr waiting_calls ahead_of(rank_class rank, const ranked_waiting& waiting)
{
  waiting_calls out;
  for (std::size_t i = 0; i <= index_of(rank); ++i) {
    out += waiting[i];
  }
  return out;
}

// Waiting calls that an engine admits after a new call of class `rank`.
[[nodiscard]] constexpr waiting_calls behind(rank_class rank, const ranked_waiting& waiting)
{
  waiting_calls out;
  for (std::size_t i = index_of(rank) + 1; i < waiting.size(); ++i) {
    out += waiting[i];
  }
  return out;
}

// The calls at one engine.
struct engine_occupancy {
  int slots = 1; // calls that it runs concurrently
  int running = 0;
  ranked_waiting waiting{}; // includes calls that hold a slot and whose prompt is being prefilled

  // Calls divided by slots: 1 when full, more with a queue.
  [[nodiscard]] constexpr double load() const
  {
    const auto all = ahead_of(rank_class::deferrable, waiting).calls;
    return (running + static_cast<double>(all)) / std::max(1, slots);
  }
};

// The number of calls that must end before a new call of class `rank` gets a slot; 0 or negative if
// that many slots and one more are free. A call without a free slot waits for at least one end,
// because running calls keep their slots whatever their rank.
[[nodiscard]] constexpr int calls_over_slots(const engine_occupancy& engine, rank_class rank)
{
  const auto calls_behind = static_cast<int>(behind(rank, engine.waiting).calls);
  const auto all = static_cast<int>(ahead_of(rank, engine.waiting).calls) + calls_behind;
  const int without_slot = engine.running + all - engine.slots;
  if (without_slot < 0) {
    return without_slot + 1;
  }
  // The calls without a slot are the least urgent ones.
  return std::max(0, without_slot - calls_behind) + 1;
}

// Calls that are expected to arrive during a prefill, and are delayed by it.
inline constexpr double later_calls = 2;
// Weights of the calls that wait behind a prefill, and of the running streams. They are known from
// reports that are older than many of these calls: with full weights, all daemons would choose the
// same few engines.
inline constexpr double behind_weight = 0.5;
inline constexpr double running_weight = 0.1;

// The number of calls of others that the prefill of a new call of class `rank` delays: those that
// wait behind it, and the running streams, between whose tokens its prompt is prefilled.
[[nodiscard]] constexpr double delayed_calls(const engine_occupancy& engine, rank_class rank)
{
  return later_calls + behind_weight * behind(rank, engine.waiting).calls +
         running_weight * engine.running;
}

} // namespace wisteriaflow::load

#endif // WISTERIAFLOW_LOAD_RANKED_QUEUE_H_
