// Puts the tokens of one answer in order: each offset once, none missing.

#ifndef WISTERIAFLOW_REQUESTS_STREAM_ASSEMBLER_H_
#define WISTERIAFLOW_REQUESTS_STREAM_ASSEMBLER_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace wisteriaflow::requests {

// What became of a token.
enum class chunk_result {
  appended,     // the answer grew by this token, and by held ones behind it
  held,         // it is ahead of the next offset and waits for those before it
  duplicate,    // its offset was seen before
  gap_too_wide, // too many tokens wait: what is missing will not come any more
};

class stream_assembler {
 public:
  // At most `window` tokens wait for a missing one.
  explicit stream_assembler(std::size_t window = 8) : window_(window) {}

  // Starts with the tokens of an earlier holder.
  explicit stream_assembler(std::vector<std::string> tokens, std::size_t window = 8);

  // Takes the token with number `offset` of the whole answer.
  chunk_result accept(std::uint64_t offset, std::string text);

  // Forgets the waiting tokens, because another attempt sends them again.
  void drop_held() { held_.clear(); }

  // The number of the next token, which is how many there are.
  [[nodiscard]] std::uint64_t next_offset() const { return tokens_.size(); }

  [[nodiscard]] const std::vector<std::string>& tokens() const { return tokens_; }

  // The answer so far as one text.
  [[nodiscard]] std::string text() const;

 private:
  std::size_t window_;
  std::vector<std::string> tokens_;
  std::map<std::uint64_t, std::string> held_;
};

} // namespace wisteriaflow::requests

#endif // WISTERIAFLOW_REQUESTS_STREAM_ASSEMBLER_H_
