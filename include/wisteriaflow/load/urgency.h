// The order in which engines should run the calls of a fleet. Predictions of queues, quotas and
// refusals use the coarser load::rank_class of the route instead.
//
// The priority of a workspace takes precedence over that of a route. If only the workspace's
// priority reached the engines, calls of one workspace, or of workspaces of equal priority, would
// run in the order of their arrival: in a burst, a short interactive prompt would wait behind long
// deferrable ones. The priority of the route therefore orders calls of equal workspace priority.
//
//   const urgency_levels levels({{.workspace = 1, .route = 0}, {.workspace = 1, .route = 2}});
//   const unsigned first = levels.level_of({.workspace = 1, .route = 0}); // 0

#ifndef WISTERIAFLOW_LOAD_URGENCY_H_
#define WISTERIAFLOW_LOAD_URGENCY_H_

#include <compare>
#include <vector>

namespace wisteriaflow::load {

// Urgency of a call; the lower value is the more urgent one.
struct call_urgency {
  int workspace = 0; // priority of the workspace; of the route if the workspace declares none
  int route = 0;     // priority of the route

  friend auto operator<=>(const call_urgency&,
                          const call_urgency&) = default; // NOLINT(modernize-use-nullptr)
};

// Number of levels that engines distinguish.
inline constexpr unsigned engine_levels = 10;

// Maps the urgencies that a configuration declares to the levels of engines, in their order.
class urgency_levels {
 public:
  urgency_levels() = default;

  // `declared` may contain duplicates. Up to `engine_levels` different urgencies get a level each.
  // Of more than that, only the workspaces count, and neighbours share a level if they are too
  // many.
  explicit urgency_levels(std::vector<call_urgency> declared);

  // Returns the level of `urgency`, from 0, the most urgent, to engine_levels - 1. An urgency that
  // was not declared gets the level of the next more urgent one.
  [[nodiscard]] unsigned level_of(const call_urgency& urgency) const;

 private:
  std::vector<call_urgency> ordered_; // most urgent first, without duplicates
};

} // namespace wisteriaflow::load

#endif // WISTERIAFLOW_LOAD_URGENCY_H_
