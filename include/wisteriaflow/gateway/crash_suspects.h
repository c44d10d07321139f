// Requests under which endpoints end, remembered over the fleet by their content.
//
// Some requests end the process of every endpoint that begins to run them, and their callers send
// them again. When an endpoint ends, each daemon reports the contents that it had under way there;
// the reports of all daemons are joined, in any order and as often as they come. A content is held,
// that is, not sent any more, once several endpoints have ended under it and nothing else explains
// their ends better:
//
// - Of the contents that were under way at one endpoint the one under which most have ended
//   explains its end. Of equals it is one of which no event had come: a request that was being
//   answered mostly ran beside the one that had just begun.
// - A content that is answered whole does not end endpoints: reports from before are void.
//
// After a time that doubles with each further end a held content may be tried: one request shows
// whether the fault is gone. The hold ends with an answer, or when the crashes are too long ago.
//
//   crash_suspects suspects({});
//   suspects.on_crash({.process = {id, incarnation}, .content = c, .at = now});
//   if (const auto hold = suspects.hold_of(c)) {
//     // refuse; from hold->try_at on, one daemon sends one request of the kind at a time
//   }

#ifndef WISTERIAFLOW_GATEWAY_CRASH_SUSPECTS_H_
#define WISTERIAFLOW_GATEWAY_CRASH_SUSPECTS_H_

#include <chrono>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

#include "wisteriaflow/base/time.h"
#include "wisteriaflow/gateway/endpoint_process.h"
#include "wisteriaflow/gateway/request_content.h"

namespace wisteriaflow::gateway {

// How far a request had come when its endpoint ended.
enum class answer_stage {
  not_begun, // no event or whole answer had come
  begun,     // events had come
};

// A request that was under way at an endpoint that ended.
struct crash_sighting {
  endpoint_process process;
  content_id content;
  answer_stage stage = answer_stage::not_begun;
  wall_time at; // of the fleet

  friend bool operator==(const crash_sighting&, const crash_sighting&) = default;
};

// The end of one endpoint, and what was under way there.
struct endpoint_crash {
  endpoint_process process;
  wall_time at; // when it was first noticed
  std::map<content_id, answer_stage> suspects;

  friend bool operator==(const endpoint_crash&, const endpoint_crash&) = default;
};

// What daemons tell one another, and what is kept in the store.
struct crash_news {
  std::vector<endpoint_crash> crashes;
  std::map<content_id, wall_time> answered; // what was under way up to then is no suspect

  [[nodiscard]] bool empty() const { return crashes.empty() && answered.empty(); }

  friend bool operator==(const crash_news&, const crash_news&) = default;
};

// Why a content is not sent to endpoints, and from when on it may be tried.
struct content_hold {
  wall_time try_at;
  std::vector<endpoint_process> ended; // under it, as far as nothing else explains it

  friend bool operator==(const content_hold&, const content_hold&) = default;
};

struct crash_suspects_options {
  // Endpoints that have to end under a content before it is held. With two, a request that can go
  // on elsewhere and met the same faulty one twice would be held with it.
  std::size_t hold_after = 3;
  // Until a held content is tried: longer than any caller waits, and doubled by each further end,
  // so that one that ends whatever runs it ends three more in the first seven minutes.
  std::chrono::seconds first_pause{60};
  std::chrono::seconds longest_pause{600};
  // A crash counts for this long: the longest pause, and as long again.
  std::chrono::seconds kept{1'200};
  // The bounds of what is kept: crashes, and requests under way at one endpoint, which are as many
  // as run in the largest batch. When all are full, and all requests were answered since, 1.2 MB of
  // heap (measured).
  std::size_t most_crashes = 64;
  std::size_t most_suspects = 64;
  // News are told for this long, several rounds of the exchange between daemons, and so many
  // requests in one report: two full batches. When a zone's endpoints end at once, they are told in
  // turn.
  std::chrono::milliseconds told_for{3'000};
  std::size_t most_told = 128;
  // A content that was answered so lately is no suspect: it may be one that many callers ask for.
  std::chrono::milliseconds answer_clears{5'000};
  // Answers remembered for that in each of two generations, on paper 60 KB each.
  std::size_t most_answers = 1'024;
};

// Not thread-safe.
class crash_suspects {
 public:
  explicit crash_suspects(crash_suspects_options options) : options_(options) {}

  // An endpoint ended with a request under way there.
  void on_crash(const crash_sighting& seen) { add(seen, seen.at); }

  // A request was answered whole. True if that lifts a suspicion.
  bool on_answered(const content_id& content, wall_time now);

  // Joins what a peer or the store tells.
  void absorb(const crash_news& told, wall_time now);

  // Why the content is held; nothing if it is not.
  [[nodiscard]] std::optional<content_hold> hold_of(const content_id& content);

  [[nodiscard]] std::map<content_id, content_hold> holds();

  // The crashes under which a content stands, with no other content: what is kept in the store.
  [[nodiscard]] crash_news evidence_of(const content_id& content) const;

  // What has become known lately, for the next report to peers.
  [[nodiscard]] crash_news news(wall_time now);

  // Everything that is known, for a peer that lacks something.
  [[nodiscard]] crash_news all() const;

  // Equal in daemons that know the same; 0 if nothing is known.
  [[nodiscard]] std::uint64_t digest() const { return digest_; }

  // In how many ends the content is a suspect.
  [[nodiscard]] std::size_t times_suspected(const content_id& content) const;

  // Forgets what is too old to count.
  void tick(wall_time now);

  [[nodiscard]] std::size_t crashes_known() const { return crashes_.size(); }

 private:
  struct known_crash {
    wall_time at;
    wall_time told_until;
    std::map<content_id, answer_stage> suspects;
  };
  struct known_answer {
    wall_time at;
    wall_time told_until;
  };
  // In how many ends each content is a suspect.
  using suspect_counts = std::unordered_map<content_id, std::size_t>;

  // Adds one request to a crash.
  void add(const crash_sighting& seen, wall_time now);
  void set_stage(const endpoint_process& process, known_crash& crash, const content_id& content,
                 answer_stage stage);
  void add_answer(const content_id& content, wall_time answered_at, wall_time now);
  [[nodiscard]] bool is_void(const content_id& content, const known_crash& crash) const;
  [[nodiscard]] bool was_answered_lately(const content_id& content, wall_time now) const;
  // The last crash with the content among its suspects, if there is one.
  [[nodiscard]] std::optional<wall_time> last_crash_of(const content_id& content) const;
  // Drops the oldest crash that no hold rests on.
  void drop_crash();
  void drop_suspect(const endpoint_process& process, known_crash& crash, const content_id& content);
  void drop_least_likely(const endpoint_process& process, known_crash& crash);
  void drop_all(const endpoint_process& process, known_crash& crash);
  void drop_answers_of_others();
  void rotate_answers(wall_time now);

  [[nodiscard]] suspect_counts count_suspects() const;
  // Whether another content of the crash explains it better.
  [[nodiscard]] bool is_explained(const known_crash& crash, const content_id& content,
                                  const suspect_counts& counts) const;
  [[nodiscard]] std::chrono::seconds pause_after(std::size_t ended) const;
  // Works the holds out anew, if something has changed.
  void refresh();

  crash_suspects_options options_;
  std::map<endpoint_process, known_crash> crashes_;
  std::map<content_id, known_answer> answered_; // of suspects only
  std::unordered_map<content_id, wall_time> latest_answers_;
  std::unordered_map<content_id, wall_time> earlier_answers_;
  wall_time rotated_at_;

  // Follow from the crashes and are kept up with each change, so that a call of a content that is
  // under no suspicion costs one look-up.
  suspect_counts sightings_; // crashes in which a content is named
  std::uint64_t digest_ = 0;

  // Follow from the crashes, too; see refresh().
  std::map<content_id, content_hold> holds_;
  bool changed_ = false;

  std::size_t next_crash_ = 0; // to tell
  std::size_t next_answer_ = 0;
};

} // namespace wisteriaflow::gateway

#endif // WISTERIAFLOW_GATEWAY_CRASH_SUSPECTS_H_
