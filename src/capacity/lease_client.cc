#include "wisteriaflow/capacity/lease_client.h"

#include <algorithm>
#include <type_traits>
#include <utility>

#include <boost/mpl/vector.hpp>
#include <boost/msm/back/state_machine.hpp>
#include <boost/msm/front/functor_row.hpp>
#include <boost/msm/front/state_machine_def.hpp>

#include "capacity/lease_core.h"

namespace wisteriaflow::capacity {
namespace {

using boost::msm::front::Row;
using internal::lease_core;

enum class phase { idle, reading, waiting, claiming, holding, renewing, confirming, releasing };

// Internal events of the state machine.
struct wanted {};
struct unwanted {};
struct read_due {};
struct renew_due {};
struct expired {};

// Calls a member function of the core with the event, its version, or no argument, whichever the
// function takes.
template <auto member> struct call {
  template <typename event, typename machine, typename from, typename to>
  decltype(auto) operator()(const event& e, machine& fsm, from& /*source*/, to& /*target*/) const
  {
    if constexpr (requires { (fsm.core.*member)(e); }) {
      return (fsm.core.*member)(e);
    } else if constexpr (requires { (fsm.core.*member)(e.version); }) {
      return (fsm.core.*member)(e.version);
    } else {
      return (fsm.core.*member)();
    }
  }
};

template <auto guard> struct unless {
  template <typename event, typename machine, typename from, typename to>
  bool operator()(const event& e, machine& fsm, from& /*source*/, to& /*target*/) const
  {
    return !(fsm.core.*guard)(e);
  }
};

template <phase value> struct named_state : boost::msm::front::state<> {
  template <typename event, typename machine> void on_entry(const event& /*e*/, machine& fsm)
  {
    fsm.current = value;
  }
};

struct lease_machine_def : boost::msm::front::state_machine_def<lease_machine_def> {
  explicit lease_machine_def(lease_options options) : core(std::move(options)) {}

  struct idle : named_state<phase::idle> {};
  struct reading : named_state<phase::reading> {};
  struct waiting : named_state<phase::waiting> {};
  struct claiming : named_state<phase::claiming> {};
  struct holding : named_state<phase::holding> {};
  struct renewing : named_state<phase::renewing> {};
  struct confirming : named_state<phase::confirming> {};
  struct releasing : named_state<phase::releasing> {};
  using initial_state = idle;

  using read = call<&lease_core::read>;
  using schedule_reread = call<&lease_core::schedule_reread>;
  using observe = call<&lease_core::observe>;
  using on_acquired = call<&lease_core::on_acquired>;
  using renew = call<&lease_core::renew>;
  using on_renewed = call<&lease_core::on_renewed>;
  using resend_write = call<&lease_core::resend_write>;
  using on_lost = call<&lease_core::on_lost>;
  using on_released = call<&lease_core::on_released>;
  using is_own_write = call<&lease_core::is_own_write>;
  using is_claimable = call<&lease_core::is_claimable>;
  using is_write_base = call<&lease_core::is_write_base>;
  using may_claim_missing = call<&lease_core::may_claim_missing>;

  // Of several rows with the same state and event, the last one whose guard is true applies.
  // clang-format off
  struct transition_table : boost::mpl::vector<
      Row<idle, wanted, reading, read>,
      Row<reading, lease_found, waiting, observe>,
      Row<reading, lease_found, claiming, call<&lease_core::claim_existing>, is_claimable>,
      Row<reading, lease_found, holding, on_acquired, is_own_write>,
      Row<reading, lease_missing, waiting, schedule_reread>,
      Row<reading, lease_missing, claiming, call<&lease_core::claim_new>, may_claim_missing>,
      Row<reading, lease_call_unanswered, waiting, schedule_reread>,
      Row<waiting, read_due, reading, read>,
      Row<waiting, unwanted, idle, on_released>,
      Row<claiming, lease_written, holding, on_acquired>,
      Row<claiming, lease_conflict, reading, read>,
      Row<claiming, lease_call_unanswered, waiting, schedule_reread>,
      Row<holding, renew_due, renewing, renew>,
      Row<holding, expired, waiting, on_lost>,
      Row<holding, unwanted, releasing, call<&lease_core::release>>,
      Row<renewing, lease_written, holding, on_renewed>,
      Row<renewing, lease_conflict, confirming, read>,
      Row<renewing, lease_call_unanswered, confirming, read>,
      Row<renewing, expired, waiting, on_lost>,
      Row<confirming, lease_found, waiting, on_lost>,
      Row<confirming, lease_found, renewing, resend_write, is_write_base>,
      Row<confirming, lease_found, holding, on_renewed, is_own_write>,
      Row<confirming, lease_missing, waiting, on_lost>,
      Row<confirming, lease_call_unanswered, confirming, schedule_reread>,
      Row<confirming, read_due, confirming, read>,
      Row<confirming, expired, waiting, on_lost>,
      Row<releasing, lease_written, idle, on_released>,
      Row<releasing, lease_conflict, idle, on_released>,
      Row<releasing, lease_call_unanswered, idle, on_released>,
      Row<releasing, expired, idle, on_released>
      > {};
  // clang-format on

  // Events that a state has no row for are ignored.
  template <typename event, typename machine>
  void no_transition(const event& /*e*/, machine& /*fsm*/, int /*state*/)
  {
  }

  lease_core core;
  phase current = phase::idle;
};

using lease_machine = boost::msm::back::state_machine<lease_machine_def>;

} // namespace

class lease_client::machine {
 public:
  explicit machine(lease_options options) : fsm_(std::move(options)) { fsm_.start(); }

  std::vector<lease_action> handle(const lease_event& event, clock_reading now)
  {
    fsm_.core.set_now(now);
    // Expiry is checked before the event is processed, since the event may have been delayed.
    if (is_holder() && core().deadline() <= now.mono) {
      fsm_.process_event(expired{});
    }
    std::visit([this](const auto& e) { on(e); }, event);
    process_due_timers(now.mono);
    return fsm_.core.take_actions();
  }

  [[nodiscard]] std::optional<mono_time> wake_at() const
  {
    switch (fsm_.current) {
    case phase::idle:
    case phase::reading:
    case phase::claiming:
      return std::nullopt;
    case phase::waiting:
      return core().read_at();
    case phase::holding:
      return std::min(core().renew_at(), core().deadline());
    case phase::confirming:
      return core().has_pending_call() ? core().deadline()
                                       : std::min(core().read_at(), core().deadline());
    case phase::renewing:
    case phase::releasing:
      return core().deadline();
    }
    return std::nullopt;
  }

  [[nodiscard]] bool is_holder() const
  {
    return fsm_.current == phase::holding || fsm_.current == phase::renewing ||
           fsm_.current == phase::confirming || fsm_.current == phase::releasing;
  }
  [[nodiscard]] bool is_idle() const { return fsm_.current == phase::idle; }
  // No orders are issued once the release of the lease has begun.
  [[nodiscard]] bool may_issue_order() const
  {
    return is_holder() && fsm_.current != phase::releasing;
  }
  [[nodiscard]] const lease_core& core() const { return fsm_.core; }

 private:
  void on(const lease_wanted& e) { wanted_ = e.wanted; }
  void on(const notes_changed& e) { fsm_.core.set_notes(e.notes); }
  void on(const lease_tick& /*e*/) {}
  void on(const store_restored& /*e*/)
  {
    fsm_.core.on_store_restored();
    if (is_holder()) {
      fsm_.process_event(expired{});
    }
  }
  template <typename answer> void on(const answer& e)
  {
    if (fsm_.core.accept_answer(e.call)) {
      fsm_.process_event(e);
    }
  }

  void process_due_timers(mono_time now)
  {
    if (!wanted_) {
      fsm_.process_event(unwanted{}); // also if it became unwanted during a pending call
      return;
    }
    if (fsm_.current == phase::idle) {
      fsm_.process_event(wanted{}); // wanted again while it was being released
    }
    if (fsm_.current == phase::waiting && core().read_at() <= now) {
      fsm_.process_event(read_due{});
    }
    if (fsm_.current == phase::confirming && !core().has_pending_call() &&
        core().read_at() <= now) {
      fsm_.process_event(read_due{});
    }
    if (fsm_.current == phase::holding && core().renew_at() <= now) {
      fsm_.process_event(renew_due{});
    }
  }

  lease_machine fsm_;
  bool wanted_ = false;
};

lease_client::lease_client(lease_options options)
    : machine_(std::make_unique<machine>(std::move(options)))
{
}

lease_client::~lease_client() = default;

std::vector<lease_action> lease_client::handle(const lease_event& event, clock_reading now)
{
  return machine_->handle(event, now);
}

std::optional<mono_time> lease_client::wake_at() const
{
  return machine_->wake_at();
}

bool lease_client::holds(mono_time now) const
{
  return machine_->may_issue_order() && now < machine_->core().deadline();
}

bool lease_client::may_issue_order(bool checks_fencing, mono_time now) const
{
  return holds(now) && (checks_fencing || machine_->core().unfenced_orders_allowed_at() <= now);
}

mono_time lease_client::deadline() const
{
  return machine_->core().deadline();
}

std::uint64_t lease_client::fencing_number() const
{
  return machine_->core().fencing_number();
}

const boost::json::value& lease_client::notes() const
{
  return machine_->core().notes();
}

bool lease_client::notes_written() const
{
  return machine_->core().notes_written();
}

bool lease_client::is_idle() const
{
  return machine_->is_idle();
}

const daemon_id& lease_client::last_seen_holder() const
{
  return machine_->core().last_seen_holder();
}

} // namespace wisteriaflow::capacity
