// A fake plain service: echoes path, method and body as JSON and counts the calls that it runs.
//
// POST /_fake/settings takes the fields of plain_service_settings by name. GET /_fake/stats returns
// {"runs":{key:count},"total":N,"requests_received_at_unix_ms":[...]}.

#ifndef WISTERIAFLOW_TEST_FAKES_FAKE_PLAIN_SERVICE_H_
#define WISTERIAFLOW_TEST_FAKES_FAKE_PLAIN_SERVICE_H_

#include <cstdint>
#include <map>
#include <string>

#include "fakes/fake_server.h"

namespace wisteriaflow::fakes {

struct plain_service_settings {
  std::chrono::milliseconds delay_ms{0};   // before each answer
  std::chrono::milliseconds slow_ms{1000}; // the same for paths that start with /slow
  std::int64_t lose_answers = 0;           // the next N calls run, but get no answer
};

class fake_plain_service final : public fake_server {
 public:
  explicit fake_plain_service(boost::asio::io_context& context, std::uint16_t port = 0);

  // Changes settings with the JSON of POST /_fake/settings.
  void set(const boost::json::value& changes);

  // Returns the number of runs so far by Idempotency-Key.
  [[nodiscard]] const std::map<std::string, std::int64_t>& runs() const { return runs_; }

 protected:
  boost::asio::awaitable<void> serve(fake_request received, http::response_writer& w) override;

 private:
  fake_reply handle_control_request(const fake_request& received);
  fake_reply execute(const fake_request& received);

  plain_service_settings settings_;
  std::map<std::string, std::int64_t> runs_;
  std::int64_t total_ = 0;
  boost::json::array received_at_;
};

} // namespace wisteriaflow::fakes

#endif // WISTERIAFLOW_TEST_FAKES_FAKE_PLAIN_SERVICE_H_
