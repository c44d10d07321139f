#include "wisteriaflow/claims/claim_client.h"

#include <algorithm>
#include <utility>
#include <variant>

#include <boost/mpl/vector.hpp>
#include <boost/msm/back/state_machine.hpp>
#include <boost/msm/front/functor_row.hpp>
#include <boost/msm/front/state_machine_def.hpp>

#include "claims/claim_client_core.h"
#include "claims/msm_functors.h"

namespace wisteriaflow::claims {
namespace {

using boost::msm::front::Row;
using internal::act;
using internal::claim_client_core;
using internal::when;

enum class phase { idle, claiming, waiting_to_claim, querying, waiting_to_query, finished };

// Internal events of the state machine.
struct retry_due {};
struct deadline_due {};

// A state that sets the machine's current phase on entry.
template <phase value> struct named_state : boost::msm::front::state<> {
  template <typename event, typename machine> void on_entry(const event& /*e*/, machine& fsm)
  {
    fsm.current = value;
  }
};

// The claim was granted before the deadline.
struct granted_in_time {
  template <typename event, typename machine, typename from, typename to>
  bool operator()(const event& reply, machine& fsm, from& /*source*/, to& /*target*/) const
  {
    return fsm.core.is_granted(reply) && !fsm.core.deadline_passed();
  }
};

// The claim was granted after the deadline, when the caller no longer waits for the answer.
struct granted_late {
  template <typename event, typename machine, typename from, typename to>
  bool operator()(const event& reply, machine& fsm, from& /*source*/, to& /*target*/) const
  {
    return fsm.core.is_granted(reply) && fsm.core.deadline_passed();
  }
};

struct claim_client_machine_def : boost::msm::front::state_machine_def<claim_client_machine_def> {
  explicit claim_client_machine_def(claim_client_options options) : core(std::move(options)) {}

  struct idle : named_state<phase::idle> {};
  struct claiming : named_state<phase::claiming> {};
  struct waiting_to_claim : named_state<phase::waiting_to_claim> {};
  struct querying : named_state<phase::querying> {};
  struct waiting_to_query : named_state<phase::waiting_to_query> {};
  struct done : named_state<phase::finished> {};
  using initial_state = idle;

  using send = act<&claim_client_core::send_claim_to_owner>;
  using back_off = act<&claim_client_core::back_off>;
  using refuse_deadline_passed = act<&claim_client_core::refuse_deadline_passed>;
  using report_unknown = act<&claim_client_core::report_unknown_outcome>;
  using cancel = act<&claim_client_core::refuse_cancelled>;

  // clang-format off
  struct transition_table : boost::mpl::vector<
      Row<idle, claim_started, claiming, send>,
      Row<claiming, claim_reply, done, act<&claim_client_core::dispatch>, granted_in_time>,
      Row<claiming, claim_reply, done, act<&claim_client_core::refuse_granted_late>, granted_late>,
      Row<claiming, claim_reply, querying, act<&claim_client_core::query_holder>,
          when<&claim_client_core::is_duplicate>>,
      Row<claiming, claim_reply, done, act<&claim_client_core::report_mismatch>,
          when<&claim_client_core::is_body_mismatch>>,
      Row<claiming, claim_reply, done, report_unknown, when<&claim_client_core::is_too_old>>,
      Row<claiming, claim_reply, done, act<&claim_client_core::refuse_unavailable>,
          when<&claim_client_core::is_unavailable>>,
      Row<claiming, claim_reply, claiming, act<&claim_client_core::send_claim_to_hinted_owner>,
          when<&claim_client_core::has_owner_hint>>,
      Row<claiming, claim_reply, waiting_to_claim, back_off,
          when<&claim_client_core::is_owner_unknown>>,
      Row<claiming, claim_unanswered, waiting_to_claim, back_off>,
      Row<claiming, deadline_due, done, refuse_deadline_passed>,
      Row<claiming, claim_cancelled, done, cancel>,
      Row<waiting_to_claim, retry_due, claiming, send>,
      Row<waiting_to_claim, deadline_due, done, refuse_deadline_passed>,
      Row<waiting_to_claim, claim_cancelled, done, cancel>,

      Row<querying, executor_answered, done, act<&claim_client_core::follow>,
          when<&claim_client_core::can_be_followed>>,
      Row<querying, executor_answered, waiting_to_claim,
          act<&claim_client_core::set_replaced_nonce, &claim_client_core::back_off>,
          when<&claim_client_core::was_not_run>>,
      Row<querying, executor_answered, done, report_unknown,
          when<&claim_client_core::is_outcome_unknown>>,
      Row<querying, query_unanswered, waiting_to_query, back_off>,
      Row<querying, deadline_due, done, report_unknown>,
      Row<querying, claim_cancelled, done, report_unknown>,
      Row<waiting_to_query, retry_due, querying, act<&claim_client_core::repeat_query>>,
      Row<waiting_to_query, deadline_due, done, report_unknown>,
      Row<waiting_to_query, claim_cancelled, done, report_unknown>
      > {};
  // clang-format on

  // Replies that arrive late or twice have no effect.
  template <typename event, typename machine>
  void no_transition(const event& /*e*/, machine& /*fsm*/, int /*state*/)
  {
  }

  claim_client_core core;
  phase current = phase::idle;
};

using claim_client_machine = boost::msm::back::state_machine<claim_client_machine_def>;

} // namespace

class claim_client::impl {
 public:
  explicit impl(claim_client_options options) : machine_(std::move(options)) { machine_.start(); }

  std::vector<claim_client_action> handle(const claim_client_event& event, clock_reading now)
  {
    machine_.core.set_now(now);
    std::visit([this](const auto& e) { machine_.process_event(e); }, event);
    if (!finished() && machine_.core.deadline_passed()) {
      machine_.process_event(deadline_due{});
    } else if (is_waiting() && machine_.core.retry_is_due()) {
      machine_.process_event(retry_due{});
    }
    return machine_.core.take_actions();
  }

  [[nodiscard]] std::optional<mono_time> wake_at() const
  {
    if (finished()) {
      return std::nullopt;
    }
    const auto deadline = machine_.core.deadline();
    return is_waiting() ? std::min(deadline, machine_.core.retry_at()) : deadline;
  }

  [[nodiscard]] bool finished() const { return machine_.current == phase::finished; }
  [[nodiscard]] bool dispatched() const { return machine_.core.dispatched(); }

 private:
  [[nodiscard]] bool is_waiting() const
  {
    return machine_.current == phase::waiting_to_claim ||
           machine_.current == phase::waiting_to_query;
  }

  claim_client_machine machine_;
};

claim_client::claim_client(claim_client_options options)
    : impl_(std::make_unique<impl>(std::move(options)))
{
}

claim_client::claim_client(claim_client&&) noexcept = default;
claim_client& claim_client::operator=(claim_client&&) noexcept = default;
claim_client::~claim_client() = default;

std::vector<claim_client_action> claim_client::handle(const claim_client_event& event,
                                                      clock_reading now)
{
  return impl_->handle(event, now);
}

std::optional<mono_time> claim_client::wake_at() const
{
  return impl_->wake_at();
}

bool claim_client::finished() const
{
  return impl_->finished();
}

bool claim_client::dispatched() const
{
  return impl_->dispatched();
}

} // namespace wisteriaflow::claims
