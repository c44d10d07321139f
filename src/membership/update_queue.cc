#include "wisteriaflow/membership/internal/update_queue.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace wisteriaflow::membership::internal {
namespace {

// The number of copies that each daemon must send so that a record reaches nearly all of `n`
// members. Urgent records are sent more often.
int copies_to_reach(std::size_t n)
{
  return 2 + static_cast<int>(std::log(1.0 + static_cast<double>(n)));
}

} // namespace

update_queue::update_queue(update_queue_options options, const membership_view& view)
    : options_(options), view_(view)
{
}

void update_queue::set_urgent_pushes(queued_update& n, int pushes)
{
  urgent_count_ -= n.urgent_pushes_left > 0 ? 1 : 0;
  n.urgent_pushes_left = pushes;
  urgent_count_ += n.urgent_pushes_left > 0 ? 1 : 0;
}

void update_queue::add(const member& m)
{
  auto& n = updates_[m.key];
  n.copies_sent = 0;
  set_urgent_pushes(n, m.state == member_state::leaving ? options_.urgent_pushes : 0);
}

void update_queue::remove(const member_key& key)
{
  const auto it = updates_.find(key);
  if (it != updates_.end()) {
    set_urgent_pushes(it->second, 0);
    updates_.erase(it);
  }
}

std::vector<member> update_queue::select_records(std::vector<item*>& picked) const
{
  if (picked.size() > options_.max_records) {
    const auto end = picked.begin() + static_cast<std::ptrdiff_t>(options_.max_records);
    std::ranges::nth_element(picked, end, {}, [](const item* i) { return i->second.copies_sent; });
    picked.erase(end, picked.end());
  }
  std::vector<member> records;
  records.reserve(picked.size());
  for (const item* i : picked) {
    const member* m = view_.find(i->first);
    records.push_back(m->state == member_state::live ? *m : without_attributes(*m));
  }
  return records;
}

std::vector<member> update_queue::take()
{
  std::vector<item*> picked;
  for (auto& i : updates_) {
    picked.push_back(&i);
  }
  auto records = select_records(picked);
  for (item* i : picked) {
    ++i->second.copies_sent;
  }
  remove_disseminated();
  return records;
}

std::vector<member> update_queue::take_urgent(int fanout)
{
  std::vector<item*> picked;
  for (auto& i : updates_) {
    if (i.second.urgent_pushes_left > 0) {
      picked.push_back(&i);
    }
  }
  auto records = select_records(picked);
  for (item* i : picked) {
    i->second.copies_sent += fanout;
    set_urgent_pushes(i->second, i->second.urgent_pushes_left - 1);
  }
  return records;
}

void update_queue::remove_disseminated()
{
  const int copies_needed = copies_to_reach(view_.size());
  std::erase_if(updates_, [copies_needed](const item& i) {
    return i.second.copies_sent >= copies_needed && i.second.urgent_pushes_left == 0;
  });
}

} // namespace wisteriaflow::membership::internal
