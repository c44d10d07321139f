// Whether daemons kept to what an endpoint said of itself in its answers: the rate that it takes
// from all of them, that it leaves, and the pauses that it asked for.

#ifndef WISTERIAFLOW_TEST_GATEWAY_SYSTEM_SOAK_TERMS_H_
#define WISTERIAFLOW_TEST_GATEWAY_SYSTEM_SOAK_TERMS_H_

#include <map>
#include <string>
#include <vector>

#include "gateway_system/counting_endpoint.h"
#include "wisteriaflow/base/time.h"

namespace wisteriaflow::gateway_system_tests {

// By which daemon a request came, and when its caller sent it.
struct request_sender {
  std::string daemon;
  mono_time sent_at;
};

// By the id of the request. Daemons that were stopped for a while are not in it.
using request_senders = std::map<std::string, request_sender>;

// The promises broken at `endpoint`.
[[nodiscard]] std::vector<std::string> judge_terms(const counting_endpoint& endpoint,
                                                   const request_senders& senders);

} // namespace wisteriaflow::gateway_system_tests

#endif // WISTERIAFLOW_TEST_GATEWAY_SYSTEM_SOAK_TERMS_H_
