#include "policy_bench_scale.h"

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <random>
#include <string>
#include <vector>

#include "policy_bench_engine.h"
#include "wisteriaflow/admission/admission_control.h"
#include "wisteriaflow/routing/choose_endpoint.h"
#include "wisteriaflow/routing/prefix_blocks.h"

namespace wisteriaflow::bench {
namespace {

constexpr int zones = 11;
constexpr int daemons = 390;
constexpr int workspaces = 200;
constexpr int decisions = 20'000;
constexpr int prompts = 4'000;
constexpr std::size_t prompt_blocks = 64;
constexpr std::size_t shared_blocks = 24;
constexpr std::uint64_t seed = 7;

// The routing state of a daemon that reaches `candidates` endpoints and has sent `prompts`
// requests.
struct loaded_daemon {
  explicit loaded_daemon(int candidates)
  {
    for (int i = 0; i < candidates; ++i) {
      const auto slot =
          table.upsert({.id = endpoint_id("runner-" + std::to_string(i)),
                        .address = "10.0.0.1:8000",
                        .availability_zone = availability_zone("zone-" + std::to_string(i % zones)),
                        .price_per_hour = 1 + i % 5 * 0.1,
                        .reclaimable = i % 2 == 0});
      table.on_report(slot,
                      {.running = i % 9, .waiting = i % 3, .max_running = 16, .measured_at = now});
    }
    for (int i = 0; i < prompts; ++i) {
      std::mt19937_64 shared(static_cast<std::uint64_t>(i) % 15);
      std::vector<std::uint64_t> blocks(shared_blocks);
      std::generate(blocks.begin(), blocks.end(), shared);
      while (blocks.size() < prompt_blocks) {
        blocks.push_back(rng());
      }
      const auto slot =
          static_cast<routing::endpoint_slot>(rng() % static_cast<unsigned>(candidates));
      prefixes.on_sent(slot, blocks, now);
      all_blocks.push_back(std::move(blocks));
    }
  }

  mono_time now{std::chrono::seconds(1000)};
  std::mt19937_64 rng{seed};
  routing::endpoint_table table{{}};
  routing::prefix_cache_index prefixes{{}};
  routing::routing_options options{.availability_zone = availability_zone("zone-3")};
  std::vector<std::vector<std::uint64_t>> all_blocks;
};

double percentile(std::vector<double>& values, double part)
{
  const auto nth =
      values.begin() + static_cast<std::ptrdiff_t>(part * static_cast<double>(values.size() - 1));
  std::nth_element(values.begin(), nth, values.end());
  return *nth;
}

boost::json::object measure_decisions(int candidates)
{
  loaded_daemon d(candidates);
  const routing::routing_view view{d.table, d.prefixes, d.options};
  std::vector<double> micros;
  for (int i = 0; i < decisions; ++i) {
    const auto& blocks = d.all_blocks[d.rng() % d.all_blocks.size()];
    const routing::request_view request{.blocks = blocks,
                                        .prompt_tokens =
                                            static_cast<int>(blocks.size()) * block_tokens,
                                        .expected_output_tokens = 100,
                                        .target = d.now + std::chrono::seconds(2),
                                        .deadline = d.now + std::chrono::seconds(10)};
    const auto from = std::chrono::steady_clock::now();
    const auto result = routing::choose_endpoint(view, request, d.table.slots(), d.now, d.rng);
    const auto to = std::chrono::steady_clock::now();
    micros.push_back(to_seconds(to - from) * 1e6);
    if (const auto* chosen = std::get_if<routing::chosen_endpoint>(&result)) {
      d.prefixes.on_sent(chosen->slot, blocks, d.now);
    }
  }
  const double median = percentile(micros, 0.5);
  const double p99 = percentile(micros, 0.99);
  const auto kilobytes = (d.table.memory_bytes() + d.prefixes.memory_bytes()) / 1024;
  std::printf("decision, %4d candidates, %zu blocks: median %.2f us, p99 %.2f us; state %zu KiB, "
              "%zu blocks known\n",
              candidates, prompt_blocks, median, p99, kilobytes, d.prefixes.size());
  return {
      {"candidates", candidates}, {"median_us", median}, {"p99_us", p99}, {"state_kib", kilobytes}};
}

boost::json::object measure_hashing()
{
  std::string prompt;
  for (std::size_t i = 0; i < prompt_blocks * routing::prefix_block_words; ++i) {
    prompt += "prompt ";
  }
  const model_id model("m");
  std::uint64_t sum = 0;
  const auto from = std::chrono::steady_clock::now();
  for (int i = 0; i < decisions; ++i) {
    sum += routing::prefix_block_hashes(model, prompt).back();
  }
  const double micros = to_seconds(std::chrono::steady_clock::now() - from) * 1e6 / decisions;
  std::printf("hashing %zu KiB of prompt: %.2f us (check %llx)\n", prompt.size() / 1024, micros,
              static_cast<unsigned long long>(sum));
  return {{"hash_kib", prompt.size() / 1024}, {"mean_us", micros}};
}

// Times one computation of the shares from the reports of all daemons, each serving ten workspaces.
boost::json::object measure_refresh()
{
  admission::workspace_limiter limiter({.self = daemon_id("d-0")});
  const mono_time now{std::chrono::seconds(1000)};
  admission::workspace_amounts shares;
  for (int i = 0; i < workspaces; ++i) {
    shares[workspace_id("workspace-" + std::to_string(i))] = {{100, 1e5, 1e6}};
  }
  limiter.set_daemon_count(daemons);
  for (int i = 1; i < daemons; ++i) {
    admission::demand_report report{.daemon = daemon_id("d-" + std::to_string(i)),
                                    .valid_until = now + std::chrono::hours(1)};
    for (int j = 0; j < 10; ++j) {
      report.demand[workspace_id("workspace-" + std::to_string((i * 7 + j) % workspaces))] = {
          {1, 1e3, 1e4}};
    }
    limiter.on_demand_report(report);
  }
  const auto from = std::chrono::steady_clock::now();
  limiter.set_shares(shares, now);
  const double millis = to_seconds(std::chrono::steady_clock::now() - from) * 1e3;
  std::printf("one refresh of %d workspaces by %d daemons' reports: %.2f ms\n", workspaces, daemons,
              millis);
  return {{"workspaces", workspaces}, {"daemons", daemons}, {"refresh_ms", millis}};
}

} // namespace

boost::json::array measure_scale()
{
  boost::json::array rows;
  for (const int candidates : {9, 18, 64, 256, 2'500}) {
    rows.push_back(measure_decisions(candidates));
  }
  rows.push_back(measure_hashing());
  rows.push_back(measure_refresh());
  return rows;
}

} // namespace wisteriaflow::bench
