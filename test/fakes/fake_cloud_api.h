// A fake of the platform's cloud API and of its instance list, with the interface of
// docs/CONTRACTS.md. It starts no processes: a launched instance is a list entry with one of the
// addresses that a test provides. Tests control it by these calls:
//
// POST /_fake/instances  {"instances":[{...}]}     lists instances, or changes fields of known ones
// POST /_fake/addresses  {"addresses":["ip:port"]} given to launched instances, in order; one
//                                                  without an address is not listed
// POST /_fake/prices     {"prices":[{...}]}        adds or replaces prices
// POST /_fake/refuse     {"availability_zone","class","refuse":bool}  "" matches any;
//                        launches that match get 503 for lack of capacity
// POST /_fake/notice     {"instance_id" or "availability_zone","reclaim_in_ms"}  for an
//                        availability zone: every instance in it that is not leaving yet
// POST /_fake/settings   {"list_lag_ms","lose_answers":N}  the next N starts or
//                        releases take effect, but get no answer
// GET  /_fake/stats      {"launched":[...],"released":[...],"refused":N,"calls":N}

#ifndef WISTERIAFLOW_TEST_FAKES_FAKE_CLOUD_API_H_
#define WISTERIAFLOW_TEST_FAKES_FAKE_CLOUD_API_H_

#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <string>
#include <utility>

#include <boost/json/array.hpp>

#include "fakes/fake_server.h"
#include "fakes/value_history.h"

namespace wisteriaflow::fakes {

class fake_cloud_api final : public fake_server {
 public:
  explicit fake_cloud_api(boost::asio::io_context& context, std::uint16_t port = 0);

  // Does what POST /_fake/`name` with `body` does. Throws std::invalid_argument for an unknown
  // name.
  void control(std::string_view name, const boost::json::value& body);

  // Returns the present instance list, without the lag of GET /instances.
  [[nodiscard]] boost::json::array instances() const;

 protected:
  boost::asio::awaitable<void> serve(fake_request received, http::response_writer& w) override;

 private:
  using instance_map = std::map<std::string, boost::json::value>; // by id

  struct notice {
    std::int64_t sequence = 0;
    std::string instance_id;
    wall_time reclaim_at;
  };

  fake_reply dispatch(const fake_request& received);
  fake_reply launch(const boost::json::value& wanted);
  fake_reply release(const std::string& id);
  [[nodiscard]] fake_reply notices_after(std::string_view number) const;
  [[nodiscard]] fake_reply stats() const;
  [[nodiscard]] boost::json::array list_at(wall_time time) const;
  [[nodiscard]] bool lacks_capacity(const boost::json::value& wanted) const;
  void add_instance(const boost::json::value& instance);
  void set_price(const boost::json::value& price);
  void issue_reclaim_notice(const boost::json::value& body);
  void issue_reclaim_notice(const std::string& id, wall_time reclaim_at);
  void record_history();

  std::chrono::milliseconds list_lag_{0};
  std::int64_t lose_answers_ = 0;
  std::int64_t calls_ = 0;
  std::int64_t refused_ = 0;
  boost::json::array prices_;
  std::set<std::pair<std::string, std::string>> without_capacity_; // (availability zone, class)
  std::map<std::string, std::string> ids_by_token_;
  std::deque<std::string> spare_addresses_;
  std::vector<std::string> launched_;
  std::vector<std::string> released_;
  instance_map instances_;
  std::map<std::string, wall_time> reclaim_times_; // by id
  std::vector<notice> notices_;
  value_history<instance_map> history_;
};

} // namespace wisteriaflow::fakes

#endif // WISTERIAFLOW_TEST_FAKES_FAKE_CLOUD_API_H_
