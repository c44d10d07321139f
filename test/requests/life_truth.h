// The reference answer, and what is true of an attempt, for the random world of a request's life.

#ifndef WISTERIAFLOW_TEST_REQUESTS_LIFE_TRUTH_H_
#define WISTERIAFLOW_TEST_REQUESTS_LIFE_TRUTH_H_

#include <cstdint>
#include <string>
#include <vector>

namespace wisteriaflow::requests {

inline constexpr std::uint64_t answer_tokens = 12;

inline std::string reference_token(std::uint64_t offset)
{
  return "<" + std::to_string(offset) + ">";
}

inline std::string reference_text()
{
  std::string text;
  for (std::uint64_t i = 0; i < answer_tokens; ++i) {
    text += reference_token(i);
  }
  return text;
}

// Numbers of one script, taken from its front.
class script_reader {
 public:
  explicit script_reader(const std::vector<std::uint32_t>& script) : script_(script) {}
  [[nodiscard]] bool empty() const { return at_ >= script_.size(); }
  std::uint32_t below(std::uint32_t n) { return empty() ? 0 : script_[at_++] % n; }
  bool coin() { return below(2) == 1; }

 private:
  const std::vector<std::uint32_t>& script_;
  std::size_t at_ = 0;
};

struct attempt_truth {
  std::uint64_t next = 0; // token that the engine sends next
  bool sent = false;      // bytes have reached the endpoint
  bool dead = false;      // failed without a byte sent: it never will
  bool over = false;      // the endpoint has ended the stream
  bool stopped = false;   // cancelled, confirmed
};

} // namespace wisteriaflow::requests

#endif // WISTERIAFLOW_TEST_REQUESTS_LIFE_TRUTH_H_
