// Collects the tokens of one answer in order of their offsets, without duplicates or gaps.
//
//   stream_assembler answer;
//   answer.accept(1, "b"); // buffered
//   answer.accept(0, "a"); // appended; answer.text() is "ab"

#ifndef WISTERIAFLOW_REQUESTS_STREAM_ASSEMBLER_H_
#define WISTERIAFLOW_REQUESTS_STREAM_ASSEMBLER_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace wisteriaflow::requests {

// What `stream_assembler::accept` did with a token.
enum class token_result {
  appended,     // the answer grew by this token and by the buffered ones that follow it
  buffered,     // the token is ahead of the next offset and waits for the missing ones
  duplicate,    // a token with this offset was accepted before
  gap_too_wide, // the buffer is full; the missing tokens are considered lost
};

class stream_assembler {
 public:
  // Buffers at most `window` tokens that wait for a missing one.
  explicit stream_assembler(std::size_t window = 8) : window_(window) {}

  // Starts with the tokens that a peer collected before it handed the request over.
  explicit stream_assembler(std::vector<std::string> tokens, std::size_t window = 8);

  // Adds the token with number `offset` (from 0) of the complete answer.
  token_result accept(std::uint64_t offset, std::string text);

  // Discards the buffered tokens. For the start of another attempt, which sends them again.
  void drop_buffered() { buffered_.clear(); }

  // The offset of the next token, which is also the number of tokens collected.
  [[nodiscard]] std::uint64_t next_offset() const { return tokens_.size(); }

  [[nodiscard]] const std::vector<std::string>& tokens() const { return tokens_; }

  // The collected tokens, concatenated.
  [[nodiscard]] std::string text() const;

 private:
  std::size_t window_;
  std::vector<std::string> tokens_;
  std::map<std::uint64_t, std::string> buffered_;
};

} // namespace wisteriaflow::requests

#endif // WISTERIAFLOW_REQUESTS_STREAM_ASSEMBLER_H_
