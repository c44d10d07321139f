// Sample 4: the life of a request whose endpoint fails in the middle of the answer.
//
// Events go in, actions come out; nothing here opens a socket. The first endpoint breaks after two
// tokens, the request goes on elsewhere, and a late chunk of the first attempt changes nothing.

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

// Prints the actions that a shell would carry out.
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
  // Claims, moves and handovers do not occur here.
  template <typename Other> void operator()(const Other& /*a*/) const {}
};

// One request and the time at which its events happen.
class scene {
 public:
  void happens(const char* what, const requests::request_event& event)
  {
    std::cout << what << '\n';
    for (const auto& action : life_.handle(event, now_)) {
      std::visit(print_action{}, action);
    }
  }

  [[nodiscard]] const requests::request_lifecycle& life() const { return life_; }

 private:
  requests::request_lifecycle life_{
      {.request_id = "r1", .model = "phrasebook", .streamed = true, .prompt_tokens = 800}};
  clock_reading now_{.mono = mono_time{std::chrono::hours{1}},
                     .wall = wall_time{std::chrono::hours{1}}};
};

void play()
{
  scene s;
  s.happens("admitted", requests::admission_granted{});
  s.happens("sent to e1", requests::attempt_started{.attempt = 1, .endpoint = endpoint_id("e1")});
  s.happens("head of the answer", requests::attempt_head{.attempt = 1});
  s.happens("token 0", requests::token_arrived{.attempt = 1, .offset = 0, .text = "Take "});
  s.happens("token 1", requests::token_arrived{.attempt = 1, .offset = 1, .text = "the "});
  s.happens("e1 breaks", requests::attempt_failed{.attempt = 1});
  s.happens("a retry is allowed", requests::retry_granted{});
  s.happens("sent to e2", requests::attempt_started{.attempt = 2, .endpoint = endpoint_id("e2")});
  s.happens("a late chunk of e1",
            requests::token_arrived{.attempt = 1, .offset = 2, .text = "late"});
  s.happens("token 2", requests::token_arrived{.attempt = 2, .offset = 2, .text = "lift."});
  s.happens("e2 has ended",
            requests::attempt_finished{.attempt = 2, .tokens = 3, .finish_reason = "stop"});
  std::cout << "the caller has: ";
  for (const auto& token : s.life().tokens()) {
    std::cout << token;
  }
  std::cout << "\nrecomputed tokens, estimated: " << s.life().recomputed_tokens() << '\n';
}

} // namespace

int main()
{
  play();
  return EXIT_SUCCESS;
}
