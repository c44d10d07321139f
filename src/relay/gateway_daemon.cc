#include "wisteriaflow/relay/gateway_daemon.h"

#include <algorithm>
#include <csignal>
#include <functional>
#include <optional>
#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "messages.h"
#include "relay/call_relay.h"
#include "relay/crash_store.h"
#include "relay/endpoint_relay.h"
#include "relay/endpoint_transport.h"
#include "relay/event_log.h"
#include "relay/fleet_state.h"
#include "relay/leader_duties.h"
#include "relay/link_checker.h"
#include "relay/origin_exchange.h"
#include "relay/origin_store.h"
#include "relay/peer_sync.h"
#include "relay/rollout_sync.h"
#include "relay/store_client.h"
#include "relay/store_sync.h"
#include "relay/version_store.h"
#include "wisteriaflow/gateway/caller_addresses.h"
#include "wisteriaflow/gateway/drain_schedule.h"
#include "wisteriaflow/http/errors.h"
#include "wisteriaflow/http/status.h"

namespace wisteriaflow::relay {
namespace {

using std::chrono::milliseconds;
namespace asio = boost::asio;

// How long callers may cache an answer to an address query. Some cache it three times as long, so
// callers use a draining daemon for at most the product of both.
constexpr std::chrono::seconds address_validity{1};
constexpr int max_validity_factor = 3;
// Callers keep connections for most of the idle time that operators declare, up to minutes. The
// gateway must never be the first to close a connection.
constexpr milliseconds caller_idle_timeout{600'000};
// Limits of the server itself; the limits in the configuration are checked for each call.
constexpr std::size_t header_limit = 64U << 10U;
constexpr std::size_t body_limit = std::size_t{16} << 20U;
constexpr milliseconds drain_check_period{50};

http::server_options caller_server_options(const settings& s)
{
  return {.address = s.callers,
          .header_limit = header_limit,
          .body_limit = body_limit,
          .idle_timeout = caller_idle_timeout};
}

} // namespace

class gateway_daemon::implementation {
 public:
  implementation(const settings& s, log_output log)
      : log_(std::move(log.write), std::move(log.queued)), state_(s, log_),
        store_(context_, state_), store_sync_(context_, state_, store_),
        crash_store_(context_, state_, store_), version_store_(context_, state_, store_),
        origin_store_(context_, state_, store_), peers_(context_, state_),
        origins_(
            context_, state_,
            [this](mono_time deadline) { return version_store_.read_recorded(deadline); },
            origin_store_),
        duties_(context_, state_, store_), rollouts_(context_, state_, store_),
        link_checker_(context_, state_), transport_(context_, state_, link_checker_),
        endpoint_relay_(state_, transport_), relay_(context_, state_, peers_, transport_, origins_),
        callers_(context_, caller_server_options(s),
                 [this](http::request r, http::response_writer& w) {
                   return relay_.serve(std::move(r), w);
                 }),
        addresses_(context_, {.address = s.addresses, .idle_timeout = caller_idle_timeout},
                   [this](http::request r, http::response_writer& w) {
                     return answer_addresses(std::move(r), w);
                   }),
        readiness_(context_, {.address = s.readiness, .idle_timeout = caller_idle_timeout},
                   [this](http::request r, http::response_writer& w) {
                     return answer_readiness(std::move(r), w);
                   }),
        signals_(context_, SIGTERM, SIGINT, SIGHUP)
  {
    if (s.metrics) {
      metrics_.emplace(context_, http::server_options{.address = *s.metrics},
                       [this](http::request r, http::response_writer& w) {
                         return answer_metrics(std::move(r), w);
                       });
    }
  }

  [[nodiscard]] http::socket_address caller_address() const { return callers_.address(); }

  void run()
  {
    log_.write(daemon::log_level::info, "started",
               {{"daemon", state_.options.id.value()}, {"callers", to_string(caller_address())}});
    store_sync_.start();
    crash_store_.start();
    version_store_.start();
    origin_store_.start();
    peers_.add_handler(std::string(relay_target),
                       [this](http::request r, http::response_writer& w) {
                         return endpoint_relay_.serve(std::move(r), w);
                       });
    peers_.add_handler(std::string(probe_target),
                       [this](http::request r, http::response_writer& w) {
                         return link_checker_.answer_probe(std::move(r), w);
                       });
    peers_.add_handler(std::string(origins_target),
                       [this](http::request r, http::response_writer& w) {
                         return origins_.serve_origins(std::move(r), w);
                       });
    peers_.add_handler(std::string(origin_target),
                       [this](http::request r, http::response_writer& w) {
                         return origins_.serve_question(std::move(r), w);
                       });
    peers_.add_handler(std::string(recorded_versions_target),
                       [this](http::request r, http::response_writer& w) {
                         return version_store_.serve_recorded(std::move(r), w);
                       });
    peers_.start();
    origins_.start();
    duties_.start();
    rollouts_.start();
    await_signal();
    context_.run();
    log_.write(daemon::log_level::info, "stopped", {{"daemon", state_.options.id.value()}});
  }

  void request_drain()
  {
    asio::post(context_, [this] { drain(); });
  }

 private:
  void drain()
  {
    if (state_.drain()) {
      return;
    }
    log_.write(daemon::log_level::info, "draining",
               {{"open_calls", std::to_string(relay_.open_calls())}});
    state_.begin_drain(gateway::make_drain_schedule(std::chrono::steady_clock::now(),
                                                    state_.options.drain_grace,
                                                    max_validity_factor * address_validity));
    callers_.disable_keep_alive();
    asio::co_spawn(context_, finish_drain(), asio::detached);
  }

  void await_signal()
  {
    signals_.async_wait([this](boost::system::error_code ec, int signal) {
      if (ec) {
        return;
      }
      if (signal == SIGHUP) {
        // A running process cannot change the addresses that it is bound to, and the rest of the
        // file is read at the next start only.
        log_.write(daemon::log_level::info, "settings changed", {{"effect", "at the next start"}});
      } else {
        drain();
      }
      await_signal();
    });
  }

  // Ends the process when callers no longer use this daemon and every call has been answered, at
  // the latest when the schedule says so. Every open call is answered before.
  asio::awaitable<void> finish_drain()
  {
    const auto drain = *state_.drain();
    std::function<bool()> callers_have_left = [this, &drain] {
      const bool is_idle = open_calls() == 0 && callers_.busy_connections() == 0;
      return is_idle &&
             drain.may_end_early(std::chrono::steady_clock::now(), callers_.last_request_at());
    };
    co_await wait_until(drain.answers_due_at, std::move(callers_have_left));
    relay_.end_open_calls();
    endpoint_relay_.end_open_calls();
    callers_.stop_accepting(milliseconds(0));
    std::function<bool()> all_are_answered = [this] {
      return open_calls() == 0 && callers_.connections() == 0;
    };
    co_await wait_until(drain.process_ends_at, std::move(all_are_answered));
    log_drained(drain.began_at);
    context_.stop();
  }

  // Waits until `condition` holds, at most until `deadline`.
  asio::awaitable<void> wait_until(mono_time deadline, std::function<bool()> condition)
  {
    asio::steady_timer timer(context_);
    boost::system::error_code ec;
    for (auto now = std::chrono::steady_clock::now(); now < deadline && !condition();
         now = std::chrono::steady_clock::now()) {
      timer.expires_at(std::min(deadline, now + drain_check_period));
      co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ec));
    }
  }

  void log_drained(mono_time began_at)
  {
    const auto took =
        std::chrono::duration_cast<milliseconds>(std::chrono::steady_clock::now() - began_at);
    log_.write(daemon::log_level::info, "drained",
               {{"open_calls", std::to_string(relay_.open_calls())},
                {"carried_calls", std::to_string(endpoint_relay_.open_calls())},
                {"busy_connections", std::to_string(callers_.busy_connections())},
                {"took_ms", std::to_string(took.count())}});
  }

  // Calls of callers and of peers.
  [[nodiscard]] std::size_t open_calls() const
  {
    return relay_.open_calls() + endpoint_relay_.open_calls();
  }

  asio::awaitable<void> answer_addresses(http::request request, http::response_writer& writer)
  {
    http::response out{.status = http::status::not_found};
    if (const auto query = adapter::decode_address_query(request)) {
      const auto addresses = addresses_for(query->zone);
      out = addresses.empty() ? http::response{.status = http::status::service_unavailable}
                              : adapter::encode_addresses(addresses, address_validity);
    }
    co_await writer.send(std::move(out));
  }

  std::vector<http::socket_address> addresses_for(const availability_zone& zone) const
  {
    constexpr std::size_t max_addresses = 64; // per answer
    auto daemons = state_.peers.live(std::chrono::steady_clock::now());
    daemons.push_back(state_.self_contact());
    return gateway::addresses_for_callers(zone.empty() ? state_.options.zone : zone, daemons,
                                          max_addresses);
  }

  asio::awaitable<void> answer_metrics(http::request request, http::response_writer& writer)
  {
    http::response out{.status = http::status::not_found};
    if (request.target == "/metrics") {
      out = {.status = http::status::ok, .body = state_.counters.exposition()};
    }
    co_await writer.send(std::move(out));
  }

  asio::awaitable<void> answer_readiness(http::request request, http::response_writer& writer)
  {
    http::response out{.status = http::status::not_found};
    if (adapter::is_readiness_check(request)) {
      out.status = state_.is_ready() ? http::status::ok : http::status::service_unavailable;
    }
    co_await writer.send(std::move(out));
  }

  asio::io_context context_{1};
  event_log log_;
  fleet_state state_;
  store_client store_;
  store_sync store_sync_;
  crash_store crash_store_;
  version_store version_store_;
  origin_store origin_store_;
  peer_sync peers_;
  origin_exchange origins_;
  leader_duties duties_;
  rollout_sync rollouts_;
  link_checker link_checker_;
  endpoint_transport transport_;
  endpoint_relay endpoint_relay_;
  call_relay relay_;
  http::server callers_;
  http::server addresses_;
  http::server readiness_;
  std::optional<http::server> metrics_;
  asio::signal_set signals_;
};

gateway_daemon::gateway_daemon(const settings& s, log_output log)
    : implementation_(std::make_unique<implementation>(s, std::move(log)))
{
}

gateway_daemon::~gateway_daemon() = default;

void gateway_daemon::run()
{
  implementation_->run();
}

void gateway_daemon::drain()
{
  implementation_->request_drain();
}

http::socket_address gateway_daemon::caller_address() const
{
  return implementation_->caller_address();
}

} // namespace wisteriaflow::relay
