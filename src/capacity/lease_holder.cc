#include "wisteriaflow/capacity/lease_holder.h"

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

enum class phase { idle, reading, watching, claiming, holding, renewing, confirming, giving_back };

// Events of the machine's own.
struct wanted {};
struct unwanted {};
struct read_due {};
struct renew_due {};
struct expired {};

// Calls a member of the core, with the event if it takes one.
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
  struct watching : named_state<phase::watching> {};
  struct claiming : named_state<phase::claiming> {};
  struct holding : named_state<phase::holding> {};
  struct renewing : named_state<phase::renewing> {};
  struct confirming : named_state<phase::confirming> {};
  struct giving_back : named_state<phase::giving_back> {};
  using initial_state = idle;

  using read = call<&lease_core::read>;
  using read_later = call<&lease_core::read_later>;
  using observe = call<&lease_core::observe>;
  using become_holder = call<&lease_core::become_holder>;
  using renew = call<&lease_core::renew>;
  using renewed = call<&lease_core::renewed>;
  using write_again = call<&lease_core::write_again>;
  using lose = call<&lease_core::lose>;
  using done = call<&lease_core::done>;
  using ours = call<&lease_core::is_ours>;
  using free = call<&lease_core::is_free>;
  using base = call<&lease_core::is_base>;

  // Of rows with the same state and event the last one whose guard holds is taken.
  // clang-format off
  struct transition_table : boost::mpl::vector<
      Row<idle, wanted, reading, read>,
      Row<reading, lease_found, watching, observe>,
      Row<reading, lease_found, claiming, call<&lease_core::claim_found>, free>,
      Row<reading, lease_found, holding, become_holder, ours>,
      Row<reading, lease_missing, claiming, call<&lease_core::claim_new>>,
      Row<reading, lease_call_lost, watching, read_later>,
      Row<watching, read_due, reading, read>,
      Row<watching, unwanted, idle, done>,
      Row<claiming, lease_written, holding, become_holder>,
      Row<claiming, lease_conflict, reading, read>,
      Row<claiming, lease_call_lost, watching, read_later>,
      Row<holding, renew_due, renewing, renew>,
      Row<holding, expired, watching, lose>,
      Row<holding, unwanted, giving_back, call<&lease_core::give_back>>,
      Row<renewing, lease_written, holding, renewed>,
      Row<renewing, lease_conflict, confirming, read>,
      Row<renewing, lease_call_lost, confirming, read>,
      Row<renewing, expired, watching, lose>,
      Row<confirming, lease_found, watching, lose>,
      Row<confirming, lease_found, renewing, write_again, base>,
      Row<confirming, lease_found, holding, renewed, ours>,
      Row<confirming, lease_missing, watching, lose>,
      Row<confirming, lease_call_lost, confirming, read_later>,
      Row<confirming, read_due, confirming, read>,
      Row<confirming, expired, watching, lose>,
      Row<giving_back, lease_written, idle, done>,
      Row<giving_back, lease_conflict, idle, done>,
      Row<giving_back, lease_call_lost, idle, done>,
      Row<giving_back, expired, idle, done>
      > {};
  // clang-format on

  // What a state does not wait for changes nothing.
  template <typename event, typename machine>
  void no_transition(const event& /*e*/, machine& /*fsm*/, int /*state*/)
  {
  }

  lease_core core;
  phase current = phase::idle;
};

using lease_machine = boost::msm::back::state_machine<lease_machine_def>;

} // namespace

class lease_holder::machine {
 public:
  explicit machine(lease_options options) : fsm_(std::move(options)) { fsm_.start(); }

  std::vector<lease_action> handle(const lease_event& event, clock_reading now)
  {
    fsm_.core.set_now(now);
    // The right ends before anything else is looked at: the event may have waited.
    if (is_holder() && core().deadline() <= now.mono) {
      fsm_.process_event(expired{});
    }
    std::visit([this](const auto& e) { on(e); }, event);
    pass_deadlines(now.mono);
    return fsm_.core.take_actions();
  }

  [[nodiscard]] std::optional<mono_time> wake_at() const
  {
    switch (fsm_.current) {
    case phase::idle:
    case phase::reading:
    case phase::claiming:
      return std::nullopt;
    case phase::watching:
      return core().read_at();
    case phase::holding:
      return std::min(core().renew_at(), core().deadline());
    case phase::confirming:
      return core().awaits_answer() ? core().deadline()
                                    : std::min(core().read_at(), core().deadline());
    case phase::renewing:
    case phase::giving_back:
      return core().deadline();
    }
    return std::nullopt;
  }

  [[nodiscard]] bool is_holder() const
  {
    return fsm_.current == phase::holding || fsm_.current == phase::renewing ||
           fsm_.current == phase::confirming || fsm_.current == phase::giving_back;
  }
  [[nodiscard]] bool is_idle() const { return fsm_.current == phase::idle; }
  // Orders end when the lease is being given back.
  [[nodiscard]] bool gives_orders() const
  {
    return is_holder() && fsm_.current != phase::giving_back;
  }
  [[nodiscard]] const lease_core& core() const { return fsm_.core; }

 private:
  void on(const lease_wanted& e) { wanted_ = e.wanted; }
  void on(const notes_changed& e) { fsm_.core.set_notes(e.notes); }
  void on(const lease_tick& /*e*/) {}
  template <typename answer> void on(const answer& e)
  {
    if (fsm_.core.accept_answer(e.call)) {
      fsm_.process_event(e);
    }
  }

  void pass_deadlines(mono_time now)
  {
    if (!wanted_) {
      fsm_.process_event(unwanted{}); // also when the wish came while a call was open
      return;
    }
    if (fsm_.current == phase::idle) {
      fsm_.process_event(wanted{}); // wanted again while it was being given back
    }
    if (fsm_.current == phase::watching && core().read_at() <= now) {
      fsm_.process_event(read_due{});
    }
    if (fsm_.current == phase::confirming && !core().awaits_answer() && core().read_at() <= now) {
      fsm_.process_event(read_due{});
    }
    if (fsm_.current == phase::holding && core().renew_at() <= now) {
      fsm_.process_event(renew_due{});
    }
  }

  lease_machine fsm_;
  bool wanted_ = false;
};

lease_holder::lease_holder(lease_options options)
    : machine_(std::make_unique<machine>(std::move(options)))
{
}

lease_holder::~lease_holder() = default;

std::vector<lease_action> lease_holder::handle(const lease_event& event, clock_reading now)
{
  return machine_->handle(event, now);
}

std::optional<mono_time> lease_holder::wake_at() const
{
  return machine_->wake_at();
}

bool lease_holder::holds(mono_time now) const
{
  return machine_->gives_orders() && now < machine_->core().deadline();
}

bool lease_holder::may_order(bool checks_fencing, mono_time now) const
{
  return holds(now) && (checks_fencing || machine_->core().order_all_at() <= now);
}

mono_time lease_holder::deadline() const
{
  return machine_->core().deadline();
}

std::uint64_t lease_holder::fencing_number() const
{
  return machine_->core().fencing_number();
}

const boost::json::value& lease_holder::notes() const
{
  return machine_->core().notes();
}

bool lease_holder::notes_written() const
{
  return machine_->core().notes_written();
}

bool lease_holder::is_idle() const
{
  return machine_->is_idle();
}

const daemon_id& lease_holder::last_seen_holder() const
{
  return machine_->core().last_seen_holder();
}

} // namespace wisteriaflow::capacity
