// Sample 3: the choice of an endpoint, and its explanation.
//
// Chooses among three endpoints: a cheap reclaimable one with queued requests, an expensive idle
// one in the same availability zone, and an idle one in another zone. Prints the chosen endpoint,
// and the explanation with one line for each candidate.

#include <chrono>
#include <cstdint>
#include <cstdlib>
#include <iostream>
#include <random>
#include <string>
#include <variant>

#include "wisteriaflow/wisteriaflow.h"

namespace {

namespace routing = wisteriaflow::routing;
using namespace std::chrono_literals;
using wisteriaflow::availability_zone;
using wisteriaflow::endpoint_id;
using wisteriaflow::mono_time;

constexpr std::uint64_t seed = 1;

routing::endpoint_description describe(const std::string& id, const std::string& zone, double price,
                                       bool reclaimable)
{
  return {.id = endpoint_id(id),
          .address = "127.0.0.1:8000",
          .availability_zone = availability_zone(zone),
          .price_per_hour = price,
          .reclaimable = reclaimable};
}

routing::endpoint_table make_table(mono_time now)
{
  routing::endpoint_table table({});
  const auto busy = table.upsert(describe("busy", "zone-a", 0.4, true));
  table.upsert(describe("dear", "zone-a", 1.2, false));
  table.upsert(describe("far", "zone-b", 0.4, true));
  table.on_report(busy, {.running = 16, .waiting = 9, .max_running = 16, .measured_at = now - 1s});
  return table;
}

void show_choice()
{
  const mono_time now{1h}; // any time will do, since the library reads no clock
  const auto table = make_table(now);
  const routing::prefix_cache_index prefixes({});
  const routing::routing_options options{.availability_zone = availability_zone("zone-a")};
  const routing::routing_view view{.endpoints = table, .prefixes = prefixes, .options = options};
  const routing::request_view request{.prompt_tokens = 800,
                                      .expected_output_tokens = 120,
                                      .target = now + 540ms,
                                      .deadline = now + 10s};
  std::mt19937_64 random(seed);
  auto same_random = random; // so that the explanation repeats the same random draws
  const auto result = routing::choose_endpoint(view, request, table.slots(), now, random);
  if (const auto* chosen = std::get_if<routing::chosen_endpoint>(&result)) {
    std::cout << "chosen: " << table.at(chosen->slot).description.id.value() << '\n';
  }
  for (const auto& line : routing::explain_choice(view, request, table.slots(), now, same_random)) {
    std::cout << "  " << table.at(line.slot).description.id.value() << ": "
              << routing::to_string(line.result) << ", first token after "
              << line.parts.first_token() << " s, cost " << line.cost << '\n';
  }
}

} // namespace

int main()
{
  show_choice();
  return EXIT_SUCCESS;
}
