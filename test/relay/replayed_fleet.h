// A fleet of daemons that exchange reports: their real state and rounds on one list of events,
// without sockets.

#ifndef WISTERIAFLOW_TEST_RELAY_REPLAYED_FLEET_H_
#define WISTERIAFLOW_TEST_RELAY_REPLAYED_FLEET_H_

#include <algorithm>
#include <functional>
#include <memory>
#include <queue>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include <gtest/gtest.h>

#include "relay/fleet_state.h"
#include "wisteriaflow/base/hash.h"
#include "wisteriaflow/gateway/peer_rounds.h"

namespace wisteriaflow::relay {

using namespace std::chrono_literals;
using std::chrono::milliseconds;

inline constexpr milliseconds exchange_round{400};
// News wait so long for others to share their message.
inline constexpr milliseconds news_wait{15};

inline http::socket_address replayed_address(std::size_t n)
{
  return {.host = "10.0.0.1", .port = static_cast<std::uint16_t>(7'000 + n)};
}

class replayed_daemon {
 public:
  replayed_daemon(std::size_t n, event_log& log)
      : state({.id = daemon_id("d" + std::to_string(n)),
               .peers = replayed_address(n),
               .seeds = {replayed_address(0), replayed_address(1), replayed_address(2)},
               .trial_part = 0.1,
               .trial_slack = 50,
               .usage_window = 5s},
              log),
        rounds({.period = exchange_round}, n)
  {
  }

  fleet_state state;
  gateway::gossip_scheduler rounds;
  int reports = 0; // received whole
  int brief_reports = 0;
  bool alive = true;
  bool has_news = false; // to tell before the next round
};

class replayed_fleet : public testing::Test {
 protected:
  void start_fleet(std::size_t number)
  {
    daemons_.clear();
    due_ = {};
    for (std::size_t n = 0; n < number; ++n) {
      daemons_.push_back(make_daemon(n));
      const milliseconds phase(random_() % static_cast<std::uint64_t>(exchange_round.count()));
      due_.push({.at = now_ + phase, .daemon = n});
    }
  }

  // The daemon's process has ended; another one has started in its place.
  void restart_daemon(std::size_t n)
  {
    daemons_[n] = make_daemon(n);
    daemons_[n]->state.endpoints.replace_all(listed_, listed_.size(), now_);
  }

  void run_for(milliseconds time)
  {
    const auto end = now_ + time;
    while (due_.top().at < end) {
      const auto next = due_.top();
      due_.pop();
      now_ = next.at;
      auto& d = *daemons_[next.daemon];
      if (next.news) {
        play_news(d);
        continue;
      }
      if (d.alive) {
        play_round(d);
      }
      due_.push({.at = next.at + exchange_round, .daemon = next.daemon});
    }
    now_ = end;
  }

  // All daemons know the same endpoints, and have calls at some of them each.
  void give_endpoints(std::size_t number, int calls)
  {
    listed_.clear();
    for (std::size_t n = 0; n < number; ++n) {
      listed_.push_back(
          {.id = replayed_endpoint(n), .revision = 1 + n, .service = "chat", .places = 64});
    }
    for (const auto& d : daemons_) {
      d->state.endpoints.replace_all(listed_, number, now_);
      for (const auto& r : listed_) {
        d->state.feed.update(r);
      }
      d->state.feed.on_list(d->state.endpoints.all(), number, now_);
      give_calls(*d, calls);
    }
  }

  static endpoint_id replayed_endpoint(std::size_t n)
  {
    return endpoint_id("i-" + std::to_string(rendezvous_score(n, "endpoint") % 0xFFFFFFFFU));
  }

  // One daemon reads in the store that the endpoint leaves.
  void read_departure(replayed_daemon& d, std::size_t endpoint, std::uint64_t revision)
  {
    auto record = d.state.endpoints.all().at(replayed_endpoint(endpoint));
    record.leaving = true;
    record.revision = revision;
    d.state.take_endpoint(record, now_);
    d.state.feed.on_read(revision, now_);
    d.state.announce_news();
  }

  // Live daemons that would still send calls to the endpoint.
  [[nodiscard]] std::size_t unaware_of_departure(std::size_t endpoint) const
  {
    return static_cast<std::size_t>(
        std::count_if(daemons_.begin(), daemons_.end(), [&](const auto& d) {
          const auto& all = d->state.endpoints.all();
          const auto it = all.find(replayed_endpoint(endpoint));
          return d->alive && it != all.end() && !it->second.leaving;
        }));
  }

  // Pairs of daemons that live of which one takes the other for silent.
  [[nodiscard]] std::size_t taken_for_silent() const
  {
    std::size_t out = 0;
    for (const auto& a : daemons_) {
      for (const auto& b : daemons_) {
        const bool both = a != b && a->alive && b->alive;
        out += both && !a->state.peers.is_live(b->state.options.id, now_) ? 1 : 0;
      }
    }
    return out;
  }

  // An endpoint ends with one content under way, seen by the daemon, and 63 others.
  void end_endpoint(replayed_daemon& seen_by, int endpoint_number)
  {
    const gateway::endpoint_process process{.id =
                                                endpoint_id("i" + std::to_string(endpoint_number))};
    for (std::uint64_t i = 0; i < 64; ++i) {
      const auto n = i == 0 ? 1 : 1'000 * static_cast<std::uint64_t>(endpoint_number) + i;
      seen_by.state.crashes.on_crash(
          {.process = process, .content = {.hash = {.high = n, .low = n}}, .at = clocks().wall});
    }
  }

  // Daemons that hold the content.
  [[nodiscard]] std::size_t holders()
  {
    const gateway::content_id content{.hash = {.high = 1, .low = 1}};
    return static_cast<std::size_t>(std::count_if(daemons_.begin(), daemons_.end(), [&](auto& d) {
      return d->state.crashes.hold_of(content).has_value();
    }));
  }

  double loss_ = 0; // part of the exchanges that fail
  // Whether two daemons hear each other, by their numbers.
  std::function<bool(std::size_t, std::size_t)> hear_each_other_ = [](std::size_t, std::size_t) {
    return true;
  };
  std::vector<std::unique_ptr<replayed_daemon>> daemons_;
  mono_time now_{1'000s};

 private:
  struct due_round {
    mono_time at;
    std::size_t daemon = 0;
    bool news = false;

    friend bool operator<(const due_round& a, const due_round& b) { return a.at > b.at; }
  };

 protected:
  [[nodiscard]] clock_reading clocks() const
  {
    return {.mono = now_, .wall = wall_time{now_.time_since_epoch() / 1ms * 1ms}};
  }

 private:
  std::unique_ptr<replayed_daemon> make_daemon(std::size_t n)
  {
    auto out = std::make_unique<replayed_daemon>(n, log_);
    out->state.on_news([this, n] { tell_news(n); });
    return out;
  }

  // Every tenth call has not begun to be answered.
  void give_calls(replayed_daemon& d, int number)
  {
    for (int i = 0; i < number; ++i) {
      auto chosen = d.state.endpoints.choose(
          {.service = "chat", .target = now_ + 1s, .deadline = now_ + 10s}, now_);
      if (i % 10 != 0) {
        d.state.endpoints.on_first_token(std::get<gateway::pooled_endpoint>(chosen).work, now_);
      }
    }
  }

  void tell_news(std::size_t n)
  {
    auto& d = *daemons_[n];
    if (!std::exchange(d.has_news, true)) {
      due_.push({.at = now_ + news_wait, .daemon = n, .news = true});
    }
  }

  void play_news(replayed_daemon& d)
  {
    d.has_news = false;
    if (d.alive) {
      const auto peers = d.rounds.next_urgent_targets(d.state.peers.addresses_to_contact(now_));
      ask(d, peers, peers); // what they get is as brief as a lead's
    }
  }

  void play_round(replayed_daemon& d)
  {
    const auto leads = d.state.other_leads(now_);
    ask(d, d.rounds.next_targets(d.state.peers.addresses_to_contact(now_), leads, now_), leads);
    d.state.tick(clocks());
  }

  void ask(replayed_daemon& d, const std::vector<http::socket_address>& peers,
           const std::vector<http::socket_address>& leads = {})
  {
    using extent = fleet_state::report_extent;
    const bool large = d.rounds.is_large(d.state.peers.running_count(now_));
    for (const auto& address : peers) {
      auto& peer = *daemons_[address.port - 7'000U];
      const std::size_t own = d.state.options.peers.port - 7'000U;
      const bool lost = std::bernoulli_distribution(loss_)(random_) ||
                        !hear_each_other_(own, address.port - 7'000U);
      if (!peer.alive || lost) {
        continue;
      }
      const bool is_lead = std::find(leads.begin(), leads.end(), address) != leads.end();
      exchange(d, peer, large && is_lead ? extent::brief : extent::whole);
    }
  }

  void exchange(replayed_daemon& from, replayed_daemon& to, fleet_state::report_extent extent)
  {
    tell(from, to, extent);
    tell(to, from, extent);
    follow_view(from, to);
  }

  // Who has asked goes by the peer's view, and fetches what it lacks of it.
  void follow_view(replayed_daemon& d, const replayed_daemon& peer)
  {
    const auto view = peer.state.endpoint_view(now_);
    if (d.state.feed.on_peer_view(view, now_) == gateway::feed_action::nothing) {
      return;
    }
    const auto after = d.state.feed.revision();
    const auto changes = peer.state.endpoint_changes(after, now_);
    d.state.take_departures(changes.departures, now_);
    for (const auto& r : changes.records) {
      d.state.endpoints.apply(r, now_);
      d.state.feed.update_from_peer(r);
    }
    d.state.feed.on_fetched(changes.view, after, now_);
  }

  void tell(replayed_daemon& from, replayed_daemon& to, fleet_state::report_extent extent)
  {
    to.state.absorb(from.state.report(clocks(), extent), clocks());
    to.rounds.on_report(from.state.options.peers, now_);
    ++(extent == fleet_state::report_extent::brief ? to.brief_reports : to.reports);
  }

  event_log log_{[](const daemon::log_line&) { return true; }};
  std::priority_queue<due_round> due_;
  std::vector<gateway::endpoint_record> listed_;

 protected:
  std::mt19937_64 random_{1};
};

} // namespace wisteriaflow::relay

#endif // WISTERIAFLOW_TEST_RELAY_REPLAYED_FLEET_H_
