// Questions of operators to one daemon.

#ifndef WISTERIAFLOW_PLATFORM_OPERATOR_QUERIES_H_
#define WISTERIAFLOW_PLATFORM_OPERATOR_QUERIES_H_

#include <string>

#include <boost/asio/awaitable.hpp>
#include <boost/json/value.hpp>

#include "wisteriaflow/base/time.h"
#include "wisteriaflow/http/client.h"
#include "wisteriaflow/platform/errors.h"

namespace wisteriaflow::platform {

// The request whose routing is to be explained.
struct explain_query {
  std::string workspace;
  std::string labels; // "k=v,k=v"
  std::string model;
};

// Asks a daemon's operator interface. Each call throws daemon_unavailable, not_found_error (as for
// an unknown workspace) or invalid_input_error.
class operator_queries {
 public:
  operator_queries(http::client& client, http::socket_address daemon);

  // What the daemon knows of the fleet.
  boost::asio::awaitable<boost::json::value> fleet(mono_time deadline);

  // Why a request would go where.
  boost::asio::awaitable<boost::json::value> explain(explain_query query, mono_time deadline);

 private:
  boost::asio::awaitable<boost::json::value> ask(std::string target, mono_time deadline);

  http::client& client_;
  http::socket_address daemon_;
};

} // namespace wisteriaflow::platform

#endif // WISTERIAFLOW_PLATFORM_OPERATOR_QUERIES_H_
