// Adapters from functor rows of Boost.MSM to members of a state machine's `core`.

#ifndef WISTERIAFLOW_CLAIMS_MSM_FUNCTORS_H_
#define WISTERIAFLOW_CLAIMS_MSM_FUNCTORS_H_

namespace wisteriaflow::claims::internal {

// Calls `member` of `core`, with the event if it takes one.
template <auto member, typename event, typename core_type>
decltype(auto) call_member(const event& e, core_type& core)
{
  if constexpr (requires { (core.*member)(e); }) {
    return (core.*member)(e);
  } else {
    return (core.*member)();
  }
}

// An action that calls members of the core in order.
template <auto... members> struct act {
  template <typename event, typename machine, typename from, typename to>
  void operator()(const event& e, machine& fsm, from& /*source*/, to& /*target*/) const
  {
    (call_member<members>(e, fsm.core), ...);
  }
};

// A guard that is true if a member of the core returns `expected`.
template <auto member, bool expected = true> struct when {
  template <typename event, typename machine, typename from, typename to>
  bool operator()(const event& e, machine& fsm, from& /*source*/, to& /*target*/) const
  {
    return call_member<member>(e, fsm.core) == expected;
  }
};

} // namespace wisteriaflow::claims::internal

#endif // WISTERIAFLOW_CLAIMS_MSM_FUNCTORS_H_
