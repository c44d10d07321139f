#include "wisteriaflow/load/prompt_placement.h"

namespace wisteriaflow::load {
std::string_view to_string(choice_reason reason)
{
  switch (reason) {
  case choice_reason::own_engine:
    return "own_engine";
  case choice_reason::overflow:
    return "overflow";
  case choice_reason::prefix:
    return "prefix";
  case choice_reason::load:
    return "load";
  }
  return "unknown";
}

choice_reason reason_of(const placed_prompt& prompt, const placement_engine& engine,
                        int cached_tokens)
{
  if (prompt.is_long() && engine.is_own) {
    return choice_reason::own_engine;
  }
  if (cached_tokens > 0) {
    return choice_reason::prefix;
  }
  return prompt.is_long() ? choice_reason::overflow : choice_reason::load;
}

} // namespace wisteriaflow::load
