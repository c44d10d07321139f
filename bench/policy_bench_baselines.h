// Simple endpoint choice policies that the project's own policy is compared with.

#ifndef WISTERIAFLOW_BENCH_POLICY_BENCH_BASELINES_H_
#define WISTERIAFLOW_BENCH_POLICY_BENCH_BASELINES_H_

#include <cstddef>
#include <cstdint>
#include <random>
#include <span>

#include "policy_bench_fleet.h"
#include "wisteriaflow/routing/endpoint_table.h"

namespace wisteriaflow::bench {

// Chooses one of `live`, which must not be empty. `round_robin_index` counts the choices of round
// robin and is increased by it. Prefix affinity is rendezvous hashing of the prompt's leading
// blocks; for a call without a prompt it chooses at random.
[[nodiscard]] routing::endpoint_slot choose_by_baseline(
    policy kind, const routing::endpoint_table& table, std::span<const routing::endpoint_slot> live,
    std::span<const std::uint64_t> blocks, std::size_t& round_robin_index, std::mt19937_64& rng);

} // namespace wisteriaflow::bench

#endif // WISTERIAFLOW_BENCH_POLICY_BENCH_BASELINES_H_
