#include "wisteriaflow/gateway/running_answers.h"

namespace wisteriaflow::gateway {

std::vector<running_answer> running_answers::find(const content_id& content) const
{
  std::vector<running_answer> out;
  const auto [first, last] = answers_->equal_range(content);
  for (auto it = first; it != last; ++it) {
    out.push_back(it->second);
  }
  return out;
}

} // namespace wisteriaflow::gateway
