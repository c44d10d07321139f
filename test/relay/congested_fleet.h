// A simulated fleet whose messages take time: every daemon and the store has a link of limited
// width, on which a large answer holds up the small messages behind it.
//
// The daemons' state, exchange rounds and retries are the real ones, on a simulated clock; the
// transport and its timeouts are as in peer_sync.cc and store_sync.cc.
//
//   class MyTest : public congested_fleet {};
//   start_fleet({.daemons = 195, .endpoints = 1'000});
//   run_for(8s);
//   leave(80);
//   run_for(7s);
//   EXPECT_EQ(late_pairs(), 0U);

#ifndef WISTERIAFLOW_TEST_RELAY_CONGESTED_FLEET_H_
#define WISTERIAFLOW_TEST_RELAY_CONGESTED_FLEET_H_

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "relay/simulated_fleet.h"
#include "wisteriaflow/gateway/retry_policy.h"

namespace wisteriaflow::relay {

// One direction of a link. Messages pass one after the other.
class thin_link {
 public:
  explicit thin_link(double bytes_per_second) : bytes_per_second_(bytes_per_second) {}

  // Returns when the last of `bytes` that are ready at `ready_at` has passed.
  mono_time pass(mono_time ready_at, std::size_t bytes)
  {
    const std::chrono::duration<double> time(static_cast<double>(bytes) / bytes_per_second_);
    free_at_ = std::max(free_at_, ready_at) + std::chrono::duration_cast<mono_time::duration>(time);
    return free_at_;
  }

 private:
  double bytes_per_second_;
  mono_time free_at_;
};

// Both directions of the link of a daemon or the store.
struct host_link {
  explicit host_link(double bytes_per_second) : out(bytes_per_second), in(bytes_per_second) {}

  thin_link out;
  thin_link in;
};

struct congested_fleet_options {
  std::size_t daemons = 195;
  std::size_t endpoints = 0;              // known to all daemons at the start
  double daemon_bytes_per_second = 2.5e6; // 20 Mbit/s
  double store_bytes_per_second = 25e6;
};

class congested_fleet : public testing::Test {
 protected:
  static constexpr milliseconds notice{5'000}; // as in the settings of simulated_daemon

  void start_fleet(const congested_fleet_options& options)
  {
    store_link_ = host_link(options.store_bytes_per_second);
    for (std::size_t i = 0; i < options.endpoints; ++i) {
      register_endpoint();
    }
    for (std::size_t n = 0; n < options.daemons; ++n) {
      daemons_.push_back(std::make_unique<congested_daemon>(n, log_, options));
      auto& d = *daemons_.back();
      d.state.set_urgent_update_callback([this, &d] { schedule_urgent_round(d); });
      d.state.endpoints.replace_all(endpoints_, revision_, now_);
      for (const auto& e : endpoints_) {
        d.state.feed.update(e);
      }
      d.state.feed.on_list(d.state.endpoints.all(), revision_, now_);
      d.state.on_rollouts_read(1);
      at(now_ + milliseconds(random_() % 400), [this, &d] { run_round(d); });
      schedule_read(d);
    }
    std::vector<http::socket_address> registered;
    for (std::size_t n = 0; n < options.daemons; ++n) {
      registered.push_back(simulated_address(n));
    }
    for (const auto& d : daemons_) {
      d->state.on_daemons_listed(registered, now_);
    }
  }

  // Lets `number` endpoints register, one after the other.
  void register_endpoints(std::size_t number, std::chrono::microseconds gap)
  {
    for (std::size_t i = 0; i < number; ++i) {
      at(now_ + i * gap, [this] { register_endpoint(); });
    }
  }

  // Lets the `number` endpoints that registered first, of those that serve, state at once that they
  // leave. After their notice has passed, late_pairs() counts the daemons that still use them.
  void leave(std::size_t number)
  {
    for (std::size_t i = 0; i < number && next_leaving_ < endpoints_.size(); ++i) {
      auto record = endpoints_[next_leaving_++];
      record.leaving = true;
      write(record);
      at(now_ + notice, [this, id = record.id] { count_late(id); });
      at(now_ + notice + 2s, [this, id = record.id] { remove(id); });
    }
  }

  void run_for(milliseconds time)
  {
    const auto end = now_ + time;
    while (!events_.empty() && events_.top().at < end) {
      const auto next = events_.top();
      events_.pop();
      now_ = next.at;
      next.run();
    }
    now_ = end;
  }

  // Number of pairs of a daemon and an endpoint that the daemon used after the endpoint's notice.
  [[nodiscard]] std::size_t late_pairs() const { return late_pairs_; }

 private:
  struct congested_daemon : simulated_daemon {
    congested_daemon(std::size_t n, event_log& log, const congested_fleet_options& options)
        : simulated_daemon(n, log, 1'000 + n), link(options.daemon_bytes_per_second), retries({}, n)
    {
    }

    host_link link;
    gateway::retry_policy retries;
    unsigned failed_reads = 0; // in a row
    bool fetches_endpoints = false;
    std::set<http::socket_address> exchanges_in_flight;
  };

  struct event {
    mono_time at;
    std::uint64_t number = 0; // events of the same time happen in their order
    std::function<void()> run;

    friend bool operator<(const event& a, const event& b)
    {
      return std::tie(a.at, a.number) > std::tie(b.at, b.number);
    }
  };

  // Sizes of messages in bytes, with header fields; reports are compressed.
  static constexpr std::size_t request_bytes = 200;
  static constexpr std::size_t full_report_bytes = 2'600;
  static constexpr std::size_t brief_report_bytes = 900;
  static constexpr std::size_t departure_bytes = 14;
  static constexpr std::size_t stored_entry_bytes = 350;
  static constexpr std::size_t max_store_page = 500; // entries
  static constexpr std::size_t segment_bytes = std::size_t{64} << 10U;
  static constexpr milliseconds latency{1};
  static constexpr milliseconds exchange_timeout{500};
  static constexpr milliseconds fetch_timeout{1'000};
  static constexpr milliseconds watch_wait{200};
  static constexpr milliseconds watch_timeout{900};

  void at(mono_time when, std::function<void()> run)
  {
    events_.push({.at = when, .number = ++last_event_, .run = std::move(run)});
  }

  // Moves a message over two links in segments, each sent once the one before has arrived, so that
  // messages share the links. Given up at `deadline`.
  void transfer(thin_link& from, thin_link& to, std::size_t bytes, mono_time deadline,
                std::function<void()> on_arrival)
  {
    const auto n = std::min(bytes, segment_bytes);
    at(from.pass(now_, n) + latency, [=, this, &from, &to, on_arrival = std::move(on_arrival)] {
      at(to.pass(now_, n), [=, this, &from, &to] {
        if (now_ > deadline) {
          return;
        }
        if (bytes > n) {
          transfer(from, to, bytes - n, deadline, on_arrival);
        } else {
          on_arrival();
        }
      });
    });
  }

  void register_endpoint()
  {
    const auto n = endpoints_.size();
    write({.id = endpoint_id("i-" + std::to_string(rendezvous_score(n, "endpoint"))),
           .service = "chat",
           .version = "1",
           .address = {.host = "10.1.67.137", .port = 8786},
           .zone = availability_zone("zone-a"),
           .places = 12});
  }

  void write(gateway::endpoint_record record)
  {
    record.revision = ++revision_;
    const auto known = std::find_if(endpoints_.begin(), endpoints_.end(),
                                    [&](const auto& e) { return e.id == record.id; });
    if (known == endpoints_.end()) {
      endpoints_.push_back(record);
    } else {
      *known = record;
    }
    history_[revision_] = {.id = record.id, .record = record};
    last_write_[record.id] = revision_;
  }

  void remove(const endpoint_id& id)
  {
    history_[++revision_] = {.id = id};
    last_write_[id] = revision_;
  }

  void count_late(const endpoint_id& id)
  {
    for (const auto& d : daemons_) {
      const auto it = d->state.endpoints.all().find(id);
      late_pairs_ += it != d->state.endpoints.all().end() && !it->second.leaving ? 1 : 0;
    }
  }

  congested_daemon& daemon_at(const http::socket_address& address)
  {
    return *daemons_[address.port - 7'000U];
  }

  [[nodiscard]] clock_reading clocks() const
  {
    return {.mono = now_, .wall = wall_time{now_.time_since_epoch() / 1ms * 1ms}};
  }

  void schedule_urgent_round(congested_daemon& d)
  {
    if (std::exchange(d.has_urgent_update, true)) {
      return;
    }
    at(now_ + urgent_batch_delay, [this, &d] {
      d.has_urgent_update = false;
      for (const auto& peer : d.rounds.next_urgent_targets(idle_peers(d))) {
        exchange(d, daemon_at(peer), fleet_state::report_extent::brief);
      }
    });
  }

  std::vector<http::socket_address> idle_peers(const congested_daemon& d) const
  {
    auto out = d.state.peers.addresses_to_contact(now_);
    std::erase_if(out, [&d](const auto& peer) {
      return d.exchanges_in_flight.contains(peer) || peer == d.state.options.peers;
    });
    return out;
  }

  void run_round(congested_daemon& d)
  {
    using extent = fleet_state::report_extent;
    const auto regular = d.state.regular_targets(now_);
    const auto& addresses = regular.addresses;
    for (const auto& peer : d.rounds.next_targets(idle_peers(d), regular, now_)) {
      const bool is_regular =
          std::find(addresses.begin(), addresses.end(), peer) != addresses.end();
      exchange(d, daemon_at(peer), is_regular ? extent::brief : extent::full);
    }
    d.state.tick(clocks());
    at(now_ + exchange_period, [this, &d] { run_round(d); });
  }

  static std::size_t size_of(const gateway::peer_report& report, fleet_state::report_extent extent)
  {
    const bool brief = extent == fleet_state::report_extent::brief;
    return (brief ? brief_report_bytes : full_report_bytes) +
           report.departures.size() * departure_bytes;
  }

  void exchange(congested_daemon& from, congested_daemon& to, fleet_state::report_extent extent)
  {
    const auto asked_at = now_;
    const auto deadline = asked_at + exchange_timeout;
    const auto& peer = to.state.options.peers;
    from.exchanges_in_flight.insert(peer);
    at(deadline, [&from, peer] { from.exchanges_in_flight.erase(peer); });
    auto sent = std::make_shared<gateway::peer_report>(from.state.report(clocks(), extent));
    transfer(from.link.out, to.link.in, size_of(*sent, extent), deadline, [=, this, &from, &to] {
      to.state.merge_report(*sent, clocks());
      to.rounds.on_report(from.state.options.peers, now_);
      auto reply = std::make_shared<gateway::peer_report>(to.state.report(clocks(), extent));
      transfer(to.link.out, from.link.in, size_of(*reply, extent), deadline, [=, this, &from, &to] {
        from.state.merge_report(*reply, clocks());
        from.rounds.on_report(peer, now_);
        if (from.state.feed.on_peer_view(reply->endpoints, asked_at) ==
            gateway::feed_action::fetch) {
          fetch_endpoints(from, to);
        }
      });
    });
  }

  void fetch_endpoints(congested_daemon& d, congested_daemon& peer)
  {
    if (!d.state.may_fetch_endpoints_from(peer.state.options.peers, now_) ||
        std::exchange(d.fetches_endpoints, true)) {
      return;
    }
    const auto after = d.state.feed.revision();
    const auto asked_at = now_;
    const auto deadline = asked_at + fetch_timeout;
    const auto done = std::make_shared<bool>(false);
    at(deadline, [&d, done] {
      if (!*done) {
        d.fetches_endpoints = false;
      }
    });
    transfer(d.link.out, peer.link.in, request_bytes, deadline, [=, this, &d, &peer] {
      auto changes = std::make_shared<gateway::endpoint_changes>(
          peer.state.endpoint_changes(after, max_page_records, now_));
      const auto bytes = deflate(gateway::encode_endpoint_changes(*changes)).size();
      transfer(peer.link.out, d.link.in, bytes, deadline, [=, this, &d, &peer] {
        *done = true;
        d.fetches_endpoints = false;
        d.state.apply_departures(changes->departures, "peer", now_);
        for (const auto& r : changes->records) {
          d.state.endpoints.apply(r, now_);
          d.state.feed.update_from_peer(r);
        }
        d.state.feed.on_fetched(*changes, after, asked_at);
        if (!changes->is_complete && d.state.feed.revision() > after) {
          fetch_endpoints(d, peer);
        }
      });
    });
  }

  // The changes after a revision, as many as the store puts into one answer.
  std::shared_ptr<std::vector<std::uint64_t>> changes_after(gateway::store_revision revision) const
  {
    auto out = std::make_shared<std::vector<std::uint64_t>>();
    for (auto it = history_.upper_bound(revision.number);
         it != history_.end() && out->size() < max_store_page; ++it) {
      if (last_write_.at(it->second.id) == it->first) {
        out->push_back(it->first);
      }
    }
    return out;
  }

  void schedule_read(congested_daemon& d)
  {
    const auto due = std::max(d.state.feed.next_read_at(), now_ + 50ms);
    at(due, [this, &d] {
      if (d.state.feed.is_read_due(now_)) {
        read_store(d);
      } else {
        schedule_read(d);
      }
    });
  }

  void read_store(congested_daemon& d)
  {
    const auto after = d.state.feed.revision();
    const auto asked_at = now_;
    const auto deadline = asked_at + watch_timeout;
    const auto done = std::make_shared<bool>(false);
    at(deadline, [this, &d, done] {
      if (!*done) {
        const auto pause =
            d.retries.backoff_after(++d.failed_reads, d.state.current_retry_context());
        at(now_ + pause, [this, &d] { read_store(d); });
      }
    });
    const auto answer = [=, this, &d] {
      const auto changes = changes_after(after);
      const auto up_to = changes->size() < max_store_page ? revision_ : changes->back();
      const auto bytes = request_bytes + changes->size() * stored_entry_bytes;
      transfer(store_link_.out, d.link.in, bytes, deadline, [=, this, &d] {
        *done = true;
        d.failed_reads = 0;
        apply_page(d, *changes, up_to, asked_at);
        schedule_read(d);
      });
    };
    transfer(d.link.out, store_link_.in, request_bytes, deadline, [=, this] {
      const bool has_changes = revision_ > after.number;
      at(has_changes ? now_ : now_ + watch_wait, answer);
    });
  }

  void apply_page(congested_daemon& d, const std::vector<std::uint64_t>& changes,
                  std::uint64_t up_to, mono_time asked_at)
  {
    const auto departed = d.state.endpoints.departures(now_).size();
    for (const auto revision : changes) {
      const auto& c = history_.at(revision);
      if (c.record) {
        d.state.apply_endpoint(*c.record, now_);
      } else {
        d.state.endpoints.remove({.id = c.id, .revision = up_to}, now_);
        d.state.feed.on_departure({.id = c.id, .revision = up_to});
      }
    }
    if (changes.size() < 100) { // full_page_changes of store_sync.cc
      d.state.feed.on_read(up_to, asked_at);
    } else {
      d.state.feed.on_partial_read(up_to);
    }
    if (d.state.endpoints.departures(now_).size() != departed) {
      d.state.signal_urgent_update();
    }
  }

  struct stored_change {
    endpoint_id id;
    std::optional<gateway::endpoint_record> record; // none: removed
  };

  event_log log_{[](const daemon::log_line&) { return true; }};
  std::priority_queue<event> events_;
  std::uint64_t last_event_ = 0;
  std::uint64_t revision_ = 1;
  std::vector<gateway::endpoint_record> endpoints_; // in the order of their registration
  std::size_t next_leaving_ = 0;
  std::map<std::uint64_t, stored_change> history_;  // by revision
  std::map<endpoint_id, std::uint64_t> last_write_; // revision
  host_link store_link_{1};
  std::size_t late_pairs_ = 0;

 protected:
  std::vector<std::unique_ptr<congested_daemon>> daemons_;
  mono_time now_{1'000s};
  std::mt19937_64 random_{1};
};

} // namespace wisteriaflow::relay

#endif // WISTERIAFLOW_TEST_RELAY_CONGESTED_FLEET_H_
