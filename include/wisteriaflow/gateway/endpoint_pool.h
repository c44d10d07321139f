// The endpoints that one daemon may send opaque requests to, and the choice among them.
//
// Endpoints come from the store (lists and changes, each at a revision) and from peers, which pass
// on that an endpoint leaves. What is known at a higher revision wins, so that a stale list brings
// no leaving endpoint back.
//
//   endpoint_pool pool({.zone = here, .seed = 1});
//   pool.replace_all(listed, revision, now);
//   if (auto chosen = pool.choose({.service = "chat", .prompt = parts, .target = t}, now)) {
//     pool.on_first_token(chosen->work, later);
//     pool.on_finished(chosen->work, tokens, last);
//   }

#ifndef WISTERIAFLOW_GATEWAY_ENDPOINT_POOL_H_
#define WISTERIAFLOW_GATEWAY_ENDPOINT_POOL_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <span>
#include <string>
#include <variant>
#include <vector>

#include "wisteriaflow/base/ids.h"
#include "wisteriaflow/base/time.h"
#include "wisteriaflow/gateway/call.h"
#include "wisteriaflow/gateway/demand_meter.h"
#include "wisteriaflow/gateway/departures.h"
#include "wisteriaflow/gateway/endpoint_health.h"
#include "wisteriaflow/gateway/endpoint_process.h"
#include "wisteriaflow/gateway/endpoint_work.h"
#include "wisteriaflow/gateway/peers_work.h"
#include "wisteriaflow/gateway/shared_prefix.h"
#include "wisteriaflow/gateway/stated_terms.h"
#include "wisteriaflow/gateway/version_traffic.h"
#include "wisteriaflow/http/message.h"
#include "wisteriaflow/routing/choose_endpoint.h"
#include "wisteriaflow/routing/endpoint_table.h"
#include "wisteriaflow/routing/prefix_belief.h"

namespace wisteriaflow::gateway {

// An endpoint as the store describes it.
struct endpoint_record {
  endpoint_id id;
  std::uint64_t revision = 0; // of the store, at which this was true
  // When its process started, in Unix milliseconds by its own clock; 0: not told. Only a difference
  // says something, that it is another process: the clocks of two instances may differ, and the
  // revision tells which of two descriptions is the newer.
  std::uint64_t incarnation = 0;
  std::string service;
  std::string version; // of its software; empty: not told
  http::socket_address address;
  availability_zone zone;
  std::uint32_t places = 1; // requests that it runs at once
  bool leaving = false;
  bool reclaimable = false;
  bool cold = false; // has started a short time ago and is still slow

  friend bool operator==(const endpoint_record&, const endpoint_record&) = default;
};

struct endpoint_pool_options {
  daemon_id self;
  availability_zone zone;
  std::uint64_t seed = 0;
  // Departures are passed on to all peers for this long.
  std::chrono::milliseconds departure_told{2'500};
  // A peer's work counts for this long after it was told: peers of a large fleet are heard every
  // 3.1 s at the least.
  std::chrono::milliseconds work_valid{3'500};
  endpoint_health_options health;
  // Until an endpoint's own rate is measured.
  double initial_prefill_rate = 30'000; // tokens/s
  // An endpoint at which so many peers find nobody is left out here as well, so that not each
  // daemon has to find out by time-outs of its own. One peer alone may itself be cut off.
  std::uint32_t peers_believed = 2;
};

// What a choice needs to know.
struct endpoint_wish {
  std::string_view service;
  std::span<const prompt_part> prompt;
  std::optional<token_size> size;
  mono_time target;
  mono_time deadline;
  std::span<const endpoint_id> excluded;
  version_selection lane = {};
  // Whether the caller may still be told that the call was not run. If not, it is sent to the least
  // bad endpoint though it may come too late.
  bool may_be_refused = true;
};

// The endpoint of one attempt. `work` is handed back as the attempt goes on.
struct pooled_endpoint {
  endpoint_id id;
  std::uint64_t incarnation = 0; // of the endpoint; see endpoint_record
  std::string version;
  http::socket_address address;
  routing::sent_work work;
  // Another endpoint that probably holds the prompt's shared parts, to copy them from.
  std::optional<http::socket_address> prefix_source = std::nullopt;

  [[nodiscard]] endpoint_process process() const { return {.id = id, .incarnation = incarnation}; }
};

// An endpoint, or why there is none and when there may be one.
using pool_choice = std::variant<pooled_endpoint, routing::no_endpoint>;

// Not thread-safe.
class endpoint_pool {
 public:
  explicit endpoint_pool(endpoint_pool_options options);

  // All endpoints as of `revision`. Those not listed are gone, unless removals are on hold.
  void replace_all(std::span<const endpoint_record> listed, std::uint64_t revision, mono_time now);

  // One endpoint's new description.
  void apply(const endpoint_record& changed, mono_time now);

  // The store has no entry any more.
  void remove(const endpoint_departure& gone, mono_time now);

  // Word that an endpoint leaves, from a peer or since its entry has become unusable. True if it is
  // news for an endpoint in use here.
  bool on_departure(const endpoint_departure& heard, mono_time now);

  // Until `deadline`, an entry that vanishes may only have lapsed with the store and is kept; what
  // is still missing then is gone.
  void hold_removals_until(mono_time deadline) { hold_until_ = deadline; }

  // Whether a removal may be on hold. Until none is, this daemon knows less than it has read.
  [[nodiscard]] bool holds_removals(mono_time now) const
  {
    return now < hold_until_ || !held_removals_.empty();
  }

  // Carries out removals whose hold has ended. Call a few times a second.
  void tick(mono_time now);

  // Whether any list was read.
  [[nodiscard]] bool is_known() const { return listed_; }

  // Whether an endpoint may be used but for what is told of it here; asked for each description.
  using usable = std::function<bool(const endpoint_record&)>;
  void use_only(usable may_be_used) { may_be_used_ = std::move(may_be_used); }
  // The answers may be others now.
  void check_usable();

  // Endpoints of `service` that take new work.
  [[nodiscard]] std::vector<const endpoint_record*> serving(std::string_view service) const;

  [[nodiscard]] const std::map<endpoint_id, endpoint_record>& all() const { return records_; }

  // Departures to pass on to peers.
  [[nodiscard]] std::vector<endpoint_departure> departures(mono_time now) const;
  [[nodiscard]] std::vector<endpoint_departure> departures_after(std::uint64_t revision) const
  {
    return departures_.after(revision);
  }

  // The endpoint for one attempt, whose work is counted from now on. None if no endpoint takes new
  // work, or if what waits at all of them makes the deadline unreachable.
  [[nodiscard]] pool_choice choose(const endpoint_wish& wish, mono_time now);

  // Whether the endpoint has started anew since it was chosen: what it ran then is lost.
  [[nodiscard]] bool has_restarted(const pooled_endpoint& chosen) const;

  // The daemons among which the rates are divided that endpoints name.
  void set_fleet(fleet_view fleet, mono_time now) { terms_.set_fleet(std::move(fleet), now); }

  // What an endpoint said of itself in an answer, and the same by the word of a peer.
  terms_step on_answer(const answered_terms& said, mono_time now);
  terms_step on_peer_terms(const told_terms& told, mono_time now);
  [[nodiscard]] std::vector<told_terms> terms_to_tell(std::size_t most, mono_time now);
  // Endpoints whose rate is kept, and those that have asked this daemon for a pause.
  [[nodiscard]] std::size_t limited() const { return terms_.limited(); }
  [[nodiscard]] std::size_t paused() const { return terms_.paused(); }

  // Whether the process is known and nothing says that it leaves.
  [[nodiscard]] bool is_staying(const endpoint_process& process) const;

  // The attempt's first event or whole answer has come.
  void on_first_token(routing::sent_work& work, mono_time now);

  // The attempt is over, whatever became of it.
  void on_finished(const routing::sent_work& work, std::uint64_t output_tokens, mono_time now);

  // The endpoint failed an attempt, or served one well. True if it is left out from now on.
  bool on_trouble(const endpoint_id& id, endpoint_trouble kind, mono_time now);
  void on_success(const endpoint_id& id);

  // Work of this daemon.
  [[nodiscard]] endpoint_work_map own_work() const;

  // The same with the endpoints at which it finds nobody, for its peers; and what a peer told.
  [[nodiscard]] endpoint_work_map work_to_tell(mono_time now) const;
  void on_peer_work(const daemon_id& peer, endpoint_work_map work, mono_time told_at);
  [[nodiscard]] const peer_work_totals& peers() const { return peers_; }

  // The same for prompt tokens. `refresh_loads` brings the own figure up to date.
  [[nodiscard]] const prefill_demand& own_prefill() const { return meter_.local_rates(); }
  void on_peer_prefill(const daemon_id& peer, prefill_demand demand, mono_time told_at);

  // Endpoints of `service` that the whole fleet's prompts, sent and waiting, would keep busy all
  // the time; see demand_meter.h.
  [[nodiscard]] double busy_endpoints(std::string_view service, mono_time now);

  // Takes the peers' work into account, as far as it still counts. Call a few times a second.
  void refresh_loads(mono_time now);

 private:
  // Endpoints of the wish's service by whether they may be chosen now.
  struct candidates {
    std::vector<routing::endpoint_slot> open;
    std::vector<routing::endpoint_slot> left_out; // in trouble
    // When the first of those opens that take no request now by the terms which they have stated.
    std::optional<mono_time> opens_at;
  };

  [[nodiscard]] candidates candidates_for(const endpoint_wish& wish, mono_time now) const;
  // What a call is told that may not be sent anywhere for now.
  routing::no_endpoint none_open(const endpoint_wish& wish, mono_time opens_at);
  // Of the target's endpoints as few as carry the load of the present ones; see version_lane.
  void keep_on_trial(const endpoint_wish& wish, std::vector<routing::endpoint_slot>& open) const;
  // Where the fleet gathers prompts with this one's shared parts; see shared_prefix.h.
  std::vector<routing::endpoint_slot> homes_of(const prompt_blocks& prompt, const token_size& size,
                                               const std::vector<routing::endpoint_slot>& open,
                                               mono_time now);
  // Daemons whose work is known, this one included.
  [[nodiscard]] std::size_t live_daemons() const { return 1 + peers_.peer_count(); }
  pool_choice choose_for_plain(const endpoint_wish& wish,
                               const std::vector<routing::endpoint_slot>& open, mono_time now);
  // Where the endpoint in `slot` may copy the prompt's shared parts from.
  [[nodiscard]] std::optional<http::socket_address>
  prefix_source_for(routing::endpoint_slot slot, const prompt_blocks& prompt,
                    const std::vector<routing::endpoint_slot>& open, mono_time now) const;
  pooled_endpoint take(routing::endpoint_slot slot, int prefill,
                       std::span<const std::uint64_t> blocks, const endpoint_wish& wish,
                       mono_time now);
  [[nodiscard]] mono_time left_out_until(routing::endpoint_slot slot) const;
  // Whether it is in trouble, by this daemon's calls or by its peers' word.
  [[nodiscard]] bool is_left_out(routing::endpoint_slot slot, mono_time now) const;
  void store(const endpoint_record& record);
  void note_usable(const endpoint_record& record);
  void erase(const endpoint_id& id);
  // Whether the process that `told` is of may be the one that is there now.
  [[nodiscard]] bool may_be_present(const endpoint_process& process) const;
  // Gives the process no new work if it has said that it leaves.
  void apply_leaving(const endpoint_process& process);
  [[nodiscard]] endpoint_work own_work_at(const endpoint_id& id) const;
  // An attempt stops waiting: its answer has begun, or it ended without.
  void end_wait(endpoint_work& own, const routing::sent_work& work);

  endpoint_pool_options options_;
  routing::routing_options routing_;
  std::map<endpoint_id, endpoint_record> records_;
  usable may_be_used_;
  std::set<endpoint_id> not_usable_;
  std::map<endpoint_id, std::uint64_t> held_removals_; // with the revision of the removal
  gateway::departures departures_;
  stated_terms terms_;
  peer_work_totals peers_;
  std::map<endpoint_id, endpoint_work> own_;
  endpoint_health health_;
  demand_meter meter_;
  routing::endpoint_table table_;
  routing::prefix_belief prefixes_;
  prefix_spread spread_;
  std::mt19937_64 random_;
  mono_time hold_until_;
  bool listed_ = false;
};

} // namespace wisteriaflow::gateway

#endif // WISTERIAFLOW_GATEWAY_ENDPOINT_POOL_H_
