// Requests to endpoints. Passes the events of each exchange to its observer.

#ifndef WISTERIAFLOW_SRC_CORE_ENDPOINT_CALLS_H_
#define WISTERIAFLOW_SRC_CORE_ENDPOINT_CALLS_H_

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <utility>

#include "core/core_context.h"

namespace wisteriaflow::core::internal {

// Callbacks of one exchange. on_ended or on_failed is the last one to be called.
struct exchange_observer {
  std::function<void(const http::response& head)> on_head;
  std::function<void(const std::string& bytes)> on_bytes;
  std::function<void()> on_ended;
  std::function<void(exchange_failure)> on_failed;
};

class endpoint_calls {
 public:
  explicit endpoint_calls(core_context& context) : context_(context) {}

  // Sends a request and passes the response to `observer`. With `streamed`, body bytes are passed
  // on as they arrive.
  exchange_number open(const http::socket_address& to, http::request message, mono_time deadline,
                       bool streamed, exchange_observer observer);

  // Sends a request and passes the complete response to `done`, or nothing if the exchange failed.
  void call(const http::socket_address& to, http::request message, mono_time deadline,
            std::function<void(const std::optional<http::response>&)> done);

  // Cancels an exchange. Its observer is not called any more.
  void cancel(exchange_number exchange);

  void on(const exchange_head& e);
  void on(const exchange_bytes& e);
  void on(const exchange_ended& e);
  void on(const exchange_failed& e);

 private:
  core_context& context_;
  std::map<exchange_number, exchange_observer> open_;
  exchange_number last_ = 0;
};

} // namespace wisteriaflow::core::internal

#endif // WISTERIAFLOW_SRC_CORE_ENDPOINT_CALLS_H_
