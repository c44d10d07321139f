#include <array>
#include <utility>

#include "gateway_system/soak_run.h"

namespace wisteriaflow::gateway_system_tests {
namespace {

namespace asio = boost::asio;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

} // namespace

asio::awaitable<void> soak_run::disrupt_endpoint_connections()
{
  const auto id = random_endpoint();
  const auto time = random_fault_duration();
  const auto now = steady_clock::now();
  fleet_.endpoints().at(id).endpoint->add_network_fault(now, now + time);
  std::function<fault_proxy*()> find_proxy = [this, id]() -> fault_proxy* {
    const auto it = fleet_.endpoints().find(id);
    return it == fleet_.endpoints().end() ? nullptr : it->second.proxy.get();
  };
  co_await apply_network_fault(std::move(find_proxy), time);
}

asio::awaitable<void> soak_run::apply_network_fault(std::function<fault_proxy*()> find_proxy,
                                                    milliseconds time)
{
  constexpr std::array<network_fault, 4> kinds = {network_fault::none, network_fault::delayed,
                                                  network_fault::silent,
                                                  network_fault::answers_lost};
  const auto kind = kinds.at(random_() % kinds.size());
  if (kind == network_fault::none) {
    find_proxy()->reset_connections();
    co_return;
  }
  find_proxy()->set(kind);
  co_await sleep(time);
  if (auto* proxy = find_proxy()) {
    proxy->set(network_fault::none);
  }
}

asio::awaitable<void> soak_run::disrupt_store_connections()
{
  auto* d = random_daemon();
  if (d == nullptr) {
    co_return;
  }
  const auto time = random_fault_duration();
  disturb(*d, time);
  calls_.note_store_fault(steady_clock::now() + time);
  std::function<fault_proxy*()> find_proxy = [d] { return d->store_proxy.get(); };
  co_await apply_network_fault(std::move(find_proxy), time);
}

asio::awaitable<void> soak_run::make_store_unavailable()
{
  const auto time = random_fault_duration();
  for (const auto& [id, d] : fleet_.daemons()) {
    disturb(*d, time);
  }
  calls_.note_store_fault(steady_clock::now() + time);
  ++store_outages_;
  fleet_.store().unavailable = true;
  co_await sleep(time);
  --store_outages_;
  fleet_.store().unavailable = store_outages_ > 0;
}

asio::awaitable<void> soak_run::restore_store()
{
  const auto time = random_fault_duration();
  calls_.note_store_fault(steady_clock::now() + time);
  fleet_.store().back_up();
  co_await sleep(time);
  fleet_.store().restore({"servers", "config"});
}

asio::awaitable<void> soak_run::change_configuration()
{
  const auto drawn = [this] {
    return soak_route_timeouts.at(random_() % soak_route_timeouts.size());
  };
  fleet_.set_route_timeouts({.plain = drawn(), .stream = drawn()});
  calls_.note_configuration(fleet_.write_configuration());
  co_return;
}

} // namespace wisteriaflow::gateway_system_tests
