// Whether an endpoint may be used, by its version.
//
// Endpoints of a new version are started as soon as its roll-out is ordered, and the store may show
// them to a daemon before the order. So a version that was never seen of a service is used only
// once the orders are known as of a revision at which the endpoint was there: if none names the
// version, it needs no trial.

#ifndef WISTERIAFLOW_GATEWAY_VERSION_GATE_H_
#define WISTERIAFLOW_GATEWAY_VERSION_GATE_H_

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>

#include "wisteriaflow/gateway/rollout.h"

namespace wisteriaflow::gateway {

// An endpoint as far as its version matters.
struct versioned_endpoint {
  std::string_view service;
  std::string_view version;   // empty: not told
  std::uint64_t revision = 0; // of the store, at which this was true
};

// Not thread-safe.
class version_gate {
 public:
  // Without roll-outs every version is used.
  explicit version_gate(bool enabled) : enabled_(enabled) {}

  // All orders up to this revision of the store are in the book.
  void set_known_up_to(std::uint64_t revision);
  [[nodiscard]] std::uint64_t known_up_to() const { return known_up_to_; }

  [[nodiscard]] bool is_usable(const versioned_endpoint& endpoint, const rollout_book& book);

  // Whether an endpoint waits for the orders to be known as of a later revision.
  [[nodiscard]] bool is_behind() const { return wanted_ > known_up_to_; }

 private:
  bool enabled_;
  std::uint64_t known_up_to_ = 0;
  std::uint64_t wanted_ = 0;                                                    // revision
  std::map<std::string, std::set<std::string, std::less<>>, std::less<>> seen_; // by service
};

} // namespace wisteriaflow::gateway

#endif // WISTERIAFLOW_GATEWAY_VERSION_GATE_H_
