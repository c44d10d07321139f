// A caller of the fleet, as customers write it: blocking HTTP, streams followed by plain HTTP.

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

// What came back of one HTTP exchange.
struct reply {
  bool sent = false;  // whether the connection was opened
  bool whole = false; // whether the response ended as it should
  int status = 0;
  http::headers fields;
  std::string body;

  // The header Wisteriaflow-Outcome; "none" without one.
  [[nodiscard]] std::string outcome() const;
};

// Sends `message` and waits for the whole response. `on_bytes`, if set, sees the body arrive.
[[nodiscard]] reply call(const std::string& address, const http::request& message,
                         const std::function<void(std::string_view)>& on_bytes = {});

// A stream put together from all the exchanges it took.
struct streamed_answer {
  std::string text;
  std::size_t tokens = 0;
  bool in_order = true; // every token's offset was the next one
  bool done = false;    // [DONE] came
  bool cut = false;     // an exchange broke off without a last event
  int moves = 0;        // redirections followed
  std::string error;    // the data of `event: error`, or the body of a refusal
  std::string outcome;  // of a response that was no stream
};

// Sends a streamed request and follows `event: moved` and 303 with Last-Event-ID. `seen`, if not
// null, counts the tokens as they arrive.
[[nodiscard]] streamed_answer follow_stream(const std::string& address,
                                            const http::request& message,
                                            std::atomic<int>* seen = nullptr);

// Sends a request and follows 303, up to a few times.
[[nodiscard]] reply call_following(const std::string& address, const http::request& message);

// A version 7 UUID, made now.
[[nodiscard]] std::string make_key();

} // namespace wisteriaflow::system_tests

#endif // WISTERIAFLOW_TEST_SYSTEM_CALLER_H_
