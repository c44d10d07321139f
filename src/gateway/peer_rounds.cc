#include "wisteriaflow/gateway/peer_rounds.h"

#include <algorithm>
#include <utility>

namespace wisteriaflow::gateway {

void peer_rounds::on_answer(const http::socket_address& peer, mono_time now)
{
  standings_[peer] = {.answered_at = now};
}

peer_rounds::standing peer_rounds::standing_of(const http::socket_address& peer) const
{
  const auto it = standings_.find(peer);
  return it == standings_.end() ? standing{} : it->second;
}

bool peer_rounds::is_due(const standing& it, mono_time now) const
{
  if (now < it.answered_at + options_.period / 2) {
    return false;
  }
  const bool silent = it.unanswered >= options_.silent_rounds;
  return !silent || round_ % options_.silent_rounds == 0;
}

void peer_rounds::note_asked(const std::vector<http::socket_address>& peers)
{
  for (const auto& peer : peers) {
    ++standings_[peer].unanswered;
  }
}

std::optional<http::socket_address>
peer_rounds::lead_to_ask(const std::vector<http::socket_address>& leads, std::size_t peers,
                         mono_time now)
{
  const auto period =
      std::max(options_.lead_period, static_cast<int>(peers) * options_.lead_period_by_peer);
  if (leads.empty() || now < lead_asked_at_ + period) {
    return std::nullopt;
  }
  lead_asked_at_ = now;
  return *std::min_element(leads.begin(), leads.end(), [this](const auto& a, const auto& b) {
    return standing_of(a).answered_at < standing_of(b).answered_at;
  });
}

std::vector<http::socket_address> peer_rounds::next(std::vector<http::socket_address> known,
                                                    const std::vector<http::socket_address>& leads,
                                                    mono_time now)
{
  ++round_;
  const auto number = known.size();
  const auto most = number <= options_.all_asked ? number : options_.fanout;
  std::shuffle(known.begin(), known.end(), random_);
  struct due_peer {
    mono_time answered_at;
    http::socket_address address;
  };
  std::vector<due_peer> due;
  for (auto& peer : known) {
    const auto it = standing_of(peer);
    if (is_due(it, now)) {
      due.push_back({.answered_at = it.answered_at, .address = std::move(peer)});
    }
  }
  // In turn, so that no peer is left out by chance.
  const auto asked = std::min(due.size(), most);
  std::partial_sort(due.begin(), due.begin() + static_cast<std::ptrdiff_t>(asked), due.end(),
                    [](const auto& a, const auto& b) { return a.answered_at < b.answered_at; });
  std::vector<http::socket_address> out;
  for (std::size_t i = 0; i < asked; ++i) {
    out.push_back(std::move(due[i].address));
  }
  const auto lead = lead_to_ask(leads, number, now);
  if (lead && std::find(out.begin(), out.end(), *lead) == out.end()) {
    out.push_back(*lead);
  }
  note_asked(out);
  return out;
}

std::vector<http::socket_address>
peer_rounds::next_for_news(std::vector<http::socket_address> known)
{
  std::shuffle(known.begin(), known.end(), random_);
  known.resize(std::min(known.size(), options_.news_fanout));
  note_asked(known);
  return known;
}

} // namespace wisteriaflow::gateway
