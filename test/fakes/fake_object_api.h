// A fake of the platform's object API: versions, conditional updates and watches with the interface
// of docs/CONTRACTS.md, and injectable faults.
//
// POST /_fake/faults takes any of the fields of object_api_faults by name, "stale_for_ms" (for that
// time gets and lists return the state at the call) and "drop_events" (watches never show the next
// N changes). POST /_fake/forget-history calls forget_history(). GET /_fake/stats returns the
// counts and the version.

#ifndef WISTERIAFLOW_TEST_FAKES_FAKE_OBJECT_API_H_
#define WISTERIAFLOW_TEST_FAKES_FAKE_OBJECT_API_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <random>
#include <string>
#include <vector>

#include <boost/asio/steady_timer.hpp>

#include "fakes/fake_server.h"

namespace wisteriaflow::fakes {

// Injected faults; they last until they are changed.
struct object_api_faults {
  std::string outage = "none";           // "refuse": answers 503; "hang": does not answer
  std::chrono::milliseconds delay_ms{0}; // before each call is handled
  std::int64_t lose_answers = 0;         // the next N writes take effect, but get no answer
  double lose_answer_probability = 0.0;  // the same for a random part of the writes
  std::uint64_t seed = 1;                // of that random choice
};

// Numbers of calls received, including those refused.
struct object_api_counts {
  std::uint64_t reads = 0;
  std::uint64_t writes = 0;
  std::uint64_t watches = 0;
  std::uint64_t answers_lost = 0;
};

class fake_object_api final : public fake_server {
 public:
  explicit fake_object_api(boost::asio::io_context& context, std::uint16_t port = 0);

  // Sets faults with the JSON of POST /_fake/faults.
  void set_faults(const boost::json::value& changes);

  [[nodiscard]] const object_api_counts& counts() const { return counts_; }
  [[nodiscard]] std::uint64_t version() const { return version_; }

  // Discards the change history: watches from a version before the present one are answered 410.
  void forget_history();

 protected:
  boost::asio::awaitable<void> serve(fake_request received, http::response_writer& w) override;

 private:
  using objects = std::map<std::string, boost::json::value>; // by "plural/name"

  struct change {
    std::uint64_t version = 0;
    std::string plural;
    std::string event; // a line of a watch response; empty: hidden from watches
  };

  boost::asio::awaitable<bool> check_outage(http::response_writer& w);
  boost::asio::awaitable<void> watch(fake_request received, http::response_writer& w);
  fake_reply dispatch(const fake_request& received);
  fake_reply handle_control_request(const fake_request& received);
  fake_reply list(const fake_request& received) const;
  fake_reply get(const std::string& key) const;
  fake_reply create(const fake_request& received);
  fake_reply replace(const fake_request& received, const std::string& key);
  fake_reply remove(const fake_request& received, const std::string& key);
  void store(const std::string& plural, const std::string& key, std::string_view event,
             boost::json::value object);
  [[nodiscard]] std::string events_after(std::uint64_t seen, std::string_view plural) const;
  bool decide_lost_answer();
  [[nodiscard]] const objects& visible_objects() const;
  [[nodiscard]] std::uint64_t visible_version() const;

  object_api_faults faults_;
  object_api_counts counts_;
  std::mt19937_64 rng_{1};
  objects objects_;
  std::uint64_t version_ = 0;
  std::deque<change> history_;
  std::uint64_t history_start_ = 0; // changes up to this version are discarded
  std::int64_t events_to_drop_ = 0;
  objects stale_objects_;
  std::uint64_t stale_version_ = 0;
  mono_time stale_until_;
  // Never expires; cancelled at each change to wake the calls that wait for one.
  boost::asio::steady_timer changed_;
};

} // namespace wisteriaflow::fakes

#endif // WISTERIAFLOW_TEST_FAKES_FAKE_OBJECT_API_H_
