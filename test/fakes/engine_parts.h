// What a fake model engine computes with: tokens, prefix hashes and a prefix cache of bounded size.

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

// Words in one block of the prefix cache.
constexpr std::size_t block_words = 16;

// Token number `index` of the answer of `model` to `prompt`: a word and a blank.
[[nodiscard]] std::string token_text(std::string_view model, std::string_view prompt,
                                     std::size_t index);

// Tokens `first` up to `last` (not included), joined.
[[nodiscard]] std::string tokens_text(std::string_view model, std::string_view prompt,
                                      std::size_t first, std::size_t last);

// The number of words of `text`: the fake's prompt tokens.
[[nodiscard]] std::size_t count_words(std::string_view text);

// A hash for each whole block of `prompt`, of the model and all words up to the block's end:
// hash64_of(word, seed) chained over the words, the first seed being hash64_of(model).
[[nodiscard]] std::vector<std::uint64_t> block_hashes(std::string_view model,
                                                      std::string_view prompt);

// Names what `model` answers to `prompt`.
[[nodiscard]] std::uint64_t answer_hash(std::string_view model, std::string_view prompt);

// The name of a prefix hash in cache events: 16 hexadecimal digits.
[[nodiscard]] std::string hash_name(std::uint64_t hash);

// An entry of the list of cache events.
struct cache_event {
  std::int64_t sequence = 0;
  std::uint64_t prefix_hash = 0;
  bool stored = true; // else evicted
  wall_time at;
};

// Blocks by least recent use.
class prefix_cache {
 public:
  explicit prefix_cache(std::size_t capacity) : capacity_(capacity) {}

  // How many leading blocks of `blocks` are cached.
  [[nodiscard]] std::size_t match(const std::vector<std::uint64_t>& blocks) const;

  // Caches `blocks`, evicting those unused for longest.
  void store(const std::vector<std::uint64_t>& blocks, wall_time now);

  [[nodiscard]] std::size_t size() const { return places_.size(); }
  [[nodiscard]] std::size_t capacity() const { return capacity_; }
  [[nodiscard]] const std::vector<cache_event>& events() const { return events_; }

 private:
  void note(std::uint64_t hash, bool stored, wall_time now);

  std::size_t capacity_;
  std::list<std::uint64_t> by_use_; // the latest used first
  std::map<std::uint64_t, std::list<std::uint64_t>::iterator> places_;
  std::vector<cache_event> events_;
};

} // namespace wisteriaflow::fakes

#endif // WISTERIAFLOW_TEST_FAKES_ENGINE_PARTS_H_
