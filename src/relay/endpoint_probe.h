// Checks whether an endpoint's process still listens, by opening a TCP connection.
//
// When an endpoint ends, many calls fail at once: concurrent probes of one address share
// connections. That it still listens is told only by a connection begun after the question.
//
//   endpoint_probe probes(context);
//   if (co_await probes.probe(address) == probe_verdict::ended) { ... }

#ifndef WISTERIAFLOW_SRC_RELAY_ENDPOINT_PROBE_H_
#define WISTERIAFLOW_SRC_RELAY_ENDPOINT_PROBE_H_

#include <map>
#include <memory>
#include <optional>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "wisteriaflow/gateway/answer_end.h"
#include "wisteriaflow/http/message.h"

namespace wisteriaflow::relay {

using gateway::probe_verdict;

// Not thread-safe.
class endpoint_probe {
 public:
  explicit endpoint_probe(boost::asio::io_context& context) : context_(context) {}

  // Probes the address. Takes a few milliseconds, or about 100 ms if there is no reply, and twice
  // that if another probe was under way. Does not throw: every other failure is `unknown`.
  boost::asio::awaitable<probe_verdict> probe(http::socket_address address);

 private:
  // A connection that is being opened. `finished` is a timer that never expires and is cancelled
  // when the verdict is known.
  struct pending_probe {
    explicit pending_probe(boost::asio::io_context& context) : finished(context) {}

    boost::asio::steady_timer finished;
    std::optional<probe_verdict> verdict;
  };

  boost::asio::awaitable<probe_verdict> await_verdict(std::shared_ptr<pending_probe> running);
  boost::asio::awaitable<probe_verdict> probe_anew(http::socket_address address);
  boost::asio::awaitable<probe_verdict> connect(http::socket_address address);

  boost::asio::io_context& context_;
  std::map<http::socket_address, std::shared_ptr<pending_probe>> pending_;
};

} // namespace wisteriaflow::relay

#endif // WISTERIAFLOW_SRC_RELAY_ENDPOINT_PROBE_H_
