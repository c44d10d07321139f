// Endpoints that leave or are gone, remembered so that no stale description brings one back, and
// told to peers for a while.

#ifndef WISTERIAFLOW_GATEWAY_DEPARTURES_H_
#define WISTERIAFLOW_GATEWAY_DEPARTURES_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <vector>

#include "wisteriaflow/base/ids.h"
#include "wisteriaflow/base/time.h"

namespace wisteriaflow::gateway {

// An endpoint that leaves or is gone, as of a revision of the store.
struct endpoint_departure {
  endpoint_id id;
  std::uint64_t revision = 0;

  friend bool operator==(const endpoint_departure&, const endpoint_departure&) = default;
};

// Not thread-safe.
class departures {
 public:
  // Departures are passed on to all peers for `told_for`, well above the time that gossip takes.
  // Who has missed one for longer finds out by its view of the endpoints, and asks for it.
  explicit departures(std::chrono::milliseconds told_for) : told_for_(told_for) {}

  void note(const endpoint_departure& d, mono_time now);

  // Whether the endpoint had left as of `revision`.
  [[nodiscard]] bool covers(const endpoint_id& id, std::uint64_t revision) const;

  // To pass on to peers.
  [[nodiscard]] std::vector<endpoint_departure> to_tell(mono_time now) const;

  // For a peer whose view of the endpoints is at `revision`.
  [[nodiscard]] std::vector<endpoint_departure> after(std::uint64_t revision) const;

  // Those noted so long ago that the last requests there have ended.
  [[nodiscard]] std::vector<endpoint_id> over(mono_time now) const;

  void forget_old(mono_time now);

 private:
  struct entry {
    std::uint64_t revision = 0;
    mono_time noted_at;
  };

  std::chrono::milliseconds told_for_;
  std::map<endpoint_id, entry> entries_;
};

} // namespace wisteriaflow::gateway

#endif // WISTERIAFLOW_GATEWAY_DEPARTURES_H_
