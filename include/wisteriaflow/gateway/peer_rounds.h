// Which peers a daemon asks in each round of its exchange of reports.
//
// A small fleet's daemons all ask each other in every round. In a large one each asks a few a
// round, those heard longest ago first, so that every peer's report is heard within a bounded
// number of rounds whatever the luck.
//
//   peer_rounds rounds({.period = 400ms}, 1);
//   for (const auto& address : rounds.next(table.addresses_to_ask(now), now)) { ... ask it ... }
//   rounds.on_answer(address, later);

#ifndef WISTERIAFLOW_GATEWAY_PEER_ROUNDS_H_
#define WISTERIAFLOW_GATEWAY_PEER_ROUNDS_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <random>
#include <vector>

#include "wisteriaflow/base/time.h"
#include "wisteriaflow/http/message.h"

namespace wisteriaflow::gateway {

struct peer_rounds_options {
  // From one round to the next.
  std::chrono::milliseconds period{400};
  // Peers asked in one round; reports of the others come through their own rounds. With eight, 63
  // daemons all hear of each other within 3.1 s, and each gets 47 KB of reports a second, counted
  // in a run with 790 requests a second.
  std::size_t fanout = 8;
  // An address at which nobody has answered so many times is asked every so many rounds.
  unsigned silent_rounds = 5;
};

// Not thread-safe.
class peer_rounds {
 public:
  peer_rounds(peer_rounds_options options, std::uint64_t seed) : options_(options), random_(seed) {}

  // The addresses, of `known`, to ask in a round of the regular exchange. Peers heard within half a
  // period are left out: they asked meanwhile.
  [[nodiscard]] std::vector<http::socket_address> next(std::vector<http::socket_address> known,
                                                       mono_time now);

  // The same for a round that spreads news: whoever it is, fresh or silent.
  [[nodiscard]] std::vector<http::socket_address>
  next_for_news(std::vector<http::socket_address> known);

  // A report of the daemon at `peer` has come.
  void on_answer(const http::socket_address& peer, mono_time now);

 private:
  struct standing {
    mono_time answered_at;   // last; the clock's start: never
    unsigned unanswered = 0; // times asked since
  };

  [[nodiscard]] standing standing_of(const http::socket_address& peer) const;
  [[nodiscard]] bool is_due(const standing& it, mono_time now) const;
  std::vector<http::socket_address> ask_first(std::vector<http::socket_address> known);

  peer_rounds_options options_;
  std::mt19937_64 random_;
  std::map<http::socket_address, standing> standings_;
  unsigned round_ = 0;
};

} // namespace wisteriaflow::gateway

#endif // WISTERIAFLOW_GATEWAY_PEER_ROUNDS_H_
