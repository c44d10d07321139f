// The KV memory of an engine: the tokens of its calls that are resident there, against the declared
// capacity. An engine whose memory is full preempts a call, whose prompt is then prefilled again.
//
//   const auto size = bounded_size({.prompt = 9'000, .output = 300}, capacity);
//   if (overflows({.resident = 420'000, .capacity = capacity}, size.total())) { ... }

#ifndef WISTERIAFLOW_LOAD_KV_MEMORY_H_
#define WISTERIAFLOW_LOAD_KV_MEMORY_H_

#include <cstdint>

namespace wisteriaflow::load {

// Size of a call in tokens, as its caller states it.
struct call_size {
  std::uint64_t prompt = 0;
  std::uint64_t output = 0; // expected

  [[nodiscard]] std::uint64_t total() const { return prompt + output; }

  friend bool operator==(const call_size&, const call_size&) = default;
};

// Largest size that is believed where no memory is declared.
inline constexpr std::uint64_t max_call_tokens = 100'000'000;

// The size, bounded by what an engine can hold, `capacity` tokens; 0: not declared. Callers may
// state any number, and no call can use more.
[[nodiscard]] call_size bounded_size(const call_size& stated, std::uint64_t capacity);

// The memory of one engine, in tokens.
struct kv_memory {
  std::uint64_t resident = 0; // of the calls there, including their expected output
  std::uint64_t capacity = 0; // 0: not declared
};

// Whether a call that adds `tokens` does not fit.
[[nodiscard]] constexpr bool overflows(const kv_memory& memory, std::uint64_t tokens)
{
  return memory.capacity > 0 &&
         (tokens > memory.capacity || memory.resident > memory.capacity - tokens);
}

} // namespace wisteriaflow::load

#endif // WISTERIAFLOW_LOAD_KV_MEMORY_H_
