// Random events against a request's life: late, repeated and reordered chunks, failures, reclaims,
// moves, drains, and callers that come and go.

#include <cstdint>
#include <vector>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "requests/life_world.h"

namespace wisteriaflow::requests {
namespace {

constexpr std::size_t script_length = 2000;

// Lives as many requests as the script lasts for.
void live_through(const request_life_options& options)
{
  const auto script = *rc::gen::container<std::vector<std::uint32_t>>(
      script_length, rc::gen::inRange<std::uint32_t>(0, 1U << 16U));
  script_reader reader(script);
  while (!reader.empty()) {
    world it(options, reader);
    while (!it.finished() && !reader.empty()) {
      it.step();
    }
    if (!it.finished()) {
      it.end();
    }
  }
}

RC_GTEST_PROP(RequestLifePropertyTest, StreamedGenerationsEndOnceAndWhole, ())
{
  live_through({.keyed = *rc::gen::arbitrary<bool>(), .streamed = true});
}

RC_GTEST_PROP(RequestLifePropertyTest, PlainGenerationsEndOnceAndWhole, ())
{
  live_through({.keyed = *rc::gen::arbitrary<bool>()});
}

RC_GTEST_PROP(RequestLifePropertyTest, NonIdempotentGenerationsRunAtMostOnce, ())
{
  live_through({.idempotent = false, .streamed = *rc::gen::arbitrary<bool>()});
}

RC_GTEST_PROP(RequestLifePropertyTest, PlainCallsEndOnceAndWhole, ())
{
  live_through({.generation = false, .keyed = *rc::gen::arbitrary<bool>()});
}

RC_GTEST_PROP(RequestLifePropertyTest, NonIdempotentPlainCallsRunAtMostOnce, ())
{
  live_through({.generation = false, .idempotent = false});
}

} // namespace
} // namespace wisteriaflow::requests
