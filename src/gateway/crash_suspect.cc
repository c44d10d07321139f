#include "wisteriaflow/gateway/crash_suspect.h"

#include <algorithm>

#include "wisteriaflow/base/hex.h"

namespace wisteriaflow::gateway {
namespace {

// Parts of one prompt that are suspects: a caller may state thousands.
constexpr std::size_t max_parts_per_prompt = 16;

struct text_of {
  std::string operator()(const content_id& content) const { return to_string(content); }
  std::string operator()(const prompt_part_id& part) const { return to_hex(part.value); }
};

} // namespace

suspicions suspects_of(const content_id& content, std::span<const prompt_part> prompt,
                       answer_stage stage)
{
  suspicions out{{content, {.stage = stage}}};
  const auto shared = prompt.empty() ? 0 : prompt.size() - 1;
  for (auto i = shared - std::min(shared, max_parts_per_prompt); i < shared; ++i) {
    out.insert_or_assign(prompt_part_id{prompt[i].id},
                         suspicion{.depth = static_cast<std::uint32_t>(i)});
  }
  return out;
}

bool is_prompt_part(const crash_suspect& suspect)
{
  return std::holds_alternative<prompt_part_id>(suspect);
}

std::string to_string(const crash_suspect& suspect)
{
  return std::visit(text_of{}, suspect);
}

std::optional<crash_suspect> parse_crash_suspect(std::string_view text)
{
  if (const auto content = parse_content_id(text)) {
    return *content;
  }
  if (const auto part = parse_hex(text)) {
    return prompt_part_id{*part};
  }
  return std::nullopt;
}

} // namespace wisteriaflow::gateway
