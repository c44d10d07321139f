#include "wisteriaflow/claims/claim_asker.h"

#include <algorithm>
#include <utility>
#include <variant>

#include <boost/mpl/vector.hpp>
#include <boost/msm/back/state_machine.hpp>
#include <boost/msm/front/functor_row.hpp>
#include <boost/msm/front/state_machine_def.hpp>

#include "claims/asker_core.h"
#include "claims/msm_functors.h"

namespace wisteriaflow::claims {
namespace {

using boost::msm::front::Row;
using internal::act;
using internal::asker_core;
using internal::when;

enum class phase { idle, asking, waiting_to_ask, querying, waiting_to_query, finished };

// Events of the machine's own.
struct retry_due {};
struct deadline_due {};

// A state that tells the machine its name.
template <phase value> struct named_state : boost::msm::front::state<> {
  template <typename event, typename machine> void on_entry(const event& /*e*/, machine& fsm)
  {
    fsm.current = value;
  }
};

// The claim was granted in time to be used.
struct granted_in_time {
  template <typename event, typename machine, typename from, typename to>
  bool operator()(const event& reply, machine& fsm, from& /*source*/, to& /*target*/) const
  {
    return fsm.core.is_granted(reply) && !fsm.core.deadline_passed();
  }
};

// The claim was granted, but nobody waits for the answer any more.
struct granted_late {
  template <typename event, typename machine, typename from, typename to>
  bool operator()(const event& reply, machine& fsm, from& /*source*/, to& /*target*/) const
  {
    return fsm.core.is_granted(reply) && fsm.core.deadline_passed();
  }
};

struct asker_machine_def : boost::msm::front::state_machine_def<asker_machine_def> {
  explicit asker_machine_def(asker_options options) : core(std::move(options)) {}

  struct idle : named_state<phase::idle> {};
  struct asking : named_state<phase::asking> {};
  struct waiting_to_ask : named_state<phase::waiting_to_ask> {};
  struct querying : named_state<phase::querying> {};
  struct waiting_to_query : named_state<phase::waiting_to_query> {};
  struct done : named_state<phase::finished> {};
  using initial_state = idle;

  using ask = act<&asker_core::ask>;
  using wait = act<&asker_core::wait>;
  using refuse_late = act<&asker_core::refuse_late>;
  using unknown = act<&asker_core::report_not_known>;
  using cancel = act<&asker_core::refuse_cancelled>;

  // clang-format off
  struct transition_table : boost::mpl::vector<
      Row<idle, ask_started, asking, ask>,
      Row<asking, claim_reply, done, act<&asker_core::dispatch>, granted_in_time>,
      Row<asking, claim_reply, done, act<&asker_core::refuse_granted>, granted_late>,
      Row<asking, claim_reply, querying, act<&asker_core::query>, when<&asker_core::is_duplicate>>,
      Row<asking, claim_reply, done, act<&asker_core::report_mismatch>,
          when<&asker_core::is_mismatch>>,
      Row<asking, claim_reply, done, unknown, when<&asker_core::is_too_old>>,
      Row<asking, claim_reply, done, act<&asker_core::refuse_unavailable>,
          when<&asker_core::is_refused>>,
      Row<asking, claim_reply, asking, act<&asker_core::ask_hinted>,
          when<&asker_core::is_elsewhere>>,
      Row<asking, claim_reply, waiting_to_ask, wait, when<&asker_core::is_lost_owner>>,
      Row<asking, ask_lost, waiting_to_ask, wait>,
      Row<asking, deadline_due, done, refuse_late>,
      Row<asking, ask_cancelled, done, cancel>,
      Row<waiting_to_ask, retry_due, asking, ask>,
      Row<waiting_to_ask, deadline_due, done, refuse_late>,
      Row<waiting_to_ask, ask_cancelled, done, cancel>,

      Row<querying, executor_answered, done, act<&asker_core::follow>,
          when<&asker_core::can_be_followed>>,
      Row<querying, executor_answered, waiting_to_ask, act<&asker_core::note_replaced, &asker_core::wait>,
          when<&asker_core::was_not_run>>,
      Row<querying, executor_answered, done, unknown, when<&asker_core::is_unknown>>,
      Row<querying, query_lost, waiting_to_query, wait>,
      Row<querying, deadline_due, done, unknown>,
      Row<querying, ask_cancelled, done, unknown>,
      Row<waiting_to_query, retry_due, querying, act<&asker_core::query_again>>,
      Row<waiting_to_query, deadline_due, done, unknown>,
      Row<waiting_to_query, ask_cancelled, done, unknown>
      > {};
  // clang-format on

  // Replies that come late or twice change nothing.
  template <typename event, typename machine>
  void no_transition(const event& /*e*/, machine& /*fsm*/, int /*state*/)
  {
  }

  asker_core core;
  phase current = phase::idle;
};

using asker_machine = boost::msm::back::state_machine<asker_machine_def>;

} // namespace

class claim_asker::impl {
 public:
  explicit impl(asker_options options) : machine_(std::move(options)) { machine_.start(); }

  std::vector<asker_action> handle(const asker_event& event, clock_reading now)
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
    return machine_.current == phase::waiting_to_ask || machine_.current == phase::waiting_to_query;
  }

  asker_machine machine_;
};

claim_asker::claim_asker(asker_options options) : impl_(std::make_unique<impl>(std::move(options)))
{
}

claim_asker::claim_asker(claim_asker&&) noexcept = default;
claim_asker& claim_asker::operator=(claim_asker&&) noexcept = default;
claim_asker::~claim_asker() = default;

std::vector<asker_action> claim_asker::handle(const asker_event& event, clock_reading now)
{
  return impl_->handle(event, now);
}

std::optional<mono_time> claim_asker::wake_at() const
{
  return impl_->wake_at();
}

bool claim_asker::finished() const
{
  return impl_->finished();
}

bool claim_asker::dispatched() const
{
  return impl_->dispatched();
}

} // namespace wisteriaflow::claims
