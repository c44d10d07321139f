#include "wisteriaflow/claims/claim_shard_owner.h"

#include <algorithm>
#include <utility>
#include <variant>

#include <boost/mpl/vector.hpp>
#include <boost/msm/back/state_machine.hpp>
#include <boost/msm/front/functor_row.hpp>
#include <boost/msm/front/state_machine_def.hpp>

#include "claims/msm_functors.h"
#include "claims/owner_core.h"

namespace wisteriaflow::claims {
namespace {

using boost::msm::front::Row;
using internal::act;
using internal::owner_core;
using internal::when;

// The states of the machine; `ownership` is their public form.
enum class phase {
  not_owner,
  reading_tail,
  reading_segments,
  writing_takeover,
  backing_off,
  serving,
  rolling,
  writing,
  settling,
};

// Internal events of the machine, in addition to the store's results.
struct takeover_due {};
struct segments_loaded {};
struct retry_due {};
struct flush_due {};
struct released {};

// The update of the batch has taken effect, according to its answer or to the tail that was read
// back.
struct commit_batch {
  template <typename event, typename machine, typename from, typename to>
  void operator()(const event& e, machine& fsm, from& /*source*/, to& /*target*/) const
  {
    fsm.core.commit_batch(e);
  }
};

// A state that sets the machine's current phase on entry.
template <phase value> struct named_state : boost::msm::front::state<> {
  template <typename event, typename machine> void on_entry(const event& /*e*/, machine& fsm)
  {
    fsm.current = value;
  }
};

struct owner_machine_def : boost::msm::front::state_machine_def<owner_machine_def> {
  explicit owner_machine_def(owner_options options) : core(std::move(options)) {}

  struct not_owner : named_state<phase::not_owner> {};
  struct reading_tail : named_state<phase::reading_tail> {};
  struct reading_segments : named_state<phase::reading_segments> {};
  struct writing_takeover : named_state<phase::writing_takeover> {};
  struct backing_off : named_state<phase::backing_off> {};
  struct serving : named_state<phase::serving> {};
  struct rolling : named_state<phase::rolling> {};
  struct writing : named_state<phase::writing> {};
  struct settling : named_state<phase::settling> {};
  using initial_state = not_owner;

  using read = act<&owner_core::read_tail_object>;
  using back_off = act<&owner_core::back_off>;
  using commit = commit_batch;
  using write_rolled = act<&owner_core::segment_created, &owner_core::write_batch>;
  using settle_later = act<&owner_core::settle_later>;
  using roll_needed = when<&owner_core::needs_roll>;
  using no_roll_needed = when<&owner_core::needs_roll, false>;
  using conflicted_before = when<&owner_core::has_conflicted>;
  using own_update = when<&owner_core::is_own_update>;
  using not_yet_applied = when<&owner_core::is_not_yet_applied>;
  using foreign_update = when<&owner_core::is_foreign_update>;

  // clang-format off
  struct transition_table : boost::mpl::vector<
      Row<not_owner, takeover_due, reading_tail, read>,
      Row<reading_tail, tail_value, reading_segments,
          act<&owner_core::load_tail, &owner_core::read_next_segment>>,
      Row<reading_tail, unavailable, backing_off, back_off>,
      Row<reading_segments, segment_value, reading_segments,
          act<&owner_core::load_segment, &owner_core::read_next_segment>>,
      Row<reading_segments, missing, reading_tail,
          act<&owner_core::note_missing_segment, &owner_core::read_tail_object>>,
      Row<reading_segments, unavailable, backing_off, back_off>,
      Row<reading_segments, segments_loaded, writing_takeover, act<&owner_core::write_takeover>>,
      Row<writing_takeover, written, serving, act<&owner_core::become_owner>>,
      Row<writing_takeover, conflict, reading_tail,
          act<&owner_core::count_conflict, &owner_core::read_tail_object>>,
      Row<writing_takeover, conflict, backing_off,
          act<&owner_core::count_conflict, &owner_core::back_off>, conflicted_before>,
      Row<writing_takeover, unanswered, backing_off, back_off>,
      Row<writing_takeover, unavailable, backing_off, back_off>,
      Row<backing_off, retry_due, reading_tail, read>,
      Row<backing_off, released, not_owner, act<&owner_core::abandon_takeover>>,

      Row<serving, flush_due, rolling, act<&owner_core::start_roll>, roll_needed>,
      Row<serving, flush_due, writing, act<&owner_core::write_batch>, no_roll_needed>,
      Row<serving, released, not_owner>,
      Row<rolling, written, writing, write_rolled>,
      // Only this owner uses the name, so an earlier, unanswered call has created the segment.
      Row<rolling, conflict, writing, write_rolled>,
      Row<rolling, unanswered, serving, act<&owner_core::roll_failed>>,
      Row<rolling, unavailable, serving, act<&owner_core::roll_failed>>,
      Row<writing, written, serving, commit>,
      Row<writing, unavailable, serving, act<&owner_core::batch_failed>>,
      Row<writing, conflict, settling, read>,
      Row<writing, unanswered, settling, read>,

      Row<settling, tail_value, serving, commit, own_update>,
      Row<settling, tail_value, settling, act<&owner_core::resend_update>, not_yet_applied>,
      Row<settling, tail_value, not_owner, act<&owner_core::lose_ownership>, foreign_update>,
      Row<settling, written, serving, commit>,
      Row<settling, conflict, settling, read>,
      Row<settling, unanswered, settling, settle_later>,
      Row<settling, unavailable, settling, settle_later>,
      Row<settling, retry_due, settling, read>
      > {};
  // clang-format on

  // An answer that the state does not wait for has no effect.
  template <typename event, typename machine>
  void no_transition(const event& /*e*/, machine& /*fsm*/, int /*state*/)
  {
  }

  owner_core core;
  phase current = phase::not_owner;
};

using owner_machine = boost::msm::back::state_machine<owner_machine_def>;

} // namespace

class claim_shard_owner::impl {
 public:
  explicit impl(owner_options options) : machine_(std::move(options)) { machine_.start(); }

  std::vector<owner_action> handle(const owner_event& event, clock_reading now)
  {
    machine_.core.set_now(now);
    std::visit([this](const auto& e) { take(e); }, event);
    while (step()) {
    }
    return machine_.core.take_actions();
  }

  [[nodiscard]] std::optional<mono_time> wake_at() const
  {
    const auto& core = machine_.core;
    switch (machine_.current) {
    case phase::not_owner:
      return core.desired() ? std::optional(core.takeover_at()) : std::nullopt;
    case phase::backing_off:
    case phase::settling:
      return core.retry_at();
    case phase::serving:
      return core.flush_at();
    default:
      return std::nullopt;
    }
  }

  [[nodiscard]] ownership state() const
  {
    switch (machine_.current) {
    case phase::not_owner:
      return ownership::not_owner;
    case phase::settling:
      return ownership::settling;
    case phase::serving:
    case phase::rolling:
    case phase::writing:
      return machine_.core.desired() ? ownership::owning : ownership::releasing;
    default:
      return ownership::taking_over;
    }
  }

 private:
  void take(const ownership_desired& event) { machine_.core.set_desired(event.desired); }

  void take(const tick& /*event*/) {}

  void take(const store_answer& answer)
  {
    if (machine_.core.is_for_open_call(answer)) {
      std::visit([this](const auto& result) { machine_.process_event(result); }, answer.result);
    }
  }

  void take(const claim_received& received)
  {
    if (!machine_.core.desired() || machine_.current == phase::not_owner) {
      machine_.core.reject_as_not_owner(received);
    } else if (state() == ownership::taking_over) {
      machine_.core.defer(received);
    } else {
      machine_.core.admit(received);
    }
  }

  // Takes the next step that needs no external event. Returns false if there is none.
  bool step()
  {
    const auto& core = machine_.core;
    switch (machine_.current) {
    case phase::not_owner:
      return core.takeover_is_due() && process(takeover_due{});
    case phase::reading_segments:
      return core.all_loaded() && process(segments_loaded{});
    case phase::backing_off:
      if (!core.desired()) {
        return process(released{});
      }
      return core.retry_is_due() && process(retry_due{});
    case phase::settling:
      return core.retry_is_due() && process(retry_due{});
    case phase::serving:
      if (core.flush_is_due()) {
        return process(flush_due{});
      }
      return !core.desired() && core.is_idle() && process(released{});
    default:
      return false;
    }
  }

  template <typename event> bool process(const event& e)
  {
    machine_.process_event(e);
    return true;
  }

  owner_machine machine_;
};

claim_shard_owner::claim_shard_owner(owner_options options)
    : impl_(std::make_unique<impl>(std::move(options)))
{
}

claim_shard_owner::claim_shard_owner(claim_shard_owner&&) noexcept = default;
claim_shard_owner& claim_shard_owner::operator=(claim_shard_owner&&) noexcept = default;
claim_shard_owner::~claim_shard_owner() = default;

std::vector<owner_action> claim_shard_owner::handle(const owner_event& event, clock_reading now)
{
  return impl_->handle(event, now);
}

std::optional<mono_time> claim_shard_owner::wake_at() const
{
  return impl_->wake_at();
}

ownership claim_shard_owner::state() const
{
  return impl_->state();
}

} // namespace wisteriaflow::claims
