#include "wisteriaflow/gateway/peer_table.h"

#include <algorithm>

namespace wisteriaflow::gateway {

void peer_table::add_address(const http::socket_address& address)
{
  const auto is_there = [&address](const auto& it) {
    return it.second.contact.peer_address == address;
  };
  const bool known = std::any_of(peers_.begin(), peers_.end(), is_there);
  if (!known && address != options_.self_address) {
    unnamed_.insert(address);
  }
}

void peer_table::on_report(const peer_report& report, mono_time now)
{
  if (report.self.id == options_.self) {
    return;
  }
  peers_[report.self.id] = {.contact = report.self, .reported_at = now, .heard_at = now};
  unnamed_.erase(report.self.peer_address);
  for (const auto& h : report.heard) {
    const auto it = peers_.find(h.id);
    if (it != peers_.end()) {
      it->second.heard_at = std::max(it->second.heard_at, now - h.age);
    }
  }
  for (const auto& c : report.known) {
    if (c.id != options_.self && !peers_.contains(c.id)) {
      add_address(c.peer_address);
    }
  }
}

std::vector<peer_age> peer_table::heard_last(std::size_t most, mono_time now) const
{
  std::vector<peer_age> out;
  for (const auto& [id, it] : peers_) {
    const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(now - it.heard_at);
    out.push_back({.id = id, .age = age});
  }
  const auto middle = out.begin() + static_cast<std::ptrdiff_t>(std::min(most, out.size()));
  std::partial_sort(out.begin(), middle, out.end(),
                    [](const peer_age& a, const peer_age& b) { return a.age < b.age; });
  out.erase(middle, out.end());
  return out;
}

bool peer_table::all_reported_since(mono_time t, mono_time now) const
{
  return std::all_of(peers_.begin(), peers_.end(), [&](const auto& it) {
    const bool live = now < it.second.heard_at + options_.live_for;
    return !live || it.second.reported_at >= t;
  });
}

bool peer_table::is_live(const daemon_id& peer, mono_time now) const
{
  const auto it = peers_.find(peer);
  return it != peers_.end() && now < it->second.heard_at + options_.live_for;
}

std::vector<daemon_contact> peer_table::live(mono_time now) const
{
  std::vector<daemon_contact> out;
  for (const auto& [id, it] : peers_) {
    if (now < it.heard_at + options_.live_for) {
      out.push_back(it.contact);
    }
  }
  return out;
}

std::optional<http::socket_address> peer_table::address_of(const daemon_id& peer) const
{
  const auto it = peers_.find(peer);
  return it == peers_.end() ? std::nullopt : std::optional(it->second.contact.peer_address);
}

std::size_t peer_table::counted(mono_time now) const
{
  const auto counts = [&](const auto& it) {
    // One that said that it leaves has ended once it is silent.
    const auto counted_for = it.second.contact.leaving ? options_.live_for : options_.counted_for;
    return now < it.second.heard_at + counted_for;
  };
  return 1 + static_cast<std::size_t>(std::count_if(peers_.begin(), peers_.end(), counts));
}

std::vector<http::socket_address> peer_table::addresses_to_ask(mono_time now) const
{
  std::vector<http::socket_address> out(unnamed_.begin(), unnamed_.end());
  for (const auto& [id, it] : peers_) {
    if (now < it.heard_at + options_.asked_for) {
      out.push_back(it.contact.peer_address);
    }
  }
  return out;
}

} // namespace wisteriaflow::gateway
