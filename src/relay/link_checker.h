// Finds out whether an endpoint or this daemon's own link to it is the cause of a failure, and
// tests lost links until they work again.
//
// A connection of this daemon cannot tell a process that has ended from a link that is cut. If one
// fails, a peer is asked to connect to the endpoint, too.
//
//   link_checker checker(context, state);
//   checker.on_connect_failure(id, began_at);
//   const auto cause = co_await checker.find_cause(id, address);

#ifndef WISTERIAFLOW_SRC_RELAY_LINK_CHECKER_H_
#define WISTERIAFLOW_SRC_RELAY_LINK_CHECKER_H_

#include <optional>
#include <random>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include "relay/endpoint_probe.h"
#include "relay/fleet_state.h"
#include "wisteriaflow/gateway/answer_end.h"
#include "wisteriaflow/gateway/endpoint_process.h"
#include "wisteriaflow/http/client.h"
#include "wisteriaflow/http/server.h"

namespace wisteriaflow::relay {

inline constexpr std::string_view probe_target = "/probe"; // POST with the id of an endpoint

// Why an exchange with an endpoint failed.
enum class failure_cause {
  endpoint,    // the endpoint, whose process runs, failed or ended the exchange
  ended,       // its process has ended
  unreachable, // neither this daemon nor a peer can connect to it
  link,        // this daemon's way to it: a peer can connect to it, or the peer in between was lost
  unknown,     // this daemon cannot connect to it, and no peer could tell why
};

[[nodiscard]] std::string_view to_string(failure_cause cause);

// How an answer that was received to its end did end.
struct observed_end {
  gateway::answer_end end;
  // Whom to blame for an answer that is not whole; `unknown` if the endpoint is known to leave.
  failure_cause cause = failure_cause::unknown;
};

// Not thread-safe.
class link_checker {
 public:
  link_checker(boost::asio::io_context& context, fleet_state& state);

  // Finds out why an exchange with the endpoint broke off. Takes a few milliseconds, or some
  // hundred if there is no reply. Does not throw.
  boost::asio::awaitable<failure_cause> find_cause(endpoint_id id, http::socket_address address);

  // Finds out whether the answer of the process, received to its end after `head`, is whole. Takes
  // no time unless it ended with its connection. Does not throw.
  boost::asio::awaitable<observed_end> find_end(const http::response& head,
                                                gateway::endpoint_process from,
                                                http::socket_address address);

  // A connection to the endpoint that was begun at `began_at` could not be opened. Its link counts
  // as lost at once, and the endpoint as unreachable if a peer cannot connect to it either.
  void on_connect_failure(const endpoint_id& id, mono_time began_at);

  // A call sent at `sent_at` waits for the endpoint. If no endpoint has sent anything for a while,
  // the links of some are tested.
  void on_silence(const endpoint_id& id, mono_time sent_at);

  // Answers a peer that asks whether an endpoint accepts connections.
  boost::asio::awaitable<void> answer_probe(http::request request, http::response_writer& writer);

 private:
  struct peers_verdict {
    bool any_asked = false;
    std::optional<probe_verdict> verdict; // nothing: none could tell
  };
  struct observed_process {
    std::optional<probe_verdict> own; // nothing: the link is lost
    peers_verdict peers;
  };

  // Marks the link as lost and starts to test lost links.
  void record_lost_link(const endpoint_id& id, mono_time began_at);
  // Tests lost links until there are none.
  boost::asio::awaitable<void> test_lost_links();
  boost::asio::awaitable<void> test_link(endpoint_id id);
  // Opens a connection to the endpoint. Returns nullopt if the endpoint is not known any more.
  boost::asio::awaitable<std::optional<probe_verdict>> connect(endpoint_id id);
  boost::asio::awaitable<probe_verdict> probe(http::socket_address address);
  boost::asio::awaitable<void> confirm_connect_failure(endpoint_id id);
  // Asks peers, one after another, until one can tell.
  boost::asio::awaitable<peers_verdict> ask_peers(endpoint_id id);
  // Opens a connection to the endpoint unless the link is lost, and asks peers if it is not
  // accepted; if it is refused, only with `ask_if_refused`.
  boost::asio::awaitable<observed_process> observe(endpoint_id id, http::socket_address address,
                                                   bool ask_if_refused);
  [[nodiscard]] static failure_cause cause_of(const observed_process& seen);
  boost::asio::awaitable<std::optional<probe_verdict>> ask_peer(http::socket_address peer,
                                                                endpoint_id id);
  // Peers that can tell, those in other zones first: a cut often concerns a whole zone.
  [[nodiscard]] std::vector<http::socket_address> peers_to_ask();
  void on_unreachable(const endpoint_id& id, failure_cause cause);
  // Logs whether this daemon is cut off, and tells peers, if that has changed.
  void report_cut_off();

  boost::asio::io_context& context_;
  fleet_state& state_;
  endpoint_probe probe_;
  http::client peer_client_;
  std::mt19937_64 random_;
  std::set<endpoint_id> confirmations_in_flight_;
  mono_time next_silence_check_;
  bool is_testing_ = false;
  bool was_cut_off_ = false; // as last reported
};

} // namespace wisteriaflow::relay

#endif // WISTERIAFLOW_SRC_RELAY_LINK_CHECKER_H_
