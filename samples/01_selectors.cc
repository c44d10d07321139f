// Sample 1: selectors over labels.
//
// Parses a selector, matches it against the labels of two workspaces, and shows what a malformed
// selector says.

#include <cstdlib>
#include <iostream>

#include "wisteriaflow/wisteriaflow.h"

namespace {

namespace objects = wisteriaflow::objects;

void show_match(const objects::selector& chosen, const objects::label_set& labels)
{
  const auto* answer = chosen.matches(labels) ? "selected" : "left out";
  std::cout << "  " << objects::to_string(labels) << ": " << answer << '\n';
}

void show_selector()
{
  const auto chosen = objects::parse_selector("tier in (guest,gold), region=hcmc, !retired");
  std::cout << objects::to_string(chosen) << '\n';
  show_match(chosen, {{"tier", "guest"}, {"region", "hcmc"}});
  show_match(chosen, {{"tier", "guest"}, {"region", "hcmc"}, {"retired", "yes"}});
  show_match(chosen, {{"tier", "nightly"}, {"region", "hcmc"}});
}

void show_malformed()
{
  try {
    static_cast<void>(objects::parse_selector("tier in (guest"));
  } catch (const objects::selector_parse_error& e) {
    std::cout << e.what() << '\n';
  }
}

} // namespace

int main()
{
  show_selector();
  show_malformed();
  return EXIT_SUCCESS;
}
