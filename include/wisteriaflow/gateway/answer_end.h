// Decides whether an answer that was received to its end is whole.
//
// The end of an answer that has neither a length nor chunks is that of its connection, which looks
// the same if the endpoint's process has ended in the middle of the answer. Such an answer is whole
// only if the same process is known to be there afterwards; that it can't be told is no reason to
// believe it.
//
//   const auto end = judge_end({.is_framed = false, .own = probe_verdict::ended});
//   if (!end.is_whole()) { ... pass it on as incomplete ... }

#ifndef WISTERIAFLOW_GATEWAY_ANSWER_END_H_
#define WISTERIAFLOW_GATEWAY_ANSWER_END_H_

#include <optional>
#include <string_view>

namespace wisteriaflow::gateway {

// What a connection that was opened after the answer's end shows.
enum class probe_verdict {
  listens, // the connection was accepted
  ended,   // the connection was refused: no process listens there
  unknown, // no reply in time: the network may be cut, or the instance has lost power
};

// The name of the enumerator, as in metrics and log lines.
[[nodiscard]] std::string_view to_string(probe_verdict verdict);

// What is known after an answer has ended.
struct end_observation {
  bool is_framed = false;            // the answer has a length or chunks
  bool is_replaced = false;          // another process is known at the endpoint's id or address
  std::optional<probe_verdict> own;  // of this daemon; nothing: its link is lost, it did not try
  std::optional<probe_verdict> peer; // of a peer; nothing: none was asked, or none could tell

  friend bool operator==(const end_observation&, const end_observation&) = default;
};

enum class end_verdict {
  whole,
  cut,     // the process that sent it has ended
  unknown, // cannot be told from an answer that was cut off
};

// What the verdict rests on, in the order in which it counts.
enum class end_evidence {
  framing,      // the answer itself says where it ends
  replaced,     // another process has taken the place of the one that answered
  refused,      // this daemon's connection was refused
  listens,      // this daemon's connection was accepted
  peer_refused, // a peer's connection was refused
  peer_listens, // a peer's connection was accepted
  none,
};

// The name of the enumerator, as in metrics and log lines.
[[nodiscard]] std::string_view to_string(end_evidence evidence);

struct answer_end {
  end_verdict verdict = end_verdict::unknown;
  end_evidence evidence = end_evidence::none;

  [[nodiscard]] bool is_whole() const { return verdict == end_verdict::whole; }

  friend bool operator==(const answer_end&, const answer_end&) = default;
};

[[nodiscard]] answer_end judge_end(const end_observation& seen);

} // namespace wisteriaflow::gateway

#endif // WISTERIAFLOW_GATEWAY_ANSWER_END_H_
