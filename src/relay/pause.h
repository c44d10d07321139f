// A coroutine's pause.

#ifndef WISTERIAFLOW_SRC_RELAY_PAUSE_H_
#define WISTERIAFLOW_SRC_RELAY_PAUSE_H_

#include <chrono>

#include <boost/asio/awaitable.hpp>

namespace wisteriaflow::relay {

// Goes on after `time`, on the coroutine's own executor.
boost::asio::awaitable<void> pause(std::chrono::milliseconds time);

} // namespace wisteriaflow::relay

#endif // WISTERIAFLOW_SRC_RELAY_PAUSE_H_
