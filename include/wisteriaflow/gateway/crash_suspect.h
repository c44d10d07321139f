// What may be to blame for the crash of an endpoint: the content of one request, or a part of its
// prompt that requests with other contents have, too.
//
//   for (const auto& [suspect, seen] : suspects_of(content, prompt)) { ... }

#ifndef WISTERIAFLOW_GATEWAY_CRASH_SUSPECT_H_
#define WISTERIAFLOW_GATEWAY_CRASH_SUSPECT_H_

#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <variant>

#include "wisteriaflow/gateway/answer_progress.h"
#include "wisteriaflow/gateway/call.h"
#include "wisteriaflow/gateway/request_content.h"

namespace wisteriaflow::gateway {

// Identifies a part of a prompt in all daemons. Whoever sends it, and whatever model, service or
// token count is stated with it, the text is the same.
struct prompt_part_id {
  std::uint64_t value = 0;

  friend auto operator<=>(const prompt_part_id&,
                          const prompt_part_id&) = default; // NOLINT(modernize-use-nullptr)
};

using crash_suspect = std::variant<content_id, prompt_part_id>;

// Progress of a request when its endpoint terminated.
enum class answer_stage {
  not_started, // neither an event nor a complete answer had arrived
  started,     // at least one event had arrived
};

// How a suspect was involved in a crash.
struct suspicion {
  answer_stage stage = answer_stage::not_started; // of the request with this content
  std::uint32_t depth = 0; // of a part: the number of parts before it in the prompt
  // Of a part: the process had answered requests with it before, so that it is not the cause.
  bool refuted = false;
  // Of a content: how far the furthest request with it had come at the process.
  answer_progress progress;
  // Of a content: how far requests with it have come at processes that outlived the crash. Nothing
  // if none is known to have run at another process when this one crashed.
  std::optional<answer_progress> outlived_by;

  // Whether it is known not to have caused the crash. A content that crashes endpoints does so at
  // the same point of each run, so that no request gets further.
  [[nodiscard]] bool is_refuted() const
  {
    return refuted || (outlived_by && is_further(*outlived_by, progress));
  }

  friend bool operator==(const suspicion&, const suspicion&) = default;
};

using suspicions = std::map<crash_suspect, suspicion>;

// The suspects of one request: its content, and the parts of its prompt but for the last, which
// belongs to this request alone. Of a very long prompt, only the parts next to the last.
[[nodiscard]] suspicions suspects_of(const content_id& content, std::span<const prompt_part> prompt,
                                     answer_stage stage = answer_stage::not_started);

[[nodiscard]] bool is_prompt_part(const crash_suspect& suspect);

// 32 hexadecimal digits for a content, 16 for a part.
[[nodiscard]] std::string to_string(const crash_suspect& suspect);

// Parses the output of to_string(); nothing if `text` has another form.
[[nodiscard]] std::optional<crash_suspect> parse_crash_suspect(std::string_view text);

} // namespace wisteriaflow::gateway

template <> struct std::hash<wisteriaflow::gateway::prompt_part_id> {
  std::size_t operator()(const wisteriaflow::gateway::prompt_part_id& part) const noexcept
  {
    return std::hash<std::uint64_t>{}(part.value);
  }
};

#endif // WISTERIAFLOW_GATEWAY_CRASH_SUSPECT_H_
