#include "engine_parts.h"

#include <iomanip>
#include <sstream>

#include "wisteriaflow/base/hash.h"

namespace wisteriaflow::fakes {
namespace {

constexpr int hex_digits = 16;
constexpr std::size_t syllables = 3; // per word
constexpr std::string_view consonants = "bdfgklmnprstvz";
constexpr std::string_view vowels = "aeiou";

} // namespace

std::string token_text(std::string_view model, std::string_view prompt, std::size_t index)
{
  auto bits = hash64_of(prompt, hash64_of(model, index));
  std::string out;
  for (std::size_t i = 0; i < syllables; ++i) {
    out += consonants[bits % consonants.size()];
    bits /= consonants.size();
    out += vowels[bits % vowels.size()];
    bits /= vowels.size();
  }
  return out + " ";
}

std::string tokens_text(std::string_view model, std::string_view prompt, std::size_t first,
                        std::size_t last)
{
  std::string out;
  for (std::size_t i = first; i < last; ++i) {
    out += token_text(model, prompt, i);
  }
  return out;
}

std::size_t count_words(std::string_view text)
{
  std::istringstream words{std::string(text)};
  std::string word;
  std::size_t n = 0;
  while (words >> word) {
    ++n;
  }
  return n;
}

std::vector<std::uint64_t> block_hashes(std::string_view model, std::string_view prompt)
{
  std::istringstream words{std::string(prompt)};
  std::string word;
  std::vector<std::uint64_t> out;
  auto hash = hash64_of(model);
  std::size_t n = 0;
  while (words >> word) {
    hash = hash64_of(word, hash);
    ++n;
    if (n % block_words == 0) {
      out.push_back(hash);
    }
  }
  return out;
}

std::uint64_t answer_hash(std::string_view model, std::string_view prompt)
{
  return hash64_of(prompt, hash64_of(model));
}

std::string hash_hex(std::uint64_t hash)
{
  std::ostringstream out;
  out << std::hex << std::setw(hex_digits) << std::setfill('0') << hash;
  return out.str();
}

std::size_t prefix_cache::match(const std::vector<std::uint64_t>& blocks) const
{
  std::size_t n = 0;
  while (n < blocks.size() && positions_.contains(blocks[n])) {
    ++n;
  }
  return n;
}

void prefix_cache::insert(const std::vector<std::uint64_t>& blocks, wall_time now)
{
  // Last block first, so that a prefix is evicted after the blocks that extend it.
  for (auto it = blocks.rbegin(); it != blocks.rend(); ++it) {
    const auto known = positions_.find(*it);
    if (known != positions_.end()) {
      lru_.erase(known->second);
    } else {
      record_event(*it, true, now);
    }
    lru_.push_front(*it);
    positions_[*it] = lru_.begin();
  }
  while (positions_.size() > capacity_) {
    record_event(lru_.back(), false, now);
    positions_.erase(lru_.back());
    lru_.pop_back();
  }
}

void prefix_cache::record_event(std::uint64_t hash, bool stored, wall_time now)
{
  const auto sequence = static_cast<std::int64_t>(events_.size()) + 1;
  events_.push_back({.sequence = sequence, .prefix_hash = hash, .stored = stored, .at = now});
}

} // namespace wisteriaflow::fakes
