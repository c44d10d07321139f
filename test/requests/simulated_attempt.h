// The expected answer, the state of a simulated attempt and the source of random numbers for
// `lifecycle_simulation`.

#ifndef WISTERIAFLOW_TEST_REQUESTS_SIMULATED_ATTEMPT_H_
#define WISTERIAFLOW_TEST_REQUESTS_SIMULATED_ATTEMPT_H_

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

// Takes the numbers of a random script one after another. An exhausted script yields 0.
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

// State of an attempt as its endpoint knows it. The request under test sees only events.
struct simulated_attempt {
  std::uint64_t next_token = 0;  // offset of the token that the engine sends next
  bool bytes_sent = false;       // bytes of the request have reached the endpoint
  bool failed_unsent = false;    // failed before a byte was sent; none ever will be
  bool stream_ended = false;     // the endpoint has ended the stream
  bool cancel_succeeded = false; // the endpoint has confirmed a cancel
};

} // namespace wisteriaflow::requests

#endif // WISTERIAFLOW_TEST_REQUESTS_SIMULATED_ATTEMPT_H_
