// Waits for what other processes do.

#ifndef WISTERIAFLOW_TEST_SYSTEM_EVENTUALLY_H_
#define WISTERIAFLOW_TEST_SYSTEM_EVENTUALLY_H_

#include <chrono>
#include <thread>

namespace wisteriaflow::system_tests {

// Long enough that only a fault reaches it.
constexpr std::chrono::seconds patience{30};

// Asks `holds` until it returns true, or `limit` has passed; returns whether it did.
template <typename predicate>
bool eventually(predicate holds, std::chrono::milliseconds limit = patience)
{
  constexpr std::chrono::milliseconds pause{10};
  const auto end = std::chrono::steady_clock::now() + limit;
  while (!holds()) {
    if (std::chrono::steady_clock::now() > end) {
      return false;
    }
    std::this_thread::sleep_for(pause);
  }
  return true;
}

} // namespace wisteriaflow::system_tests

#endif // WISTERIAFLOW_TEST_SYSTEM_EVENTUALLY_H_
