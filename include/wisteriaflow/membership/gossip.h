// Spreads one daemon's view to its peers, at flat cost.
//
// Three mechanisms, each for what the others do badly:
//  - An *urgent push* for each member that starts to leave: at once to a few random peers, who
//    push it on themselves on first hearing it, repeated a fixed number of times. So it outlives
//    the daemon that was told first.
//  - An *exchange* each period with a random peer: fresh records and a bounded number of fresh
//    heartbeats, those sent least often first.
//  - *Repair*: an exchange compares the views' hashes. If they differ, the sender asks again with
//    the hashes of the view's parts, and gets the records of the parts that differ, as far as they
//    changed since the version of the peer's view it has already seen.
//
// Pure: messages and the time go in, messages to send come out.

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
#include "wisteriaflow/membership/internal/heartbeat_board.h"
#include "wisteriaflow/membership/internal/news_board.h"
#include "wisteriaflow/membership/internal/repair_pacer.h"
#include "wisteriaflow/membership/member.h"
#include "wisteriaflow/membership/messages.h"
#include "wisteriaflow/membership/usage_ledger.h"
#include "wisteriaflow/membership/view.h"

namespace wisteriaflow::membership {

struct gossip_options {
  std::chrono::milliseconds period{1000};
  // Peers of one exchange.
  int fanout = 2;
  // An urgent record goes to `urgent_fanout` peers, `urgent_pushes` times, `urgent_gap` apart.
  int urgent_fanout = 4;
  int urgent_pushes = 4;
  std::chrono::milliseconds urgent_gap{200};
  // Peers of the first push of what this daemon was told other than by gossip.
  int told_fanout = 8;
  // News that comes sooner after a push than this waits, so that a wave shares its messages.
  std::chrono::milliseconds urgent_batch{50};
  // Bounds of one message.
  std::size_t max_news = 128;
  std::size_t max_heartbeats = 64;
  std::size_t max_repair = 256;
  std::size_t max_loads = 32;
  // How often a heartbeat is sent on by each daemon that hears it.
  int heartbeat_sends = 4;
  // Repair waits for this long after a change, while the news still spreads by itself.
  std::chrono::milliseconds repair_delay{2000};
  // Of the choice of peers; different in each daemon.
  std::uint64_t seed = 0;
  usage_ledger_options usage;
  // Whether a peer's subset holds an endpoint: its load is then worth sending. Empty: none.
  std::function<bool(const daemon_id&, const endpoint_id&)> holds;
};

// What a received message calls for.
struct gossip_response {
  gossip_message reply;
  // To be sent at once.
  std::vector<outgoing_gossip> pushes;
};

class gossiper {
 public:
  // `view` must outlive the gossiper.
  gossiper(gossip_options options, membership_view& view, clock_reading now);

  // Messages that are due. Call at `next_due()`, and at once after the view heard of a leaving
  // member from elsewhere.
  std::vector<outgoing_gossip> tick(clock_reading now);
  [[nodiscard]] mono_time next_due() const;

  // A message from a peer.
  gossip_response receive(const gossip_message& message, clock_reading now);

  // A peer's reply to a message of this daemon's; returns follow-ups to be sent at once.
  std::vector<outgoing_gossip> receive_reply(const gossip_message& reply, clock_reading now);

  // A message that could not be sent, or had no reply in time.
  void send_failed(const daemon_id& to, clock_reading now);

  // The configuration in force here.
  void set_configuration(std::uint64_t revision, std::uint64_t floor);

  // The highest configuration revision and floor heard of, and who has it.
  struct known_configuration {
    std::uint64_t revision = 0;
    std::uint64_t floor = 0;
    daemon_id holder;
  };
  [[nodiscard]] const known_configuration& highest_configuration() const { return highest_; }

  // An endpoint's load as this daemon measured it.
  void set_load(const endpoint_load& load);

  // Loads that peers measured since the last call.
  std::vector<endpoint_load> take_loads();

  [[nodiscard]] usage_ledger& usage() { return usage_; }

 private:
  void absorb(const gossip_message& message, clock_reading now);
  void note_changes(bool spread, clock_reading now);
  void note_agreement(const gossip_message& message);
  gossip_message message_to(const daemon_id& to, gossip_kind kind, clock_reading now);
  void add_heartbeats(gossip_message& message, clock_reading now);
  void add_loads(gossip_message& message, const daemon_id& to) const;
  void add_repair(gossip_message& reply, const gossip_message& asked);
  std::vector<const member*> choose_peers(int n);
  std::vector<outgoing_gossip> urgent_pushes(clock_reading now);
  std::vector<outgoing_gossip> exchanges(clock_reading now);
  std::vector<outgoing_gossip> usage_messages(clock_reading now);

  gossip_options options_;
  membership_view& view_;
  std::mt19937_64 random_;
  internal::news_board news_;
  internal::heartbeat_board heartbeats_;
  usage_ledger usage_;
  internal::repair_pacer repair_;
  known_configuration own_configuration_;
  known_configuration highest_;
  std::map<daemon_id, std::uint64_t> seen_versions_;
  std::map<endpoint_id, endpoint_load> own_loads_;
  std::vector<endpoint_load> heard_loads_;
  std::uint64_t noted_version_ = 0;
  // Whether what is to be pushed came from elsewhere than gossip.
  bool told_ = false;
  mono_time exchange_due_;
  mono_time urgent_due_;
};

} // namespace wisteriaflow::membership

#endif // WISTERIAFLOW_MEMBERSHIP_GOSSIP_H_
