// Asks whether an endpoint's process still listens, by opening a connection.
//
// Many calls break off at once when an endpoint ends: those that ask about one address at the same
// time share one connection.

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

// What a connection to the address came to.
enum class probe_verdict {
  listens, // it was accepted
  ended,   // it was refused: nobody listens there
  unknown, // no word in time: the way may be cut, or the instance has lost power
};

[[nodiscard]] std::string_view to_string(probe_verdict verdict);

// Not thread-safe.
class endpoint_probe {
 public:
  explicit endpoint_probe(boost::asio::io_context& context) : context_(context) {}

  // Takes a few milliseconds, or a tenth of a second without an answer.
  boost::asio::awaitable<probe_verdict> ask(http::socket_address address);

 private:
  // One connection that is being opened; `done` is cancelled when it is known what it came to.
  struct question {
    explicit question(boost::asio::io_context& context) : done(context) {}

    boost::asio::steady_timer done;
    std::optional<probe_verdict> verdict;
  };

  boost::asio::awaitable<probe_verdict> connect(http::socket_address address);

  boost::asio::io_context& context_;
  std::map<http::socket_address, std::shared_ptr<question>> open_;
};

} // namespace wisteriaflow::relay

#endif // WISTERIAFLOW_SRC_RELAY_ENDPOINT_PROBE_H_
