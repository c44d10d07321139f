// The requests in flight at this daemon, from the call that opens a request to its final outcome.
//
// Each request has a state machine, active_request::lifecycle. request_table passes events to it
// and performs the actions that it returns.
//
// Implementation files: request_table.cc (opening and ending requests, attaching calls),
// request_table_answers.cc (callers that fetch an answer later), request_table_actions.cc (actions
// of the state machine), request_table_attempts.cc (exchanges with endpoints),
// request_table_peers.cc (handover to peers and queries of peers).

#ifndef WISTERIAFLOW_SRC_CORE_REQUEST_TABLE_H_
#define WISTERIAFLOW_SRC_CORE_REQUEST_TABLE_H_

#include <chrono>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "core/active_request.h"
#include "core/answer_directory.h"
#include "core/claim_service.h"
#include "core/configuration.h"
#include "core/core_context.h"
#include "core/endpoint_calls.h"
#include "core/fleet.h"
#include "core/placement.h"
#include "wisteriaflow/admission/admission_control.h"
#include "wisteriaflow/admission/retry.h"
#include "wisteriaflow/requests/answer_store.h"

namespace wisteriaflow::core::internal {

// The services that request_table uses. `members` is the daemon's view of the fleet.
struct request_services {
  fleet& members;
  configuration& config;
  claim_service& claims;
  endpoint_calls& endpoints;
  placement& placer;
  answer_directory& directory;
};

// The parts of a caller's target "/services/{service}/{path}".
struct service_target {
  std::string service; // empty if the target is malformed
  std::string target;  // "/{path}" with the query
};
[[nodiscard]] service_target split_service_target(std::string_view target);

class request_table {
 public:
  request_table(core_context& context, request_services services);

  // Handles a caller's POST /v1/completions.
  void open_completion(call_number call, http::request message);

  // Handles a caller's call to a plain service. `target` is the path and query at the service.
  void open_service_call(call_number call, http::request message, const std::string& service,
                         std::string target);

  // Handles a caller's GET /v1/answers/{key}: sends the kept answer, attaches the call to the
  // running request, or redirects it to the daemon that has the answer.
  void fetch_answer(call_number call, const http::request& message, const std::string& key);

  void on_caller_closed(call_number call);
  void on_endpoint_leaving(const endpoint_id& endpoint, std::optional<wall_time> reclaim_at);
  void on_configuration_changed();

  // Accepts or refuses a request or an answer that a draining peer hands over.
  [[nodiscard]] hand_over_reply on_handed_over(const handed_over_request& handed);

  // Answers a peer's query for the state of a claimed request, or for the daemon that runs the
  // request of a key.
  [[nodiscard]] request_status on_query(const request_query& query) const;

  // Refuses new requests from now on. Requests that still run at `hand_over_at` are handed over to
  // peers.
  void drain(mono_time hand_over_at);

  // Returns whether drain() was called and no request, handover or lookup is left.
  [[nodiscard]] bool drained() const
  {
    return draining_ && active_.empty() && pending_answer_handovers_ == 0 && pending_lookups_ == 0;
  }

  [[nodiscard]] std::size_t in_flight() const { return active_.size(); }
  [[nodiscard]] admission::admission_control& admission() { return admission_; }

  // Updates the shares of workspaces from the demand of the fleet. To be called about twice a
  // second.
  void refresh_shares();

 private:
  // How long a call waits for a daemon that has just started to become ready.
  static constexpr std::chrono::milliseconds readiness_wait{5'000};

  // A caller's request for a kept answer.
  struct answer_lookup {
    requests::answer_key key;
    bool streamed = false;
    std::uint64_t from = 0; // index of the first token to send
    mono_time ready_by;     // until then, the call waits for the daemon to become ready
    mono_time found_by;     // until then, the lookup of an unknown key is repeated
  };

  using request_ptr = std::unique_ptr<active_request>;

  // request_table.cc
  [[nodiscard]] requests::call_limits limits() const;
  void open_completion(call_number call, http::request message, mono_time ready_by);
  void open_service_call(call_number call, http::request message, service_target where,
                         mono_time ready_by);
  [[nodiscard]] bool can_open() const { return !draining_ && services_.config.ready(); }
  void refuse_or_defer(call_number call, const http::request& message, mono_time ready_by,
                       std::function<void()> again);
  void refuse_or_redirect(call_number call, const requests::answer_key& key,
                          const requests::refused_not_run& refusal);
  void refuse_admission(active_request& r, const requests::admission_refused& refusal);
  // Sets `r.request_route`. Returns false if no routing intent selects the request.
  [[nodiscard]] bool set_route(active_request& r) const;
  void open(call_number call, request_ptr fresh, bool streamed);
  void admit(active_request& r);
  [[nodiscard]] admission::admission_request admission_request_of(const active_request& r);
  void attach_call(const std::string& id, attached_call call);
  void send_kept_answer(call_number call, const requests::kept_answer& answer, bool streamed,
                        std::uint64_t from);
  void look_up_answer(call_number call, const answer_lookup& lookup);
  void look_up_at_peers(call_number call, const answer_lookup& lookup);
  void schedule_lookup(call_number call, const answer_lookup& lookup);
  void send_answer_location(call_number call, const requests::answer_key& wanted,
                            const std::string& address);
  void feed(active_request& r, requests::request_event event);
  void close(active_request& r);
  void send_tokens(active_request& r);
  void send_outcome(call_number call, const requests::outcome& result);
  void complete_call(active_request& r, attached_call& c, const requests::finish& end);
  [[nodiscard]] std::string next_id();
  [[nodiscard]] active_request* find(const std::string& id);
  [[nodiscard]] requests::response_parts complete_response_of(const active_request& r,
                                                              const requests::finish& end) const;
  void count_outcome(const active_request& r, const requests::outcome& result);

  // request_table_actions.cc
  void perform(active_request& r, const requests::claim_key& a);
  void perform(active_request& r, const requests::start_attempt& a);
  void perform(active_request& r, const requests::cancel_attempt& a);
  void perform(active_request& r, const requests::ask_retry& a);
  void perform(active_request& r, const requests::export_kv& a);
  void perform(active_request& r, const requests::send_head& a);
  void perform(active_request& r, const requests::send_token& a);
  void perform(active_request& r, const requests::send_body& a);
  void perform(active_request& r, const requests::keep_answer& a);
  void perform(active_request& r, const requests::hand_over& a);
  void perform(active_request& r, const requests::redirect& a);
  void perform(active_request& r, const requests::finish& a);
  void on_claim(active_request& r, const claim_outcome& outcome);

  // request_table_attempts.cc
  void start_exchange_for(active_request& r, const requests::start_attempt& a, const placed& where);
  void import_then_start(active_request& r, const requests::start_attempt& a, const placed& where);
  [[nodiscard]] http::request message_for(const active_request& r,
                                          const requests::start_attempt& a) const;
  void on_attempt_head(const std::string& id, requests::attempt_number n,
                       const http::response& head);
  void on_attempt_bytes(const std::string& id, requests::attempt_number n,
                        const std::string& bytes);
  void on_attempt_ended(const std::string& id, requests::attempt_number n);
  void on_attempt_failed(const std::string& id, requests::attempt_number n,
                         exchange_failure failure);
  [[nodiscard]] active_request* find_running(const std::string& id, requests::attempt_number n);
  void record_first_token(active_request& r);
  void count_token_usage(const requests::token_usage& usage);
  void end_attempt(active_request& r);
  void cancel_at_engine(active_request& r, const running_attempt& run, bool confirm);
  [[nodiscard]] std::vector<std::string> requests_on(const endpoint_id& endpoint) const;
  void update_moves(const endpoint_id& endpoint, std::optional<wall_time> reclaim_at);
  [[nodiscard]] std::optional<double> measured_decode_rate(const active_request& r) const;
  [[nodiscard]] requests::move_estimate estimate_move(const active_request& r,
                                                      std::optional<wall_time> reclaim_at) const;

  // request_table_peers.cc
  void hand_over_requests();
  void hand_over_answers();
  [[nodiscard]] std::optional<daemon_id> choose_successor();
  void offer_to_peer(const std::string& id, const handed_over_request& handed, int tries_left);
  [[nodiscard]] handed_over_request make_handover(const active_request& r,
                                                  const requests::handed_over_state& state) const;
  void keep_handed_over(const handed_over_request& handed);
  void redirect_pending_claim(const requests::answer_key& key);
  request_ptr rebuild_request(const handed_over_request& handed);

  core_context& context_;
  request_services services_;
  admission::admission_control admission_;
  admission::retry_budget retries_;
  requests::answer_store answers_;
  std::map<std::string, request_ptr> active_;
  std::map<call_number, std::string> calls_;             // id of the request that a call waits for
  std::map<std::uint64_t, std::string> by_nonce_;        // ids of requests in flight by claim nonce
  std::map<std::uint64_t, request_status> ended_claims_; // by nonce; peers may query them
  std::multimap<wall_time, std::uint64_t> ended_claims_by_expiry_;
  std::deque<std::pair<std::string, requests::request_event>> events_; // not processed yet
  bool processing_events_ = false;
  bool draining_ = false;
  int pending_answer_handovers_ = 0; // answers offered to a peer without a reply yet
  int pending_lookups_ = 0;          // calls that wait for readiness or a directory lookup
  std::uint64_t last_id_ = 0;
};

} // namespace wisteriaflow::core::internal

#endif // WISTERIAFLOW_SRC_CORE_REQUEST_TABLE_H_
