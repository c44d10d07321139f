#include "wisteriaflow/requests/answer_store.h"

namespace wisteriaflow::requests {
namespace {

// Memory of one kept answer besides its contents, in bytes: map nodes, deadline entry, string
// headers.
constexpr std::size_t entry_overhead = 512;

} // namespace

std::size_t size_of(const kept_answer& answer)
{
  std::size_t n = entry_overhead + answer.response.body.size();
  for (const auto& field : answer.response.fields) {
    n += sizeof(header_field) + field.name.size() + field.value.size();
  }
  for (const auto& token : answer.tokens) {
    n += sizeof(std::string) + token.size();
  }
  return n;
}

open_result answer_store::open(const answer_key& key, const hash128& body,
                               const std::string& request_id)
{
  if (const auto it = kept_.find(key); it != kept_.end()) {
    if (it->second.body != body) {
      return body_mismatch{};
    }
    return answer_found{it->second.answer};
  }
  if (const auto it = runs_.find(key); it != runs_.end()) {
    if (it->second.body != body) {
      return body_mismatch{};
    }
    if (it->second.followers.size() >= options_.max_followers) {
      return store_full{};
    }
    it->second.followers.push_back(request_id);
    return run_joined{it->second.request_id};
  }
  if (runs_.size() >= options_.max_in_flight) {
    return store_full{};
  }
  runs_.emplace(key, run{.body = body, .request_id = request_id});
  return run_opened{};
}

std::vector<std::string> answer_store::keep(const answer_key& key, const hash128& body,
                                            kept_answer answer, wall_time until)
{
  auto followers = release(key);
  erase_kept(key);
  const auto size = size_of(answer);
  if (size > options_.max_bytes) {
    return followers;
  }
  evict_until_fits(size);
  kept_.emplace(
      key, kept_entry{.body = body, .answer = std::move(answer), .until = until, .size = size});
  by_deadline_.emplace(until, key);
  bytes_ += size;
  return followers;
}

std::vector<std::string> answer_store::release(const answer_key& key)
{
  const auto it = runs_.find(key);
  if (it == runs_.end()) {
    return {};
  }
  auto followers = std::move(it->second.followers);
  runs_.erase(it);
  return followers;
}

find_result answer_store::find(const answer_key& key) const
{
  if (const auto it = kept_.find(key); it != kept_.end()) {
    return answer_found{it->second.answer};
  }
  if (const auto it = runs_.find(key); it != runs_.end()) {
    return run_joined{it->second.request_id};
  }
  return key_not_found{};
}

void answer_store::expire(wall_time now)
{
  while (!by_deadline_.empty() && by_deadline_.begin()->first <= now) {
    erase_kept(answer_key(by_deadline_.begin()->second));
  }
}

wall_time answer_store::next_deadline() const
{
  return by_deadline_.empty() ? wall_time::max() : by_deadline_.begin()->first;
}

std::vector<answer_store::entry> answer_store::kept_answers() const
{
  std::vector<entry> all;
  all.reserve(kept_.size());
  for (auto it = by_deadline_.rbegin(); it != by_deadline_.rend(); ++it) {
    const auto& found = kept_.at(it->second);
    all.push_back(
        {.key = it->second, .body = found.body, .answer = found.answer, .until = found.until});
  }
  return all;
}

void answer_store::erase_kept(const answer_key& key)
{
  const auto it = kept_.find(key);
  if (it == kept_.end()) {
    return;
  }
  bytes_ -= it->second.size;
  by_deadline_.erase({it->second.until, key});
  kept_.erase(it);
}

void answer_store::evict_until_fits(std::size_t size)
{
  // Evicts the answers with the earliest deadlines, which would expire first anyway.
  while (bytes_ + size > options_.max_bytes) {
    erase_kept(answer_key(by_deadline_.begin()->second));
  }
}

} // namespace wisteriaflow::requests
