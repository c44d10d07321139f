// Which peers a daemon asks in each round of its exchange of reports.
//
// A small fleet's daemons all ask each other in every round. In a large one each asks a few a
// round, those heard longest ago first, and passes on what it heard, so that news of every peer
// comes within a few rounds by way of others. A few peers, the leads, need everybody's own reports,
// since they add up counts, and tell what they read in the store: one of them is asked every
// 0.8 s.
//
//   peer_rounds rounds({.period = 400ms}, 1);
//   const auto asked = rounds.next(table.addresses_to_ask(now), leads, now);
//   rounds.on_answer(asked.front(), later);

#ifndef WISTERIAFLOW_GATEWAY_PEER_ROUNDS_H_
#define WISTERIAFLOW_GATEWAY_PEER_ROUNDS_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <vector>

#include "wisteriaflow/base/time.h"
#include "wisteriaflow/http/message.h"

namespace wisteriaflow::gateway {

struct peer_rounds_options {
  // From one round to the next.
  std::chrono::milliseconds period{400};
  // A fleet of up to so many peers asks all of them.
  std::size_t all_asked = 8;
  // Peers asked in one round of a larger one: few, since each question brings a report both ways.
  std::size_t fanout = 3;
  // Peers that are told news at once.
  std::size_t news_fanout = 6;
  // From one question to a lead to the next. With three leads each hears each daemon within four
  // seconds, and every daemon's view of the endpoints is two seconds old at most, which is when it
  // would read the store itself.
  std::chrono::milliseconds lead_period{800};
  // The same for each peer, where that is longer: what a lead is asked by all stays bounded.
  std::chrono::milliseconds lead_period_by_peer{4};
  // An address at which nobody has answered so many times is asked every so many rounds.
  unsigned silent_rounds = 5;
};

// Not thread-safe.
class peer_rounds {
 public:
  peer_rounds(peer_rounds_options options, std::uint64_t seed) : options_(options), random_(seed) {}

  // Whether a fleet of so many daemons is too large for all to ask all.
  [[nodiscard]] bool is_large(std::size_t daemons) const
  {
    return daemons > options_.all_asked + 1;
  }

  // The addresses, of `known`, to ask in a round of the regular exchange, and now and then the one
  // of `leads` heard longest ago besides. Peers heard within half a period are left out: they asked
  // meanwhile.
  [[nodiscard]] std::vector<http::socket_address>
  next(std::vector<http::socket_address> known, const std::vector<http::socket_address>& leads,
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
  // The lead whose turn it is; none if one was asked a short time ago.
  std::optional<http::socket_address> lead_to_ask(const std::vector<http::socket_address>& leads,
                                                  std::size_t peers, mono_time now);
  void note_asked(const std::vector<http::socket_address>& peers);

  peer_rounds_options options_;
  std::mt19937_64 random_;
  std::map<http::socket_address, standing> standings_;
  mono_time lead_asked_at_;
  unsigned round_ = 0;
};

} // namespace wisteriaflow::gateway

#endif // WISTERIAFLOW_GATEWAY_PEER_ROUNDS_H_
