#include "wisteriaflow/gateway/relay_peers.h"

#include <optional>
#include <tuple>
#include <utility>

namespace wisteriaflow::gateway {

relay_peers::relay_peers(relay_peer_options options)
    : options_(std::move(options)), random_(options_.seed)
{
}

relay_peer_choice relay_peers::choose(std::span<const daemon_contact> live, mono_time now)
{
  using rank = std::tuple<std::size_t, bool, std::uint64_t>;
  std::optional<std::pair<rank, const daemon_contact*>> best;
  bool is_any_full = false;
  for (const auto& peer : live) {
    const auto& state = states_[peer.id];
    if (!can_relay(peer) || now < state.failed_until) {
      continue;
    }
    if (state.calls >= options_.max_calls_per_peer || now < state.refused_until) {
      is_any_full = true;
      continue;
    }
    const rank own{state.calls, peer.zone != options_.zone, random_()};
    if (!best || own < best->first) {
      best = {own, &peer};
    }
  }
  if (best) {
    return *best->second;
  }
  return is_any_full ? no_relay_peer::no_room : no_relay_peer::none;
}

void relay_peers::on_ended(const daemon_id& peer, relay_end end, mono_time now)
{
  auto& state = states_[peer];
  state.calls -= state.calls > 0 ? 1 : 0;
  switch (end) {
  case relay_end::carried:
    break;
  case relay_end::refused:
    state.refused_until = now + options_.pause_after_refusal;
    break;
  case relay_end::no_answer:
    state.failed_until = now + options_.pause_after_failure;
    break;
  }
}

} // namespace wisteriaflow::gateway
