// Answers kept in memory for callers that come back, by workspace and idempotency key.
//
// A key is in flight until its run ends, then kept until a deadline. Later calls with the key and
// the same body join the run or get the kept answer.

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

// What names an answer. Keys of different workspaces never meet.
struct answer_key {
  workspace_id workspace;
  std::string key;

  // NOLINTNEXTLINE(modernize-use-nullptr): clang-tidy 14 misreads the defaulted operator
  friend auto operator<=>(const answer_key&, const answer_key&) = default;
};

// A finished answer. `response` is whole; `tokens` are there to replay a stream from any offset.
struct kept_answer {
  outcome result;
  response_parts response;
  std::vector<std::string> tokens;
  std::string finish_reason;
  token_usage usage;

  friend bool operator==(const kept_answer&, const kept_answer&) = default;
};

// Bytes that an answer counts for against the limit.
[[nodiscard]] std::size_t size_of(const kept_answer& answer);

// The key is new: the caller's request is the one that runs.
struct run_opened {
  friend bool operator==(const run_opened&, const run_opened&) = default;
};

// Request `request_id` runs under the key already; the caller follows it.
struct run_joined {
  std::string request_id;

  friend bool operator==(const run_joined&, const run_joined&) = default;
};

// The answer is here.
struct answer_found {
  kept_answer answer;

  friend bool operator==(const answer_found&, const answer_found&) = default;
};

// The key was used with another body: 409.
struct body_differs {
  friend bool operator==(const body_differs&, const body_differs&) = default;
};

// As many runs are in flight, or follow one, as the limits allow.
struct store_full {
  friend bool operator==(const store_full&, const store_full&) = default;
};

using open_result = std::variant<run_opened, run_joined, answer_found, body_differs, store_full>;

// Nothing is known here under the key.
struct not_known {
  friend bool operator==(const not_known&, const not_known&) = default;
};

using find_result = std::variant<not_known, run_joined, answer_found>;

struct answer_store_options {
  std::size_t max_bytes = std::size_t{4} << 20U; // of kept answers
  std::size_t max_in_flight = 4096;
  std::size_t max_followers = 16; // of one run

  friend bool operator==(const answer_store_options&, const answer_store_options&) = default;
};

class answer_store {
 public:
  explicit answer_store(answer_store_options options = {}) : options_(options) {}

  // A call of `request_id` with this key and body: opens a run, or joins what is there.
  open_result open(const answer_key& key, const hash128& body, const std::string& request_id);

  // The run ended with an answer, which is kept until `until`. Returns the followers. An answer
  // larger than the whole store is not kept. Also takes an answer handed over by a peer.
  std::vector<std::string> keep(const answer_key& key, const hash128& body, kept_answer answer,
                                wall_time until);

  // The run ended without an answer to keep (refused, or moved to a peer): the key is free again.
  // Returns the followers.
  std::vector<std::string> release(const answer_key& key);

  // What is known under the key, for a caller that comes back for it.
  [[nodiscard]] find_result find(const answer_key& key) const;

  // Drops the answers whose deadline has passed.
  void expire(wall_time now);

  // The earliest deadline; `wall_time::max()` if nothing is kept.
  [[nodiscard]] wall_time next_deadline() const;

  // A kept answer with what `keep` needs at a peer.
  struct entry {
    answer_key key;
    hash128 body;
    kept_answer answer;
    wall_time until{};
  };

  // The kept answers, for handing them over; those with the latest deadline first.
  [[nodiscard]] std::vector<entry> kept() const;

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

  void drop(const answer_key& key);
  void make_room(std::size_t size);

  answer_store_options options_;
  std::map<answer_key, run> runs_;
  std::map<answer_key, kept_entry> kept_;
  std::set<std::pair<wall_time, answer_key>> by_deadline_;
  std::size_t bytes_ = 0;
};

} // namespace wisteriaflow::requests

#endif // WISTERIAFLOW_REQUESTS_ANSWER_STORE_H_
