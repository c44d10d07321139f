// Classes of urgency that the decisions under load distinguish.
//
//   const auto rank = load::rank_class_of(call.priority);
//   if (load::goes_before(rank, other)) { ... }

#ifndef WISTERIAFLOW_LOAD_RANK_H_
#define WISTERIAFLOW_LOAD_RANK_H_

#include <algorithm>
#include <array>
#include <cstddef>
#include <cstdint>

namespace wisteriaflow::load {

// Number of classes; see `rank_class_of`.
inline constexpr std::size_t rank_classes = 3;

// A class of urgency: 0 is the most urgent.
enum class rank_class : std::uint8_t { urgent = 0, normal = 1, deferrable = 2 };

// Priorities are declared by operators and may be any number. Those from 2 on share the last class,
// and negative ones count as 0.
[[nodiscard]] constexpr rank_class rank_class_of(int priority)
{
  return static_cast<rank_class>(std::clamp(priority, 0, static_cast<int>(rank_classes) - 1));
}

// Index into arrays with an element for each class.
[[nodiscard]] constexpr std::size_t index_of(rank_class rank)
{
  return static_cast<std::size_t>(rank);
}

// Whether work of class `a` is more urgent than work of class `b`.
[[nodiscard]] constexpr bool goes_before(rank_class a, rank_class b)
{
  return a < b;
}

// A value for each class, indexed by `index_of`.
template <typename value_type> using by_rank = std::array<value_type, rank_classes>;

} // namespace wisteriaflow::load

#endif // WISTERIAFLOW_LOAD_RANK_H_
