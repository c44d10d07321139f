// Checks whether an endpoint's process still listens, by opening a TCP connection.
//
// When an endpoint ends, many calls fail at once: concurrent probes of one address share one
// connection.
//
//   endpoint_probe probes(context);
//   if (co_await probes.probe(address) == probe_verdict::ended) { ... }

#ifndef WISTERIAFLOW_SRC_RELAY_ENDPOINT_PROBE_H_
#define WISTERIAFLOW_SRC_RELAY_ENDPOINT_PROBE_H_

#include <map>
#include <memory>
#include <optional>
#include <string_view>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "wisteriaflow/http/message.h"

namespace wisteriaflow::relay {

// Result of the connection attempt.
enum class probe_verdict {
  listens, // the connection was accepted
  ended,   // the connection was refused: no process listens there
  unknown, // no reply in time: the network may be cut, or the instance has lost power
};

// The name of the enumerator, as in metrics and log lines.
[[nodiscard]] std::string_view to_string(probe_verdict verdict);

// Not thread-safe.
class endpoint_probe {
 public:
  explicit endpoint_probe(boost::asio::io_context& context) : context_(context) {}

  // Probes the address. Takes a few milliseconds, or about 100 ms if there is no reply. Does not
  // throw: every other failure is `unknown`.
  boost::asio::awaitable<probe_verdict> probe(http::socket_address address);

 private:
  // A connection that is being opened. `finished` is a timer that never expires and is cancelled
  // when the verdict is known.
  struct pending_probe {
    explicit pending_probe(boost::asio::io_context& context) : finished(context) {}

    boost::asio::steady_timer finished;
    std::optional<probe_verdict> verdict;
  };

  boost::asio::awaitable<probe_verdict> connect(http::socket_address address);

  boost::asio::io_context& context_;
  std::map<http::socket_address, std::shared_ptr<pending_probe>> pending_;
};

} // namespace wisteriaflow::relay

#endif // WISTERIAFLOW_SRC_RELAY_ENDPOINT_PROBE_H_
