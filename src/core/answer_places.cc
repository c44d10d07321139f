#include "core/answer_places.h"

#include <algorithm>
#include <utility>

#include "wisteriaflow/base/hash.h"

namespace wisteriaflow::core::internal {
namespace {

constexpr std::size_t keepers_of_each_key = 2;
// At about 150 bytes each; the oldest deadline goes first when there are more.
constexpr std::size_t place_limit = 16'384;

} // namespace

hash128 place_key_of(const requests::answer_key& key)
{
  return hash128_of(key.workspace.value() + "\n" + key.key);
}

std::vector<daemon_id> answer_places::keepers_of(const hash128& key) const
{
  auto daemons = fleet_.live_daemon_ids();
  const auto score = [&](const daemon_id& id) { return rendezvous_score(key.low, id.value()); };
  const auto n = std::min(keepers_of_each_key, daemons.size());
  std::partial_sort(daemons.begin(), daemons.begin() + static_cast<std::ptrdiff_t>(n),
                    daemons.end(),
                    [&](const daemon_id& a, const daemon_id& b) { return score(a) > score(b); });
  daemons.resize(n);
  return daemons;
}

void answer_places::announce(const requests::answer_key& key, const std::string& caller_address)
{
  const auto until = context_.now().wall + context_.options().answer_retention;
  const place_note note{
      .key = place_key_of(key), .caller_address = caller_address, .keep_until = until};
  auto keepers = keepers_of(note.key);
  for (const auto& keeper : keepers) {
    tell(keeper, note);
  }
  if (caller_address != to_string(context_.options().caller_address)) {
    own_.erase(note.key); // handed over: its new place tells the keepers from now on
  } else if (own_.size() < place_limit) {
    own_.insert_or_assign(note.key, own_answer{until, std::move(keepers)});
  }
}

void answer_places::tell(const daemon_id& keeper, const place_note& note)
{
  if (keeper == context_.options().self) {
    on_note(note);
  } else if (const auto to = fleet_.peer_address_of(keeper)) {
    context_.call_peer(*to, note, [](const peer_response*) {});
  }
}

// A keeper that left has forgotten, and one that came does not know yet.
void answer_places::on_daemons_changed()
{
  auto live = fleet_.live_daemon_ids();
  if (live == live_) {
    return;
  }
  live_ = std::move(live);
  const auto now = context_.now().wall;
  std::erase_if(own_, [now](const auto& item) { return item.second.keep_until < now; });
  const auto own = to_string(context_.options().caller_address);
  for (auto& [key, answer] : own_) {
    const place_note note{.key = key, .caller_address = own, .keep_until = answer.keep_until};
    auto keepers = keepers_of(key);
    for (const auto& keeper : keepers) {
      if (std::find(answer.told.begin(), answer.told.end(), keeper) == answer.told.end()) {
        tell(keeper, note);
      }
    }
    answer.told = std::move(keepers);
  }
}

void answer_places::on_note(const place_note& note)
{
  const auto now = context_.now().wall;
  forget(note.key);
  while (!by_deadline_.empty() &&
         (by_deadline_.begin()->first < now || by_deadline_.size() >= place_limit)) {
    places_.erase(by_deadline_.begin()->second);
    by_deadline_.erase(by_deadline_.begin());
  }
  places_.emplace(note.key, place{note.caller_address, note.keep_until});
  by_deadline_.emplace(note.keep_until, note.key);
}

void answer_places::forget(const hash128& key)
{
  const auto node = places_.extract(key);
  if (node.empty()) {
    return;
  }
  const auto [first, last] = by_deadline_.equal_range(node.mapped().keep_until);
  const auto it = std::find_if(first, last, [&](const auto& item) { return item.second == key; });
  by_deadline_.erase(it);
}

std::string answer_places::kept_place(const hash128& key) const
{
  const auto it = places_.find(key);
  return it == places_.end() ? std::string() : it->second.caller_address;
}

// Sending a caller to a daemon that is gone would cost it its own deadline to learn nothing.
bool answer_places::is_useful(const std::string& place) const
{
  const auto own = to_string(context_.options().caller_address);
  return !place.empty() && place != own && fleet_.answers_callers_at(place);
}

void answer_places::find(const requests::answer_key& key,
                         std::function<void(const std::string&)> done)
{
  const auto hash = place_key_of(key);
  const auto kept = kept_place(hash);
  if (is_useful(kept)) {
    done(kept);
    return;
  }
  auto keepers = keepers_of(hash);
  std::erase(keepers, context_.options().self);
  ask(hash, std::move(keepers), std::move(done));
}

void answer_places::ask(const hash128& key, std::vector<daemon_id> keepers,
                        std::function<void(const std::string&)> done)
{
  if (keepers.empty()) {
    done({});
    return;
  }
  const auto next = keepers.back();
  keepers.pop_back();
  const auto to = fleet_.peer_address_of(next);
  if (!to) {
    ask(key, std::move(keepers), std::move(done));
    return;
  }
  const request_query query{.key = key, .nonce = 0};
  context_.call_peer(*to, query, [this, key, keepers, done](const peer_response* response) {
    const auto* status = response == nullptr ? nullptr : std::get_if<request_status>(response);
    if (status != nullptr && is_useful(status->caller_address)) {
      done(status->caller_address);
    } else {
      ask(key, keepers, done);
    }
  });
}

} // namespace wisteriaflow::core::internal
