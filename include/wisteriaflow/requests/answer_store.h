// In-memory store of finished answers, by workspace and idempotency key.
//
// While the request that first used a key runs, the key is in flight; its answer is then kept until
// a deadline. A later call with the same key and body joins the run or gets the kept answer.
//
//   answer_store store;
//   store.open(key, body, "r1");          // run_opened: run the request
//   store.open(key, body, "r2");          // run_joined{"r1"}: wait for r1's answer
//   store.keep(key, body, answer, until); // {"r2"}: the followers to answer
//   store.open(key, body, "r3");          // answer_found{answer}
//
// The store has no clock: the caller runs `expire` by `next_deadline`. Not thread safe.

#ifndef WISTERIAFLOW_REQUESTS_ANSWER_STORE_H_
#define WISTERIAFLOW_REQUESTS_ANSWER_STORE_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "wisteriaflow/base/hash.h"
#include "wisteriaflow/base/ids.h"
#include "wisteriaflow/base/time.h"
#include "wisteriaflow/requests/outcome.h"
#include "wisteriaflow/requests/request_events.h"

namespace wisteriaflow::requests {

// Identifies an answer. The same key in two workspaces names two different answers.
struct answer_key {
  workspace_id workspace;
  std::string key;

  // NOLINTNEXTLINE(modernize-use-nullptr): clang-tidy 14 misreads the defaulted operator
  friend auto operator<=>(const answer_key&, const answer_key&) = default;
};

// A finished answer. `response` is complete; `tokens` replay a stream from any offset.
struct kept_answer {
  outcome result;
  response_parts response;
  std::vector<std::string> tokens;
  std::string finish_reason;
  token_usage usage;

  friend bool operator==(const kept_answer&, const kept_answer&) = default;
};

// Bytes that `answer` counts for against `answer_store_options::max_bytes`, overhead included.
[[nodiscard]] std::size_t size_of(const kept_answer& answer);

// The key is new: the calling request is the one to run.
struct run_opened {
  friend bool operator==(const run_opened&, const run_opened&) = default;
};

// Request `request_id` already runs under the key; the calling request waits for its answer.
struct run_joined {
  std::string request_id;

  friend bool operator==(const run_joined&, const run_joined&) = default;
};

// The answer is kept in this store.
struct answer_found {
  kept_answer answer;

  friend bool operator==(const answer_found&, const answer_found&) = default;
};

// The key was used with another body; the HTTP status for this is 409.
struct body_mismatch {
  friend bool operator==(const body_mismatch&, const body_mismatch&) = default;
};

// `max_in_flight` runs are in flight, or the run has `max_followers` followers.
struct store_full {
  friend bool operator==(const store_full&, const store_full&) = default;
};

using open_result = std::variant<run_opened, run_joined, answer_found, body_mismatch, store_full>;

// The store has neither a run nor an answer for the key.
struct key_not_found {
  friend bool operator==(const key_not_found&, const key_not_found&) = default;
};

using find_result = std::variant<key_not_found, run_joined, answer_found>;

struct answer_store_options {
  std::size_t max_bytes = std::size_t{4} << 20U; // all kept answers together
  std::size_t max_in_flight = 4096;              // keys with a run
  std::size_t max_followers = 16;                // requests that wait for one run

  friend bool operator==(const answer_store_options&, const answer_store_options&) = default;
};

class answer_store {
 public:
  explicit answer_store(answer_store_options options = {}) : options_(options) {}

  // Looks up `key` for request `request_id`. Opens a run if the key is new, joins the run in
  // flight, or returns the kept answer. Opens and joins nothing if the body differs or a limit is
  // reached.
  open_result open(const answer_key& key, const hash128& body, const std::string& request_id);

  // Ends the run of `key` with an answer and keeps the answer until `until`. Returns the ids of the
  // run's followers. Evicts the answers with the earliest deadlines if the store is full. An answer
  // larger than `max_bytes` is not kept. Also used for answers handed over by a peer, for which no
  // run is in flight.
  std::vector<std::string> keep(const answer_key& key, const hash128& body, kept_answer answer,
                                wall_time until);

  // Ends the run of `key` without an answer (refused, or moved to a peer) and frees the key.
  // Returns the ids of the run's followers.
  std::vector<std::string> release(const answer_key& key);

  // Looks up `key` without opening or joining a run, for a caller that fetches an earlier answer.
  [[nodiscard]] find_result find(const answer_key& key) const;

  // Removes the answers whose deadline is at or before `now`.
  void expire(wall_time now);

  // The earliest deadline of a kept answer; `wall_time::max()` if there is none.
  [[nodiscard]] wall_time next_deadline() const;

  // A kept answer with the arguments with which a peer calls `keep`.
  struct entry {
    answer_key key;
    hash128 body;
    kept_answer answer;
    wall_time until{};
  };

  // All kept answers, for handover to a peer, in descending order of deadline.
  [[nodiscard]] std::vector<entry> kept_answers() const;

  [[nodiscard]] std::size_t bytes() const { return bytes_; }
  [[nodiscard]] std::size_t in_flight() const { return runs_.size(); }

 private:
  struct run {
    hash128 body;
    std::string request_id;
    std::vector<std::string> followers;
  };
  struct kept_entry {
    hash128 body;
    kept_answer answer;
    wall_time until{};
    std::size_t size = 0;
  };

  void erase_kept(const answer_key& key);
  void evict_until_fits(std::size_t size);

  answer_store_options options_;
  std::map<answer_key, run> runs_;
  std::map<answer_key, kept_entry> kept_;
  std::set<std::pair<wall_time, answer_key>> by_deadline_;
  std::size_t bytes_ = 0;
};

} // namespace wisteriaflow::requests

#endif // WISTERIAFLOW_REQUESTS_ANSWER_STORE_H_
