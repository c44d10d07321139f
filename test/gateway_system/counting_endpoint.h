// An endpoint of the platform that remembers what it ran, misbehaves for a part of its requests,
// and ends under one kind of them.

#ifndef WISTERIAFLOW_TEST_GATEWAY_SYSTEM_COUNTING_ENDPOINT_H_
#define WISTERIAFLOW_TEST_GATEWAY_SYSTEM_COUNTING_ENDPOINT_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "fakes/fake_server.h"
#include "wisteriaflow/base/time.h"

namespace wisteriaflow::gateway_system_tests {

// What an endpoint does with a part of its requests.
enum class misbehaviour {
  none,
  sheds,   // refuses as not run
  pauses,  // the same, and asks the daemon for a pause
  fails,   // runs it and answers with its own 500
  cuts,    // runs it and closes the connection, a stream in the middle of an event
  stalls,  // runs it and answers nothing for longer than any call lasts
  is_slow, // answers half a second later
};

// A request to this path ends the endpoint that begins to run it.
inline constexpr const char* deadly_path = "/unsafe/deadly";

// The body that `endpoint` answers to the request `id`.
[[nodiscard]] std::string whole_body(const std::string& endpoint, const std::string& id);

// The signature of the answer of `endpoint` to the request `id`.
[[nodiscard]] std::string signature_of(const std::string& endpoint, const std::string& id);

// The whole stream that answers the request `id`, whichever endpoints had a part in it.
[[nodiscard]] std::string whole_stream(const std::string& id);

// What an endpoint says of itself in an answer.
struct said_terms {
  bool leaving = false;
  double rate = 0;                    // requests/s that it takes of all daemons; 0: any number
  std::chrono::milliseconds pause{0}; // that it asks the daemon for
};

// A request that came, run or not.
struct received_request {
  std::string id;
  mono_time at;
  said_terms said; // in its answer
};

class counting_endpoint final : public fakes::fake_server {
 public:
  counting_endpoint(boost::asio::io_context& context, std::string id, std::uint64_t seed)
      : fake_server(context, 0), id_(std::move(id)), random_(seed)
  {
  }

  [[nodiscard]] const std::string& id() const { return id_; }
  // How often each request ran here.
  [[nodiscard]] const std::map<std::string, int>& runs() const { return runs_; }
  [[nodiscard]] const std::vector<received_request>& received() const { return received_; }
  // Requests that came, run or not, after `since`.
  [[nodiscard]] int received_after(mono_time since) const;

  // Called when a request to `deadly_path` begins to run, to end this endpoint.
  std::function<void()> on_deadly = [] {};

  // Its answers say from now on that it leaves, or that it takes so many requests a second of all
  // daemons together; 0: any number.
  void say_leaving() { leaving_ = true; }
  void name_rate(double rate) { rate_ = rate; }

  // The way to it is harmed from `since` on, and until a second after `until`.
  void note_harm(mono_time since, mono_time until);
  [[nodiscard]] bool was_way_harmed_at(mono_time at) const;

  // Half of the requests meet `kind` from now on.
  void misbehave(misbehaviour kind) { misbehaviour_ = kind; }

 private:
  boost::asio::awaitable<void> serve(fakes::fake_request r, http::response_writer& w) override;
  boost::asio::awaitable<void> stream(const fakes::fake_request& r, misbehaviour now,
                                      said_terms said, http::response_writer& w);
  [[nodiscard]] http::response head_for(const std::string& request) const;
  // Adds what an answer says of this endpoint.
  static void add_terms(http::response& to, const said_terms& said);

  std::string id_;
  std::mt19937_64 random_;
  misbehaviour misbehaviour_ = misbehaviour::none;
  std::map<std::string, int> runs_;
  bool leaving_ = false;
  double rate_ = 0;
  std::vector<received_request> received_;
  std::vector<std::pair<mono_time, mono_time>> harms_;
};

} // namespace wisteriaflow::gateway_system_tests

#endif // WISTERIAFLOW_TEST_GATEWAY_SYSTEM_COUNTING_ENDPOINT_H_
