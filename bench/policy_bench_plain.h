// The plain policies that the project's own is compared with.

#ifndef WISTERIAFLOW_BENCH_POLICY_BENCH_PLAIN_H_
#define WISTERIAFLOW_BENCH_POLICY_BENCH_PLAIN_H_

#include <cstddef>
#include <cstdint>
#include <random>
#include <span>

#include "policy_bench_fleet.h"
#include "wisteriaflow/routing/endpoint_table.h"

namespace wisteriaflow::bench {

// Picks one of `live`, which is not empty. `turn` counts the picks of round robin. Prefix affinity
// alone is rendezvous hashing of the prompt's leading blocks; a call without a prompt is random.
[[nodiscard]] routing::endpoint_slot choose_plainly(policy kind,
                                                    const routing::endpoint_table& table,
                                                    std::span<const routing::endpoint_slot> live,
                                                    std::span<const std::uint64_t> blocks,
                                                    std::size_t& turn, std::mt19937_64& rng);

} // namespace wisteriaflow::bench

#endif // WISTERIAFLOW_BENCH_POLICY_BENCH_PLAIN_H_
