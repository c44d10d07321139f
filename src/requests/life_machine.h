// The stages of a request's life and the steps between them, as a Boost.MSM machine.
//
// Its events are few: `request_life` first works out what a raw event means (a failed attempt may
// mean a retry, a move or the end) and then tells the machine. A step that the table does not list
// for a stage is ignored there.

#ifndef WISTERIAFLOW_REQUESTS_LIFE_MACHINE_H_
#define WISTERIAFLOW_REQUESTS_LIFE_MACHINE_H_

#include <utility>

#include <boost/msm/back/state_machine.hpp>
#include <boost/msm/front/functor_row.hpp>
#include <boost/msm/front/state_machine_def.hpp>

#include "life_context.h"

namespace wisteriaflow::requests::internal {

// Steps.
struct admit {};        // admission let the request in
struct claimed {};      // the key is ours
struct progressed {};   // the endpoint answers
struct attempt_lost {}; // another attempt is allowed, if the retry budget agrees
struct restart {};      // another attempt is due at once
struct move_cache {};   // export the KV cache of the running attempt
struct stay {};         // go on with the running attempt
struct cancel_run {};   // the cache is exported: stop the run that it continues
struct give_to_peer {}; // hand the request over
struct stop {};         // the final action has been written

namespace msm = boost::msm;
using boost::msm::front::none;
using boost::msm::front::Row;

// Guards.
struct must_claim {
  template <typename event, typename machine, typename from, typename to>
  bool operator()(const event&, machine& m, from&, to&) const
  {
    return m.context->needs_claim();
  }
};

// Actions: each calls the context's step of that name.
template <void (life_context::*step)()> struct call {
  template <typename event, typename machine, typename from, typename to>
  void operator()(const event&, machine& m, from&, to&) const
  {
    (m.context->*step)();
  }
};

template <life_stage stage> struct stage_state : msm::front::state<> {
  template <typename event, typename machine> void on_entry(const event&, machine& m) const
  {
    m.stage = stage;
  }
};
using received = stage_state<life_stage::received>;
using claiming = stage_state<life_stage::claiming>;
using dispatched = stage_state<life_stage::dispatched>;
using streaming = stage_state<life_stage::streaming>;
using resuming = stage_state<life_stage::resuming>;
using moving = stage_state<life_stage::moving>;
using cancelling = stage_state<life_stage::cancelling>;
using handing_over = stage_state<life_stage::handing_over>;
using finished = stage_state<life_stage::finished>;

struct life_machine_def : msm::front::state_machine_def<life_machine_def> {
  using initial_state = received;

  using claim_key_of_it = call<&life_context::claim>;
  using start = call<&life_context::start>;
  using ask = call<&life_context::ask_for_retry>;
  using export_cache = call<&life_context::export_cache>;
  using cancel = call<&life_context::cancel_with_confirmation>;
  using hand = call<&life_context::hand_over_to_peer>;
  using take_back = call<&life_context::resume_after_hand_over>;

  struct transition_table
      : boost::mpl::vector<
            // stage, step, next stage, action, guard; of two rows for one step MSM tries the
            // later first
            Row<received, admit, dispatched, start, none>,
            Row<received, admit, claiming, claim_key_of_it, must_claim>,
            Row<received, give_to_peer, handing_over, hand, none>,
            Row<received, stop, finished, none, none>,

            Row<claiming, claimed, dispatched, start, none>,
            Row<claiming, stop, finished, none, none>,

            Row<dispatched, progressed, streaming, none, none>,
            Row<dispatched, attempt_lost, resuming, ask, none>,
            Row<dispatched, restart, dispatched, start, none>,
            Row<dispatched, move_cache, moving, export_cache, none>,
            Row<dispatched, give_to_peer, handing_over, hand, none>,
            Row<dispatched, stop, finished, none, none>,

            Row<streaming, attempt_lost, resuming, ask, none>,
            Row<streaming, restart, dispatched, start, none>,
            Row<streaming, move_cache, moving, export_cache, none>,
            Row<streaming, give_to_peer, handing_over, hand, none>,
            Row<streaming, stop, finished, none, none>,

            Row<resuming, restart, dispatched, start, none>,
            Row<resuming, give_to_peer, handing_over, hand, none>,
            Row<resuming, stop, finished, none, none>,

            Row<moving, attempt_lost, resuming, ask, none>,
            Row<moving, restart, dispatched, start, none>, Row<moving, stay, streaming, none, none>,
            Row<moving, cancel_run, cancelling, cancel, none>,
            Row<moving, give_to_peer, handing_over, hand, none>,
            Row<moving, stop, finished, none, none>,

            Row<cancelling, restart, dispatched, start, none>,
            Row<cancelling, stay, streaming, none, none>,
            Row<cancelling, give_to_peer, handing_over, hand, none>,
            Row<cancelling, stop, finished, none, none>,

            Row<handing_over, stay, streaming, take_back, none>,
            Row<handing_over, stop, finished, none, none>> {};

  // A late or repeated event means nothing in this stage.
  template <typename machine, typename event> void no_transition(const event&, machine&, int) {}

  life_context* context = nullptr;
  life_stage stage = life_stage::received;
};

using life_machine = msm::back::state_machine<life_machine_def>;

} // namespace wisteriaflow::requests::internal

#endif // WISTERIAFLOW_REQUESTS_LIFE_MACHINE_H_
