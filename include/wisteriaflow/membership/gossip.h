// Disseminates one daemon's membership view to its peers. The traffic of a daemon does not grow
// with the fleet.
//
// Three mechanisms cover each other's weaknesses:
// - An *urgent push* announces each member that starts to leave. It goes at once to a few random
//   peers, which push it on when they first receive it, and each daemon repeats it a fixed number
//   of times. The update therefore survives if the daemon that received it first ends.
// - An *exchange* runs each period with each of `fanout` random peers. It carries recently changed
//   records and a bounded number of recent heartbeats, those sent least often first.
// - *Repair* (anti-entropy): an exchange compares the hashes of the two views. If they differ, the
//   sender sends a second request with the hashes of the view's buckets. The reply contains the
//   records of the buckets that differ, as far as they changed since the version of the peer's view
//   that the sender has already seen.
//
// The class does no I/O: it takes messages and the time, and returns the messages to send.

#ifndef WISTERIAFLOW_MEMBERSHIP_GOSSIP_H_
#define WISTERIAFLOW_MEMBERSHIP_GOSSIP_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <random>
#include <vector>

#include "wisteriaflow/base/ids.h"
#include "wisteriaflow/base/time.h"
#include "wisteriaflow/membership/internal/heartbeat_queue.h"
#include "wisteriaflow/membership/internal/repair_scheduler.h"
#include "wisteriaflow/membership/internal/update_queue.h"
#include "wisteriaflow/membership/member.h"
#include "wisteriaflow/membership/messages.h"
#include "wisteriaflow/membership/usage_aggregator.h"
#include "wisteriaflow/membership/view.h"

namespace wisteriaflow::membership {

struct gossip_options {
  std::chrono::milliseconds period{1000};
  // Number of peers that the daemon exchanges with in each period.
  int fanout = 2;
  // An urgent record goes to `urgent_fanout` peers, `urgent_pushes` times, `urgent_interval` apart.
  int urgent_fanout = 4;
  int urgent_pushes = 4;
  std::chrono::milliseconds urgent_interval{200};
  // Number of peers of the first push of an update that this daemon did not receive by gossip.
  int origin_fanout = 8;
  // An update that arrives sooner than this after a push waits, so that updates that arrive
  // together share their messages.
  std::chrono::milliseconds urgent_batch_delay{50};
  // Limits on the content of one message.
  std::size_t max_updates = 128;
  std::size_t max_heartbeats = 64;
  std::size_t max_repair_records = 256;
  std::size_t max_loads = 32;
  // How often each daemon that receives a heartbeat forwards it.
  int heartbeat_sends = 4;
  // Repair waits this long after a change, while normal gossip still disseminates it.
  std::chrono::milliseconds repair_delay{2000};
  // Seed of the choice of peers; must differ between daemons.
  std::uint64_t seed = 0;
  usage_aggregator_options usage;
  // Returns whether the endpoint is in the peer's subset. The endpoint's load is sent only to such
  // peers. Empty: loads are sent to no peer.
  std::function<bool(const daemon_id&, const endpoint_id&)> is_in_subset;
};

// What to send after a message was received.
struct gossip_response {
  gossip_message reply;
  // Send these at once.
  std::vector<outgoing_gossip> pushes;
};

class gossiper {
 public:
  // `view` must outlive the gossiper.
  gossiper(gossip_options options, membership_view& view, clock_reading now);

  // Returns the messages that are due. Call it at `next_due()`, and at once after the view learned
  // of a leaving member from another source than gossip.
  std::vector<outgoing_gossip> tick(clock_reading now);
  // When tick next returns messages.
  [[nodiscard]] mono_time next_due() const;

  // Handles a message from a peer.
  gossip_response receive(const gossip_message& message, clock_reading now);

  // Handles a peer's reply to a message of this daemon; returns follow-up messages to send at once.
  std::vector<outgoing_gossip> receive_reply(const gossip_message& reply, clock_reading now);

  // Reports a message that could not be sent or that got no reply in time.
  void send_failed(const daemon_id& to, clock_reading now);

  // Sets the revision and floor of the configuration that is in force at this daemon.
  void set_configuration(std::uint64_t revision, std::uint64_t floor);

  // The highest configuration revision and floor that peers have reported, and a daemon that has
  // that revision.
  struct known_configuration {
    std::uint64_t revision = 0;
    std::uint64_t floor = 0;
    daemon_id holder;
  };
  [[nodiscard]] const known_configuration& highest_configuration() const
  {
    return highest_configuration_;
  }

  // Sets an endpoint's load as this daemon measured it.
  void set_load(const endpoint_load& load);

  // Returns the loads that peers have sent since the last call.
  std::vector<endpoint_load> take_loads();

  // The workspaces' usage, which is sent by gossip too.
  [[nodiscard]] usage_aggregator& usage() { return usage_; }

 private:
  void merge_message(const gossip_message& message, clock_reading now);
  void queue_changes(bool disseminate, clock_reading now);
  void note_agreement(const gossip_message& message);
  gossip_message make_message(const daemon_id& to, gossip_kind kind, clock_reading now);
  void add_heartbeats(gossip_message& message, clock_reading now);
  void add_loads(gossip_message& message, const daemon_id& to) const;
  void add_repair(gossip_message& reply, const gossip_message& request);
  std::vector<const member*> choose_peers(int n);
  std::vector<outgoing_gossip> urgent_pushes(clock_reading now);
  std::vector<outgoing_gossip> exchanges(clock_reading now);
  std::vector<outgoing_gossip> usage_messages(clock_reading now);

  gossip_options options_;
  membership_view& view_;
  std::mt19937_64 random_;
  internal::update_queue updates_;
  internal::heartbeat_queue heartbeats_;
  usage_aggregator usage_;
  internal::repair_scheduler repair_;
  known_configuration local_configuration_;
  known_configuration highest_configuration_;
  std::map<daemon_id, std::uint64_t> seen_versions_;
  std::map<endpoint_id, endpoint_load> local_loads_;
  std::vector<endpoint_load> received_loads_;
  std::uint64_t queued_version_ = 0;
  // Whether the next push contains updates that did not arrive by gossip.
  bool has_local_updates_ = false;
  mono_time exchange_due_;
  mono_time urgent_due_;
};

} // namespace wisteriaflow::membership

#endif // WISTERIAFLOW_MEMBERSHIP_GOSSIP_H_
