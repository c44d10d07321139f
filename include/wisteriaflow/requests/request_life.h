// The life of one caller's request, from its arrival to exactly one final outcome.
//
// A pure state machine: events and the current time go in, actions come out. Example:
//
//   request_life life({.request_id = "r1", .model = "m", .streamed = true});
//   auto actions = life.handle(admission_granted{}, now); // {start_attempt{1}}

#ifndef WISTERIAFLOW_REQUESTS_REQUEST_LIFE_H_
#define WISTERIAFLOW_REQUESTS_REQUEST_LIFE_H_

#include <chrono>
#include <cstddef>
#include <memory>
#include <string>
#include <vector>

#include "wisteriaflow/base/time.h"
#include "wisteriaflow/requests/request_actions.h"
#include "wisteriaflow/requests/request_events.h"

namespace wisteriaflow::requests {

// How a request is to be treated.
struct request_life_options {
  std::string request_id;
  std::string model;
  bool generation = true;          // to a model engine; otherwise to a plain service
  bool idempotent = true;          // may be sent again
  bool keyed = false;              // its answer can be fetched by key; true if not idempotent
  bool streamed = false;           // the caller wants tokens as they come
  bool caller_connected = true;    // false for a request taken over from a peer
  std::uint64_t prompt_tokens = 0; // an estimate, for counting recomputed tokens
  unsigned max_retries = 7;        // over the whole life; announced reclaims do not count
  std::size_t max_body_bytes = std::size_t{4} << 20U;
  std::chrono::milliseconds retention = std::chrono::minutes(10);  // of a kept answer
  std::chrono::milliseconds retry_after = std::chrono::seconds(1); // when nothing better is known

  friend bool operator==(const request_life_options&, const request_life_options&) = default;
};

// The stages of a life; see docs/design/requests.md.
enum class life_stage {
  received,
  claiming,
  dispatched,
  streaming,
  resuming,
  moving,
  cancelling,
  handing_over,
  finished,
};

class request_life {
 public:
  explicit request_life(request_life_options options);

  // A request that a peer hands over. It starts as received, and goes on where the peer stopped.
  request_life(request_life_options options, handed_over_state state);

  ~request_life();
  request_life(const request_life&) = delete;
  request_life& operator=(const request_life&) = delete;
  request_life(request_life&&) noexcept;
  request_life& operator=(request_life&&) noexcept;

  // Takes one event and returns what is to be done, in order. Events that do not fit the stage, or
  // that belong to an older attempt, have no effect.
  std::vector<request_action> handle(const request_event& event, const clock_reading& now);

  [[nodiscard]] life_stage stage() const;

  // Whether the last action has been returned.
  [[nodiscard]] bool finished() const { return stage() == life_stage::finished; }

  // The tokens of the answer so far, without gap or repeat.
  [[nodiscard]] const std::vector<std::string>& tokens() const;

  // Tokens that were, or are being, computed a second time because of resumes.
  [[nodiscard]] std::uint64_t recomputed_tokens() const;

  // The endpoint of the running attempt; empty if there is none.
  [[nodiscard]] const endpoint_id& endpoint() const;

 private:
  class machine;
  std::unique_ptr<machine> machine_;
};

} // namespace wisteriaflow::requests

#endif // WISTERIAFLOW_REQUESTS_REQUEST_LIFE_H_
