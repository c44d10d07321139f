// Splits a stream of server-sent events into complete events with their ids. Chunk boundaries may
// be anywhere.
//
// The bytes of an event are preserved, so that they can be forwarded unchanged.
//
//   event_splitter splitter;
//   for (const auto& e : splitter.feed(bytes)) { forward(e.bytes); }

#ifndef WISTERIAFLOW_GATEWAY_EVENT_SPLITTER_H_
#define WISTERIAFLOW_GATEWAY_EVENT_SPLITTER_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace wisteriaflow::gateway {

// One event, including the empty line that ends it.
struct stream_event {
  std::string bytes;
  std::optional<std::uint64_t> id; // absent if the event has none or it is not a number

  friend bool operator==(const stream_event&, const stream_event&) = default;
};

class event_splitter {
 public:
  // Appends the next bytes and returns the events that are now complete.
  std::vector<stream_event> feed(std::string_view bytes);

  // Number of bytes of the event that is not complete yet.
  [[nodiscard]] std::size_t pending_bytes() const { return pending_.size(); }

 private:
  std::string pending_;
  std::size_t searched_ = 0; // no event ends before this offset in `pending_`
};

} // namespace wisteriaflow::gateway

#endif // WISTERIAFLOW_GATEWAY_EVENT_SPLITTER_H_
