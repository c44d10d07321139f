#include "wisteriaflow/requests/stream_assembler.h"

#include <utility>

namespace wisteriaflow::requests {

stream_assembler::stream_assembler(std::vector<std::string> tokens, std::size_t window)
    : window_(window), tokens_(std::move(tokens))
{
}

chunk_result stream_assembler::accept(std::uint64_t offset, std::string text)
{
  if (offset < next_offset() || held_.contains(offset)) {
    return chunk_result::duplicate;
  }
  if (offset > next_offset()) {
    if (held_.size() >= window_) {
      return chunk_result::gap_too_wide;
    }
    held_.emplace(offset, std::move(text));
    return chunk_result::held;
  }
  tokens_.push_back(std::move(text));
  for (auto it = held_.begin(); it != held_.end() && it->first == next_offset();) {
    tokens_.push_back(std::move(it->second));
    it = held_.erase(it);
  }
  return chunk_result::appended;
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
