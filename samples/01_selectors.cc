// Sample 1: selectors over labels.
//
// Parses a selector, matches it against the labels of three workspaces, and prints the error of a
// malformed selector.

#include <cstdlib>
#include <iostream>

#include "wisteriaflow/wisteriaflow.h"

namespace {

namespace objects = wisteriaflow::objects;

void show_match(const objects::selector& selector, const objects::label_set& labels)
{
  const auto* result = selector.matches(labels) ? "selected" : "left out";
  std::cout << "  " << objects::to_string(labels) << ": " << result << '\n';
}

void show_selector()
{
  const auto selector = objects::parse_selector("tier in (guest,gold), region=hcmc, !retired");
  std::cout << objects::to_string(selector) << '\n';
  show_match(selector, {{"tier", "guest"}, {"region", "hcmc"}});
  show_match(selector, {{"tier", "guest"}, {"region", "hcmc"}, {"retired", "yes"}});
  show_match(selector, {{"tier", "nightly"}, {"region", "hcmc"}});
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
