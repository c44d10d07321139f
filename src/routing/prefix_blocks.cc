#include "wisteriaflow/routing/prefix_blocks.h"

#include "wisteriaflow/base/hash.h"

namespace wisteriaflow::routing {
namespace {

constexpr std::string_view white_space = " \t\n\v\f\r";

// Removes the next word from `text` and returns it; empty if there is none.
std::string_view take_word(std::string_view& text)
{
  const auto first = text.find_first_not_of(white_space);
  if (first == std::string_view::npos) {
    text = {};
    return {};
  }
  text.remove_prefix(first);
  const auto word = text.substr(0, text.find_first_of(white_space));
  text.remove_prefix(word.size());
  return word;
}

} // namespace

std::vector<std::uint64_t> prefix_block_hashes(const model_id& model, std::string_view prompt)
{
  std::vector<std::uint64_t> hashes;
  std::uint64_t previous = hash64_of(model.value());
  std::size_t words = 0;
  for (auto word = take_word(prompt); !word.empty(); word = take_word(prompt)) {
    previous = hash64_of(word, previous);
    ++words;
    if (words % prefix_block_words == 0) {
      hashes.push_back(previous);
    }
    if (hashes.size() == max_prefix_blocks) {
      break;
    }
  }
  return hashes;
}

} // namespace wisteriaflow::routing
