// Sample 2: declared objects, checked as one configuration.
//
// Builds a fleet_configuration from JSON documents as an operator writes them, prints the routing
// intents that match a request, and prints the faults of an invalid configuration.

#include <cstdint>
#include <cstdlib>
#include <iostream>
#include <string_view>
#include <vector>

#include <boost/json/array.hpp>
#include <boost/json/parse.hpp>

#include "wisteriaflow/wisteriaflow.h"

namespace {

namespace objects = wisteriaflow::objects;

constexpr std::string_view declarations = R"([
  {"kind": "Workspace", "metadata": {"name": "hotel", "labels": {"tier": "guest"}},
   "spec": {"requests_per_second": 50}},
  {"kind": "ModelVersion", "metadata": {"name": "phrasebook-1"},
   "spec": {"model": "phrasebook", "version": "1"}},
  {"kind": "Pool", "metadata": {"name": "language"},
   "spec": {"instance_selector": "role=engine", "model": "phrasebook"}},
  {"kind": "RoutingIntent", "metadata": {"name": "guests"},
   "spec": {"workspace_selector": "tier=guest", "pool": "language", "priority": 80}},
  {"kind": "RoutingIntent", "metadata": {"name": "night-reports"},
   "spec": {"request_selector": "job=report", "pool": "language", "priority": 10,
            "batch": true, "price_preference": "cost"}}
])";

constexpr std::string_view invalid_declarations = R"([
  {"kind": "Pool", "metadata": {"name": "language"}, "spec": {"model": "unheard-of"}},
  {"kind": "RoutingIntent", "metadata": {"name": "guests"},
   "spec": {"pool": "language", "priority": 101}}
])";

std::vector<boost::json::value> documents_in(std::string_view text)
{
  const auto parsed = boost::json::parse({text.data(), text.size()});
  const auto& all = parsed.as_array();
  return {all.begin(), all.end()};
}

void show_matching_intents()
{
  constexpr std::uint64_t revision = 41;
  const auto configuration =
      objects::make_fleet_configuration(revision, documents_in(declarations));
  const objects::request_description request{.workspace = wisteriaflow::workspace_id("hotel"),
                                             .labels = {{"job", "report"}},
                                             .model = wisteriaflow::model_id("phrasebook")};
  std::cout << "revision " << configuration.revision() << ", intents of the request:\n";
  for (const auto* intent : configuration.matching_intents(request)) {
    std::cout << "  " << intent->metadata.name << ", priority " << intent->priority << ", model "
              << configuration.model_of(*intent).value() << '\n';
  }
}

void show_faults()
{
  try {
    static_cast<void>(objects::make_fleet_configuration(1, documents_in(invalid_declarations)));
  } catch (const objects::configuration_error& e) {
    std::cout << "faults:\n";
    for (const auto& fault : e.violations()) {
      std::cout << "  " << objects::to_string(fault) << '\n';
    }
  }
}

} // namespace

int main()
{
  show_matching_intents();
  show_faults();
  return EXIT_SUCCESS;
}
