#include "wisteriaflow/gateway/peer_table.h"

#include <algorithm>
#include <cmath>
#include <set>
#include <utility>

namespace wisteriaflow::gateway {
namespace {

// A part is repaired for this long after it differed: two rounds of reports.
constexpr std::chrono::milliseconds repair_time{1'000};

} // namespace

peer_table::peer_table(peer_table_options options)
    : options_(std::move(options)), live_timeout_(options_.live_timeout)
{
  roster_.add(options_.self, nullptr);
}

std::chrono::milliseconds peer_table::timeout_for_size() const
{
  const auto size = static_cast<double>(peers_.size() + 1);
  const double doublings =
      std::max(0.0, std::log2(size / static_cast<double>(options_.live_timeout_fleet)));
  const auto extra = doublings * options_.live_timeout_per_doubling;
  return options_.live_timeout + std::chrono::duration_cast<std::chrono::milliseconds>(extra);
}

peer_table::entry& peer_table::entry_of(const daemon_id& id)
{
  const auto [it, added] = peers_.try_emplace(id);
  if (added) {
    roster_.add(id, &it->second);
    live_timeout_ = timeout_for_size();
  }
  return it->second;
}

void peer_table::add_address(const http::socket_address& address)
{
  if (!is_identified(address)) {
    unidentified_.try_emplace(address);
  }
}

void peer_table::add_registered(const std::vector<http::socket_address>& registered, mono_time now)
{
  std::set<http::socket_address> identified{options_.self_address};
  for (const auto& [id, it] : peers_) {
    identified.insert(it.contact.peer_address);
  }
  for (const auto& address : registered) {
    if (identified.contains(address)) {
      continue;
    }
    auto& counts_until = unidentified_[address];
    if (counts_until == mono_time{}) {
      counts_until = now + options_.running_timeout;
    }
  }
}

bool peer_table::is_identified(const http::socket_address& address) const
{
  return address == options_.self_address ||
         std::any_of(peers_.begin(), peers_.end(), [&address](const auto& it) {
           return it.second.contact.peer_address == address;
         });
}

void peer_table::on_report(const peer_report& report, mono_time now)
{
  if (report.self.id == options_.self) {
    return;
  }
  auto& self = entry_of(report.self.id);
  const auto as_of = now - report.age;
  if (as_of >= self.as_of) {
    self.contact = report.self;
    self.as_of = as_of;
  }
  if (!peers_count_valid_until_) {
    peers_count_valid_until_ = now + options_.running_timeout;
  }
  if (now < *peers_count_valid_until_) {
    peers_running_count_ = std::max(peers_running_count_, report.running_daemons);
  }
  self.reported_at = now;
  self.last_seen_at = now;
  unidentified_.erase(report.self.peer_address);
  merge_ages(report, now);
  for (const auto& h : report.last_seen) {
    const auto it = peers_.find(h.id);
    if (it != peers_.end()) {
      it->second.last_seen_at = std::max(it->second.last_seen_at, now - h.age);
    }
  }
  for (const auto& c : report.known_daemons) {
    if (c.id != options_.self && !peers_.contains(c.id)) {
      add_address(c.peer_address);
    }
  }
}

void peer_table::merge_ages(const peer_report& report, mono_time now)
{
  if (report.ages.empty()) {
    return; // a brief report, or one of an earlier version
  }
  std::array<const age_part*, age_parts> received{};
  for (const auto& part : report.ages) {
    received[part.index] = &part;
  }
  for (std::size_t i = 0; i < age_parts; ++i) {
    const auto& own = roster_.parts()[i];
    const bool is_same =
        received[i] == nullptr
            ? own.members.empty()
            : received[i]->members == own.hash && received[i]->ages.size() == own.members.size();
    if (!is_same) {
      repaired_until_[i] = now + repair_time;
      continue;
    }
    for (std::size_t k = 0; k < own.members.size(); ++k) {
      auto* known = own.members[k].known;
      const auto age = decode_age(received[i]->ages[k]);
      if (known != nullptr && age) {
        known->last_seen_at = std::max(known->last_seen_at, now - report.age - *age);
      }
    }
  }
}

std::vector<age_part> peer_table::ages(mono_time now) const
{
  std::vector<age_part> out;
  for (std::size_t i = 0; i < age_parts; ++i) {
    const auto& part = roster_.parts()[i];
    if (part.members.empty()) {
      continue;
    }
    age_part encoded{.index = i, .members = part.hash};
    for (const auto& m : part.members) {
      const auto age = m.known == nullptr ? mono_time::duration{0} : now - m.known->last_seen_at;
      encoded.ages += encode_age(std::chrono::ceil<std::chrono::milliseconds>(age));
    }
    out.push_back(std::move(encoded));
  }
  return out;
}

std::vector<peer_table::dated_contact> peer_table::contacts_to_repair(std::size_t max_count,
                                                                      mono_time now)
{
  std::vector<const entry*> differing;
  for (std::size_t i = 0; i < age_parts; ++i) {
    if (now >= repaired_until_[i]) {
      continue;
    }
    for (const auto& m : roster_.parts()[i].members) {
      if (m.known != nullptr) {
        differing.push_back(m.known);
      }
    }
  }
  std::vector<dated_contact> out;
  for (std::size_t i = 0; i < std::min(max_count, differing.size()); ++i) {
    const auto& it = *differing[next_repaired_++ % differing.size()];
    out.push_back({.contact = it.contact, .as_of = it.as_of});
  }
  return out;
}

bool peer_table::on_relayed(const daemon_contact& contact, mono_time as_of)
{
  if (contact.id == options_.self) {
    return false;
  }
  auto& it = entry_of(contact.id);
  if (as_of <= it.as_of) {
    return false;
  }
  it.contact = contact;
  it.as_of = as_of;
  it.last_seen_at = std::max(it.last_seen_at, as_of);
  unidentified_.erase(contact.peer_address);
  return true;
}

std::vector<peer_table::dated_contact> peer_table::most_recent(std::size_t max_count,
                                                               mono_time now) const
{
  std::vector<const entry*> live;
  for (const auto& [id, it] : peers_) {
    if (is_live(it, now)) {
      live.push_back(&it);
    }
  }
  const auto count = std::min(max_count, live.size());
  std::partial_sort(live.begin(), live.begin() + static_cast<std::ptrdiff_t>(count), live.end(),
                    [](const entry* a, const entry* b) { return a->as_of > b->as_of; });
  std::vector<dated_contact> out;
  for (std::size_t i = 0; i < count; ++i) {
    out.push_back({.contact = live[i]->contact, .as_of = live[i]->as_of});
  }
  return out;
}

std::vector<peer_last_seen> peer_table::most_recently_seen(std::size_t max_count,
                                                           mono_time now) const
{
  std::vector<peer_last_seen> out;
  for (const auto& [id, it] : peers_) {
    const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(now - it.last_seen_at);
    out.push_back({.id = id, .age = age});
  }
  const auto end = out.begin() + static_cast<std::ptrdiff_t>(std::min(max_count, out.size()));
  std::partial_sort(out.begin(), end, out.end(),
                    [](const peer_last_seen& a, const peer_last_seen& b) { return a.age < b.age; });
  out.erase(end, out.end());
  return out;
}

bool peer_table::all_reported_since(mono_time t, mono_time now) const
{
  return std::all_of(peers_.begin(), peers_.end(), [&](const auto& it) {
    return !is_live(it.second, now) || it.second.reported_at >= t;
  });
}

bool peer_table::is_live(const daemon_id& peer, mono_time now) const
{
  const auto it = peers_.find(peer);
  return it != peers_.end() && is_live(it->second, now);
}

std::optional<daemon_id> peer_table::leader(mono_time now) const
{
  const entry* latest = nullptr;
  for (const auto& [id, it] : peers_) {
    const bool acts = it.contact.acting && is_live(it, now);
    if (acts && (latest == nullptr || it.as_of > latest->as_of)) {
      latest = &it;
    }
  }
  return latest == nullptr ? std::nullopt : std::optional(latest->contact.id);
}

std::vector<daemon_contact> peer_table::live(mono_time now) const
{
  std::vector<daemon_contact> out;
  for (const auto& [id, it] : peers_) {
    if (is_live(it, now)) {
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

std::size_t peer_table::running_count(mono_time now) const
{
  const bool is_valid = peers_count_valid_until_ && now < *peers_count_valid_until_;
  return std::max(observed_running_count(now), is_valid ? peers_running_count_ : 0);
}

bool peer_table::may_be_running(const entry& it, mono_time now) const
{
  // A daemon that announced that it drains has stopped once it is silent.
  const auto counted_for = it.contact.leaving ? live_timeout() : options_.running_timeout;
  return now < it.last_seen_at + counted_for;
}

std::vector<daemon_id> peer_table::running(mono_time now) const
{
  std::vector<daemon_id> out;
  for (const auto& [id, it] : peers_) {
    if (may_be_running(it, now)) {
      out.push_back(id);
    }
  }
  return out;
}

std::size_t peer_table::observed_running_count(mono_time now) const
{
  const auto is_counted = [&](const auto& it) { return may_be_running(it.second, now); };
  const auto reporting = std::count_if(peers_.begin(), peers_.end(), is_counted);
  const auto registered = std::count_if(unidentified_.begin(), unidentified_.end(),
                                        [now](const auto& it) { return now < it.second; });
  return static_cast<std::size_t>(1 + reporting + registered);
}

std::vector<http::socket_address> peer_table::addresses_to_contact(mono_time now) const
{
  std::vector<http::socket_address> out;
  for (const auto& [address, counts_until] : unidentified_) {
    out.push_back(address);
  }
  for (const auto& [id, it] : peers_) {
    if (now < it.last_seen_at + options_.contact_timeout) {
      out.push_back(it.contact.peer_address);
    }
  }
  return out;
}

} // namespace wisteriaflow::gateway
