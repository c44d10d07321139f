#include "wisteriaflow/requests/stream_assembler.h"

#include <utility>

namespace wisteriaflow::requests {

stream_assembler::stream_assembler(std::vector<std::string> tokens, std::size_t window)
    : window_(window), tokens_(std::move(tokens))
{
}

token_result stream_assembler::accept(std::uint64_t offset, std::string text)
{
  if (offset < next_offset() || buffered_.contains(offset)) {
    return token_result::duplicate;
  }
  if (offset > next_offset()) {
    if (buffered_.size() >= window_) {
      return token_result::gap_too_wide;
    }
    buffered_.emplace(offset, std::move(text));
    return token_result::buffered;
  }
  tokens_.push_back(std::move(text));
  for (auto it = buffered_.begin(); it != buffered_.end() && it->first == next_offset();) {
    tokens_.push_back(std::move(it->second));
    it = buffered_.erase(it);
  }
  return token_result::appended;
}

std::string stream_assembler::text() const
{
  std::string all;
  for (const auto& token : tokens_) {
    all += token;
  }
  return all;
}

} // namespace wisteriaflow::requests
