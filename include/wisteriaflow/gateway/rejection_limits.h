// The services whose endpoints fail if they must reject too many requests.
//
// An overloaded endpoint may survive only a few rejections in a second. It states the number in its
// answers. An answer reaches only one daemon, so daemons gossip the statements. They are kept by
// service: its endpoints are of one kind, and a daemon may have sent no request to some of them.
//
//   rejection_limits limits;
//   if (limits.on_answer({.service = "chat", .limit = 2, .sent_at = sent}, now)) { ... log it ... }
//   if (const auto limit = limits.limit_of("chat")) { ... send no more than there is room for ... }

#ifndef WISTERIAFLOW_GATEWAY_REJECTION_LIMITS_H_
#define WISTERIAFLOW_GATEWAY_REJECTION_LIMITS_H_

#include <chrono>
#include <cstddef>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "wisteriaflow/base/time.h"

namespace wisteriaflow::gateway {

// What an answer of an endpoint of the service says.
struct answered_rejection_limit {
  std::string_view service;
  std::optional<double> limit; // rejections/s that the endpoint survives; nothing: not stated
  mono_time sent_at;           // when the request was sent
};

// The limit of one service as sent between daemons.
struct peer_rejection_limit {
  std::string service;
  double limit = 0;                 // rejections/s
  std::chrono::milliseconds age{0}; // since an endpoint stated it

  friend bool operator==(const peer_rejection_limit&, const peer_rejection_limit&) = default;
};

// Not thread-safe.
class rejection_limits {
 public:
  // Applies a signed answer. Returns true if the service has a limit now and had none before, or
  // the other way round: endpoints may state another number in each answer.
  bool on_answer(const answered_rejection_limit& answer, mono_time now);

  // Applies what a peer knows, and returns the same. Invalid limits are ignored.
  bool on_peer_limit(const peer_rejection_limit& received, mono_time now);

  // Removes limits that were not confirmed for a long time. Call this a few times a second.
  void tick(mono_time now);

  // Rejections per second that an endpoint of the service survives; nothing if it states no limit.
  [[nodiscard]] std::optional<double> limit_of(std::string_view service) const;

  // All limits, for a report to peers.
  [[nodiscard]] std::vector<peer_rejection_limit> to_gossip(mono_time now) const;

  [[nodiscard]] std::size_t size() const;

 private:
  struct entry {
    double limit = 0;
    mono_time stated_at;
    // A request sent at this time was answered without a limit. Older statements are void.
    mono_time ended_at;

    [[nodiscard]] bool is_stated() const { return ended_at < stated_at; }
  };

  std::map<std::string, entry, std::less<>> entries_; // by service
};

// Whether `limit`, in rejections/s, is in the valid range.
[[nodiscard]] bool is_valid_rejection_limit(double limit);

} // namespace wisteriaflow::gateway

#endif // WISTERIAFLOW_GATEWAY_REJECTION_LIMITS_H_
