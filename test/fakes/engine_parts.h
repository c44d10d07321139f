// Building blocks of fake_model_engine: deterministic tokens, prefix hashes and an LRU prefix cache
// of bounded size. One word of a text counts as one token.
//
//   tokens_text("m", prompt, 0, 5);              // the first five tokens of the answer
//   prefix_cache cache(1024);
//   cache.insert(block_hashes("m", prompt), wall_now());

#ifndef WISTERIAFLOW_TEST_FAKES_ENGINE_PARTS_H_
#define WISTERIAFLOW_TEST_FAKES_ENGINE_PARTS_H_

#include <cstddef>
#include <cstdint>
#include <list>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "wisteriaflow/base/time.h"

namespace wisteriaflow::fakes {

// Tokens (words) in one block of the prefix cache.
constexpr std::size_t block_words = 16;

// Returns token `index`, counted from 0, of the answer of `model` to `prompt`: a word followed by a
// space. The same arguments always give the same token.
[[nodiscard]] std::string token_text(std::string_view model, std::string_view prompt,
                                     std::size_t index);

// Returns the concatenated tokens in the half-open range [`first`, `last`).
[[nodiscard]] std::string tokens_text(std::string_view model, std::string_view prompt,
                                      std::size_t first, std::size_t last);

// Returns the number of words in `text`, which the fake reports as the number of tokens.
[[nodiscard]] std::size_t count_words(std::string_view text);

// Returns one hash per complete block of `prompt`. Each hash covers the model and all words up to
// the end of the block: hash64_of(word, seed) chained over the words, with hash64_of(model) as the
// first seed.
[[nodiscard]] std::vector<std::uint64_t> block_hashes(std::string_view model,
                                                      std::string_view prompt);

// Returns a hash that identifies the answer of `model` to `prompt`.
[[nodiscard]] std::uint64_t answer_hash(std::string_view model, std::string_view prompt);

// Formats a prefix hash as in cache events: 16 hexadecimal digits.
[[nodiscard]] std::string hash_hex(std::uint64_t hash);

// One change of the prefix cache. Sequence numbers start at 1 and have no gaps.
struct cache_event {
  std::int64_t sequence = 0;
  std::uint64_t prefix_hash = 0;
  bool stored = true; // false: evicted
  wall_time at;
};

// A cache of prefix blocks that evicts the least recently used block.
class prefix_cache {
 public:
  // `capacity` is the number of blocks.
  explicit prefix_cache(std::size_t capacity) : capacity_(capacity) {}

  // Returns how many of `blocks` are cached, counted from the first up to the first one missing.
  [[nodiscard]] std::size_t match(const std::vector<std::uint64_t>& blocks) const;

  // Adds `blocks` or marks them as used, then evicts the least recently used ones over the
  // capacity.
  void insert(const std::vector<std::uint64_t>& blocks, wall_time now);

  [[nodiscard]] std::size_t size() const { return positions_.size(); }
  [[nodiscard]] std::size_t capacity() const { return capacity_; }
  [[nodiscard]] const std::vector<cache_event>& events() const { return events_; }

 private:
  void record_event(std::uint64_t hash, bool stored, wall_time now);

  std::size_t capacity_;
  std::list<std::uint64_t> lru_; // most recently used first
  std::map<std::uint64_t, std::list<std::uint64_t>::iterator> positions_;
  std::vector<cache_event> events_;
};

} // namespace wisteriaflow::fakes

#endif // WISTERIAFLOW_TEST_FAKES_ENGINE_PARTS_H_
