#include "core/answer_directory.h"

#include <algorithm>
#include <utility>

#include "wisteriaflow/base/hash.h"

namespace wisteriaflow::core::internal {
namespace {

constexpr std::size_t replicas_per_key = 2;
// An entry takes about 150 bytes. Above this limit, the entry that expires first is evicted.
constexpr std::size_t max_entries = 16'384;

} // namespace

hash128 directory_key_of(const requests::answer_key& key)
{
  return hash128_of(key.workspace.value() + "\n" + key.key);
}

std::vector<daemon_id> answer_directory::replicas_of(const hash128& key) const
{
  auto daemons = fleet_.live_daemon_ids();
  const auto score = [&](const daemon_id& id) { return rendezvous_score(key.low, id.value()); };
  const auto n = std::min(replicas_per_key, daemons.size());
  std::partial_sort(daemons.begin(), daemons.begin() + static_cast<std::ptrdiff_t>(n),
                    daemons.end(),
                    [&](const daemon_id& a, const daemon_id& b) { return score(a) > score(b); });
  daemons.resize(n);
  return daemons;
}

void answer_directory::publish(const requests::answer_key& key, const std::string& caller_address)
{
  const auto until = context_.now().wall + context_.options().answer_retention;
  const place_note note{
      .key = directory_key_of(key), .caller_address = caller_address, .keep_until = until};
  auto replicas = replicas_of(note.key);
  for (const auto& replica : replicas) {
    send_note(replica, note);
  }
  if (caller_address != to_string(context_.options().caller_address)) {
    local_answers_.erase(note.key); // handed over: the peer keeps the replicas up to date
  } else if (local_answers_.size() < max_entries) {
    local_answers_.insert_or_assign(note.key, local_answer{until, std::move(replicas)});
  }
}

void answer_directory::send_note(const daemon_id& replica, const place_note& note)
{
  if (replica == context_.options().self) {
    on_note(note);
  } else if (const auto to = fleet_.peer_address_of(replica)) {
    context_.call_peer(*to, note, [](const peer_response*) {});
  }
}

// The entries of a daemon that left are lost, and a daemon that joined has none yet.
void answer_directory::on_daemons_changed()
{
  auto live = fleet_.live_daemon_ids();
  if (live == last_live_daemons_) {
    return;
  }
  last_live_daemons_ = std::move(live);
  const auto now = context_.now().wall;
  std::erase_if(local_answers_, [now](const auto& item) { return item.second.keep_until < now; });
  const auto own = to_string(context_.options().caller_address);
  for (auto& [key, answer] : local_answers_) {
    const place_note note{.key = key, .caller_address = own, .keep_until = answer.keep_until};
    auto replicas = replicas_of(key);
    for (const auto& replica : replicas) {
      if (std::find(answer.notified.begin(), answer.notified.end(), replica) ==
          answer.notified.end()) {
        send_note(replica, note);
      }
    }
    answer.notified = std::move(replicas);
  }
}

void answer_directory::on_note(const place_note& note)
{
  const auto now = context_.now().wall;
  erase_entry(note.key);
  while (!by_expiry_.empty() &&
         (by_expiry_.begin()->first < now || by_expiry_.size() >= max_entries)) {
    entries_.erase(by_expiry_.begin()->second);
    by_expiry_.erase(by_expiry_.begin());
  }
  entries_.emplace(note.key, entry{note.caller_address, note.keep_until});
  by_expiry_.emplace(note.keep_until, note.key);
}

void answer_directory::erase_entry(const hash128& key)
{
  const auto node = entries_.extract(key);
  if (node.empty()) {
    return;
  }
  const auto [first, last] = by_expiry_.equal_range(node.mapped().keep_until);
  const auto it = std::find_if(first, last, [&](const auto& item) { return item.second == key; });
  by_expiry_.erase(it);
}

std::string answer_directory::stored_address(const hash128& key) const
{
  const auto it = entries_.find(key);
  return it == entries_.end() ? std::string() : it->second.caller_address;
}

// A caller that is redirected to a daemon that is gone would get no answer until its deadline.
bool answer_directory::is_usable(const std::string& place) const
{
  const auto own = to_string(context_.options().caller_address);
  return !place.empty() && place != own && fleet_.has_live_daemon_at(place);
}

void answer_directory::find(const requests::answer_key& key,
                            std::function<void(const std::string&)> done)
{
  const auto hash = directory_key_of(key);
  const auto kept = stored_address(hash);
  if (is_usable(kept)) {
    done(kept);
    return;
  }
  auto replicas = replicas_of(hash);
  std::erase(replicas, context_.options().self);
  query_replicas(hash, std::move(replicas), std::move(done));
}

void answer_directory::query_replicas(const hash128& key, std::vector<daemon_id> replicas,
                                      std::function<void(const std::string&)> done)
{
  if (replicas.empty()) {
    done({});
    return;
  }
  const auto next = replicas.back();
  replicas.pop_back();
  const auto to = fleet_.peer_address_of(next);
  if (!to) {
    query_replicas(key, std::move(replicas), std::move(done));
    return;
  }
  const request_query query{.key = key, .nonce = 0};
  context_.call_peer(*to, query, [this, key, replicas, done](const peer_response* response) {
    const auto* status = response == nullptr ? nullptr : std::get_if<request_status>(response);
    if (status != nullptr && is_usable(status->caller_address)) {
      done(status->caller_address);
    } else {
      query_replicas(key, replicas, done);
    }
  });
}

} // namespace wisteriaflow::core::internal
