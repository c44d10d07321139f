// Property tests of `request_lifecycle` with random events: late, repeated and reordered chunks,
// failures, reclaims, moves, drains, and callers that disconnect and reconnect.

#include <cstdint>
#include <vector>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "requests/lifecycle_simulation.h"

namespace wisteriaflow::requests {
namespace {

constexpr std::size_t script_length = 2000;

// Simulates requests, one after another, until the random script is exhausted.
void run_requests(const request_lifecycle_options& options)
{
  const auto script = *rc::gen::container<std::vector<std::uint32_t>>(
      script_length, rc::gen::inRange<std::uint32_t>(0, 1U << 16U));
  script_reader reader(script);
  while (!reader.empty()) {
    lifecycle_simulation simulation(options, reader);
    while (!simulation.finished() && !reader.empty()) {
      simulation.step();
    }
    if (!simulation.finished()) {
      simulation.end();
    }
  }
}

RC_GTEST_PROP(RequestLifecyclePropertyTest, StreamedGenerationsEndOnceWithACompleteAnswer, ())
{
  run_requests({.keyed = *rc::gen::arbitrary<bool>(), .streamed = true});
}

RC_GTEST_PROP(RequestLifecyclePropertyTest, PlainGenerationsEndOnceWithACompleteAnswer, ())
{
  run_requests({.keyed = *rc::gen::arbitrary<bool>()});
}

RC_GTEST_PROP(RequestLifecyclePropertyTest, NonIdempotentGenerationsRunAtMostOnce, ())
{
  run_requests({.idempotent = false, .streamed = *rc::gen::arbitrary<bool>()});
}

RC_GTEST_PROP(RequestLifecyclePropertyTest, PlainCallsEndOnceWithACompleteAnswer, ())
{
  run_requests({.generation = false, .keyed = *rc::gen::arbitrary<bool>()});
}

RC_GTEST_PROP(RequestLifecyclePropertyTest, NonIdempotentPlainCallsRunAtMostOnce, ())
{
  run_requests({.generation = false, .idempotent = false});
}

} // namespace
} // namespace wisteriaflow::requests
