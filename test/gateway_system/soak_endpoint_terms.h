// Checks that daemons obeyed what an endpoint announced in its answers: its rate limit, that it
// leaves, and the pauses that it requested.

#ifndef WISTERIAFLOW_TEST_GATEWAY_SYSTEM_SOAK_ENDPOINT_TERMS_H_
#define WISTERIAFLOW_TEST_GATEWAY_SYSTEM_SOAK_ENDPOINT_TERMS_H_

#include <map>
#include <string>
#include <vector>

#include "gateway_system/counting_endpoint.h"
#include "wisteriaflow/base/time.h"

namespace wisteriaflow::gateway_system_tests {

// The daemon that sent a request, and when its caller sent it to the daemon.
struct request_sender {
  std::string daemon;
  mono_time sent_at;
};

// By request id. Requests to daemons that were suspended for a while are not included.
using request_senders = std::map<std::string, request_sender>;

// Returns a description of each violation at `endpoint`.
[[nodiscard]] std::vector<std::string> check_terms(const counting_endpoint& endpoint,
                                                   const request_senders& senders);

} // namespace wisteriaflow::gateway_system_tests

#endif // WISTERIAFLOW_TEST_GATEWAY_SYSTEM_SOAK_ENDPOINT_TERMS_H_
