// Client of a daemon's operator interface.
//
//   operator_queries queries(client, daemon_address);
//   auto view = co_await queries.fleet(deadline);

#ifndef WISTERIAFLOW_PLATFORM_OPERATOR_QUERIES_H_
#define WISTERIAFLOW_PLATFORM_OPERATOR_QUERIES_H_

#include <string>

#include <boost/asio/awaitable.hpp>
#include <boost/json/value.hpp>

#include "wisteriaflow/base/time.h"
#include "wisteriaflow/http/client.h"
#include "wisteriaflow/platform/errors.h"

namespace wisteriaflow::platform {

// A request whose routing is explained.
struct explain_query {
  std::string workspace;
  std::string labels; // "k=v,k=v"
  std::string model;
};

// Queries one daemon. Each call throws daemon_unavailable, not_found_error (for example for an
// unknown workspace) or invalid_input_error.
class operator_queries {
 public:
  operator_queries(http::client& client, http::socket_address daemon);

  // Returns the daemon's current view of the fleet.
  boost::asio::awaitable<boost::json::value> fleet(mono_time deadline);

  // Returns where the daemon would route a request, and why.
  boost::asio::awaitable<boost::json::value> explain(explain_query query, mono_time deadline);

 private:
  boost::asio::awaitable<boost::json::value> send_query(std::string target, mono_time deadline);

  http::client& client_;
  http::socket_address daemon_;
};

} // namespace wisteriaflow::platform

#endif // WISTERIAFLOW_PLATFORM_OPERATOR_QUERIES_H_
