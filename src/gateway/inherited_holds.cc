#include "wisteriaflow/gateway/inherited_holds.h"

namespace wisteriaflow::gateway {

void inherited_holds::add(const crash_suspect& suspect, const crash_hold& hold, mono_time now)
{
  if (is_prompt_part(suspect) || hold.is_contested) {
    entries_[suspect] = {.crashed = hold.crashed, .doubtful_from = now + min_age};
  }
}

void inherited_holds::on_call(const suspicions& suspects)
{
  for (auto& [suspect, it] : entries_) {
    ++it.calls;
    it.calls_with_part += suspects.contains(suspect) ? 1 : 0;
  }
}

bool inherited_holds::is_doubtful(const crash_suspect& suspect, const crash_hold& hold,
                                  mono_time now) const
{
  const auto found = entries_.find(suspect);
  if (found == entries_.end() || found->second.crashed != hold.crashed) {
    return false;
  }
  const auto& it = found->second;
  const bool is_in_most_calls =
      it.calls >= min_calls &&
      static_cast<double>(it.calls_with_part) >= min_share * static_cast<double>(it.calls);
  return it.doubtful_from <= now && (!is_prompt_part(suspect) || is_in_most_calls);
}

} // namespace wisteriaflow::gateway
