// Sample 4: the lifecycle of a request whose endpoint fails in the middle of its response.
//
// The state machine takes events and returns actions; no socket is opened. The first endpoint fails
// after two tokens, the request continues on another endpoint, and a late chunk of the first
// attempt is ignored.

#include <chrono>
#include <cstdlib>
#include <iostream>
#include <variant>

#include "wisteriaflow/wisteriaflow.h"

namespace {

namespace requests = wisteriaflow::requests;
using wisteriaflow::clock_reading;
using wisteriaflow::endpoint_id;
using wisteriaflow::mono_time;
using wisteriaflow::wall_time;

// Prints the actions that a daemon's I/O components would perform.
struct print_action {
  void operator()(const requests::start_attempt& a) const
  {
    std::cout << "  start attempt " << a.attempt << " after " << a.resume_tokens << " tokens\n";
  }
  void operator()(const requests::ask_retry& a) const
  {
    std::cout << "  ask the retry budget, attempt " << a.failed_attempt << " failed\n";
  }
  void operator()(const requests::send_token& a) const
  {
    std::cout << "  send token " << a.offset << " \"" << a.text << "\"\n";
  }
  void operator()(const requests::finish& a) const
  {
    std::cout << "  finish: " << requests::name_of(a.result) << '\n';
  }
  void operator()(const requests::send_head& a) const
  {
    std::cout << "  send head, status " << a.status << '\n';
  }
  // Claims, moves and handovers do not occur in this sample.
  template <typename Other> void operator()(const Other& /*a*/) const {}
};

// One request and the fixed time at which all of its events happen.
class request_simulation {
 public:
  void handle_event(const char* what, const requests::request_event& event)
  {
    std::cout << what << '\n';
    for (const auto& action : lifecycle_.handle(event, now_)) {
      std::visit(print_action{}, action);
    }
  }

  [[nodiscard]] const requests::request_lifecycle& lifecycle() const { return lifecycle_; }

 private:
  requests::request_lifecycle lifecycle_{
      {.request_id = "r1", .model = "phrasebook", .streamed = true, .prompt_tokens = 800}};
  clock_reading now_{.mono = mono_time{std::chrono::hours{1}},
                     .wall = wall_time{std::chrono::hours{1}}};
};

void run_example()
{
  request_simulation simulation;
  simulation.handle_event("admitted", requests::admission_granted{});
  simulation.handle_event("sent to e1",
                          requests::attempt_started{.attempt = 1, .endpoint = endpoint_id("e1")});
  simulation.handle_event("head of the answer", requests::attempt_head{.attempt = 1});
  simulation.handle_event("token 0",
                          requests::token_arrived{.attempt = 1, .offset = 0, .text = "Take "});
  simulation.handle_event("token 1",
                          requests::token_arrived{.attempt = 1, .offset = 1, .text = "the "});
  simulation.handle_event("e1 breaks", requests::attempt_failed{.attempt = 1});
  simulation.handle_event("a retry is allowed", requests::retry_granted{});
  simulation.handle_event("sent to e2",
                          requests::attempt_started{.attempt = 2, .endpoint = endpoint_id("e2")});
  simulation.handle_event("a late chunk of e1",
                          requests::token_arrived{.attempt = 1, .offset = 2, .text = "late"});
  simulation.handle_event("token 2",
                          requests::token_arrived{.attempt = 2, .offset = 2, .text = "lift."});
  simulation.handle_event("e2 has ended", requests::attempt_finished{
                                              .attempt = 2, .tokens = 3, .finish_reason = "stop"});
  std::cout << "the caller has: ";
  for (const auto& token : simulation.lifecycle().tokens()) {
    std::cout << token;
  }
  std::cout << "\nrecomputed tokens, estimated: " << simulation.lifecycle().recomputed_tokens()
            << '\n';
}

} // namespace

int main()
{
  run_example();
  return EXIT_SUCCESS;
}
