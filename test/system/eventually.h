// Polling for conditions that other processes bring about.

#ifndef WISTERIAFLOW_TEST_SYSTEM_EVENTUALLY_H_
#define WISTERIAFLOW_TEST_SYSTEM_EVENTUALLY_H_

#include <chrono>
#include <thread>

namespace wisteriaflow::system_tests {

// Passes only if the code under test is at fault.
constexpr std::chrono::seconds default_timeout{30};

// Calls `holds` every 10 ms until it returns true or `limit` has passed; returns whether it
// returned true.
template <typename predicate>
bool eventually(predicate holds, std::chrono::milliseconds limit = default_timeout)
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
