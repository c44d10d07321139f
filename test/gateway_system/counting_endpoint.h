// An endpoint of the platform that remembers what it ran, misbehaves for a part of its requests,
// and ends under one kind of them.

#ifndef WISTERIAFLOW_TEST_GATEWAY_SYSTEM_COUNTING_ENDPOINT_H_
#define WISTERIAFLOW_TEST_GATEWAY_SYSTEM_COUNTING_ENDPOINT_H_

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

class counting_endpoint final : public fakes::fake_server {
 public:
  counting_endpoint(boost::asio::io_context& context, std::string id, std::uint64_t seed)
      : fake_server(context, 0), id_(std::move(id)), random_(seed)
  {
  }

  [[nodiscard]] const std::string& id() const { return id_; }
  // How often each request ran here.
  [[nodiscard]] const std::map<std::string, int>& runs() const { return runs_; }
  // Requests that came, run or not, after `since`.
  [[nodiscard]] int received_after(mono_time since) const;

  // Called when a request to `deadly_path` begins to run, to end this endpoint.
  std::function<void()> on_deadly = [] {};

  // Half of the requests meet `kind` from now on.
  void misbehave(misbehaviour kind) { misbehaviour_ = kind; }

 private:
  boost::asio::awaitable<void> serve(fakes::fake_request r, http::response_writer& w) override;
  boost::asio::awaitable<void> stream(const fakes::fake_request& r, misbehaviour now,
                                      http::response_writer& w);
  [[nodiscard]] http::response head_for(const std::string& request) const;

  std::string id_;
  std::mt19937_64 random_;
  misbehaviour misbehaviour_ = misbehaviour::none;
  std::map<std::string, int> runs_;
  std::vector<mono_time> received_at_;
};

} // namespace wisteriaflow::gateway_system_tests

#endif // WISTERIAFLOW_TEST_GATEWAY_SYSTEM_COUNTING_ENDPOINT_H_
