#include "wisteriaflow/membership/internal/news_board.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace wisteriaflow::membership::internal {
namespace {

// Copies by everybody that reach nearly all of `n` members. Urgent records are sent oftener.
int copies_to_reach(std::size_t n)
{
  return 2 + static_cast<int>(std::log(1.0 + static_cast<double>(n)));
}

} // namespace

news_board::news_board(news_board_options options, const membership_view& view)
    : options_(options), view_(view)
{
}

void news_board::set_pushes(news& n, int pushes)
{
  urgent_ -= n.urgent_pushes > 0 ? 1 : 0;
  n.urgent_pushes = pushes;
  urgent_ += n.urgent_pushes > 0 ? 1 : 0;
}

void news_board::add(const member& m)
{
  auto& n = news_[m.key];
  n.copies = 0;
  set_pushes(n, m.state == member_state::leaving ? options_.urgent_pushes : 0);
}

void news_board::remove(const member_key& key)
{
  const auto it = news_.find(key);
  if (it != news_.end()) {
    set_pushes(it->second, 0);
    news_.erase(it);
  }
}

std::vector<member> news_board::records_of(std::vector<item*>& picked) const
{
  if (picked.size() > options_.max_records) {
    const auto end = picked.begin() + static_cast<std::ptrdiff_t>(options_.max_records);
    std::ranges::nth_element(picked, end, {}, [](const item* i) { return i->second.copies; });
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

std::vector<member> news_board::take()
{
  std::vector<item*> picked;
  for (auto& i : news_) {
    picked.push_back(&i);
  }
  auto records = records_of(picked);
  for (item* i : picked) {
    ++i->second.copies;
  }
  remove_spread();
  return records;
}

std::vector<member> news_board::take_urgent(int fanout)
{
  std::vector<item*> picked;
  for (auto& i : news_) {
    if (i.second.urgent_pushes > 0) {
      picked.push_back(&i);
    }
  }
  auto records = records_of(picked);
  for (item* i : picked) {
    i->second.copies += fanout;
    set_pushes(i->second, i->second.urgent_pushes - 1);
  }
  return records;
}

void news_board::remove_spread()
{
  const int enough = copies_to_reach(view_.size());
  std::erase_if(news_, [enough](const item& i) {
    return i.second.copies >= enough && i.second.urgent_pushes == 0;
  });
}

} // namespace wisteriaflow::membership::internal
