// A blocking HTTP client of the fleet, as a customer might write it. It follows a stream that moves
// to another daemon by plain HTTP.
//
//   const auto answer = follow_stream(f.address_of("d1"), completion_request({.max_tokens = 10}));
//   answer.done; // the stream ended with [DONE]

#ifndef WISTERIAFLOW_TEST_SYSTEM_CALLER_H_
#define WISTERIAFLOW_TEST_SYSTEM_CALLER_H_

#include <atomic>
#include <cstddef>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

#include "wisteriaflow/http/message.h"

namespace wisteriaflow::system_tests {

// The result of one HTTP exchange.
struct reply {
  bool connected = false;   // the connection was opened
  bool is_complete = false; // the response was received to its end
  int status = 0;
  http::headers fields;
  std::string body;

  // Returns the header Wisteriaflow-Outcome; "none" without it.
  [[nodiscard]] std::string outcome() const;
};

// Sends `message` and waits for the complete response, at most 120 s. `on_bytes`, if set, is called
// with each part of the body as it arrives.
[[nodiscard]] reply call(const std::string& address, const http::request& message,
                         const std::function<void(std::string_view)>& on_bytes = {});

// A streamed answer, assembled from all exchanges that it took.
struct streamed_answer {
  std::string text;
  std::size_t tokens = 0;
  bool in_order = true;   // each token had the offset that follows the last one
  bool done = false;      // [DONE] was received
  bool truncated = false; // the last exchange ended before its response was complete
  int redirects = 0;      // redirects followed: `event: moved` and 303
  // The data of `event: error`, the body of a response that is no stream, or "too many redirects".
  std::string error;
  std::string outcome; // reply::outcome() of a response that is no stream
};

// Sends a streamed request and follows `event: moved` and 303, up to ten times, with
// Last-Event-ID. `token_count`, if not null, is incremented for each token as it arrives.
[[nodiscard]] streamed_answer follow_stream(const std::string& address,
                                            const http::request& message,
                                            std::atomic<int>* token_count = nullptr);

// Sends a request and follows 303, up to ten times.
[[nodiscard]] reply call_following_redirects(const std::string& address,
                                             const http::request& message);

// Returns a new idempotency key: a version 7 UUID with the present time.
[[nodiscard]] std::string make_key();

} // namespace wisteriaflow::system_tests

#endif // WISTERIAFLOW_TEST_SYSTEM_CALLER_H_
