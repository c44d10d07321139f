// Cuts a stream of server-sent events into whole events with their ids, from chunks cut anywhere.
//
// The bytes of an event are kept as they came, so that they can be passed on unchanged.
//
//   event_splitter splitter;
//   for (const auto& e : splitter.feed(bytes)) { pass_on(e.bytes); }

#ifndef WISTERIAFLOW_GATEWAY_EVENT_SPLITTER_H_
#define WISTERIAFLOW_GATEWAY_EVENT_SPLITTER_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace wisteriaflow::gateway {

// One event, with the empty line that ends it.
struct stream_event {
  std::string bytes;
  std::optional<std::uint64_t> id; // absent: none, or not a number

  friend bool operator==(const stream_event&, const stream_event&) = default;
};

class event_splitter {
 public:
  // Takes the next bytes and returns the events that are now whole.
  std::vector<stream_event> feed(std::string_view bytes);

  // Bytes of an event that is not whole yet.
  [[nodiscard]] std::size_t pending_bytes() const { return pending_.size(); }

 private:
  std::string pending_;
  std::size_t searched_ = 0; // no event ends before this offset of `pending_`
};

} // namespace wisteriaflow::gateway

#endif // WISTERIAFLOW_GATEWAY_EVENT_SPLITTER_H_
