// A fake of the platform's object API: versions, conditional updates and watches as
// docs/CONTRACTS.md says, with faults that can be switched on.
//
// POST /_fake/faults takes any of the fields of object_api_faults by name, "stale_for_ms" (gets
// and lists show the present state for so long) and "drop_events" (watches never show the next N
// changes). GET /_fake/stats gives the counts.

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

// Faults that last until changed.
struct object_api_faults {
  std::string outage = "none"; // "refuse" answers 503, "hang" does not answer
  std::chrono::milliseconds delay_ms{0};
  std::int64_t lose_answers = 0;        // so many next writes take effect and are cut off
  double lose_answer_probability = 0.0; // the same by chance
  std::uint64_t seed = 1;               // of that chance
};

// Calls received, refused ones included.
struct object_api_counts {
  std::uint64_t reads = 0;
  std::uint64_t writes = 0;
  std::uint64_t watches = 0;
  std::uint64_t answers_lost = 0;
};

class fake_object_api final : public fake_server {
 public:
  explicit fake_object_api(boost::asio::io_context& context, std::uint16_t port = 0);

  // Sets faults by the same JSON as POST /_fake/faults.
  void set_faults(const boost::json::value& changes);

  [[nodiscard]] const object_api_counts& counts() const { return counts_; }
  [[nodiscard]] std::uint64_t version() const { return version_; }

  // Makes watches from before the present version answer 410.
  void forget_history();

 protected:
  boost::asio::awaitable<void> serve(fake_request received, http::response_writer& w) override;

 private:
  using objects = std::map<std::string, boost::json::value>; // by "plural/name"

  struct change {
    std::uint64_t version = 0;
    std::string plural;
    std::string event; // a line of a watch; empty if watches must not show it
  };

  boost::asio::awaitable<bool> pass_outage(http::response_writer& w);
  boost::asio::awaitable<void> watch(fake_request received, http::response_writer& w);
  fake_reply operate(const fake_request& received);
  fake_reply control(const fake_request& received);
  fake_reply list(const fake_request& received) const;
  fake_reply get(const std::string& key) const;
  fake_reply create(const fake_request& received);
  fake_reply replace(const fake_request& received, const std::string& key);
  fake_reply remove(const fake_request& received, const std::string& key);
  void store(const std::string& plural, const std::string& key, std::string_view event,
             boost::json::value object);
  [[nodiscard]] std::string events_after(std::uint64_t seen, std::string_view plural) const;
  bool loses_answer();
  [[nodiscard]] const objects& shown() const;
  [[nodiscard]] std::uint64_t shown_version() const;

  object_api_faults faults_;
  object_api_counts counts_;
  std::mt19937_64 chance_{1};
  objects objects_;
  std::uint64_t version_ = 0;
  std::deque<change> history_;
  std::uint64_t history_start_ = 0; // changes up to this version are forgotten
  std::int64_t events_to_drop_ = 0;
  objects stale_objects_;
  std::uint64_t stale_version_ = 0;
  mono_time stale_until_;
  boost::asio::steady_timer changed_; // never expires; cancelled at each change
};

} // namespace wisteriaflow::fakes

#endif // WISTERIAFLOW_TEST_FAKES_FAKE_OBJECT_API_H_
