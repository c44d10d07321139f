#include "core/endpoint_calls.h"

#include <memory>

namespace wisteriaflow::core::internal {

exchange_number endpoint_calls::open(const http::socket_address& to, http::request message,
                                     mono_time deadline, bool streamed, exchange_observer observer)
{
  const auto exchange = ++last_;
  open_.emplace(exchange, std::move(observer));
  context_.emit(endpoint_action(start_exchange{.exchange = exchange,
                                               .to = to,
                                               .message = std::move(message),
                                               .deadline = deadline,
                                               .streamed = streamed}));
  return exchange;
}

void endpoint_calls::call(const http::socket_address& to, http::request message, mono_time deadline,
                          std::function<void(const std::optional<http::response>&)> done)
{
  const auto response = std::make_shared<http::response>();
  exchange_observer observer;
  observer.on_head = [response](const http::response& head) { *response = head; };
  observer.on_bytes = [response](const std::string& bytes) { response->body += bytes; };
  observer.on_ended = [response, done] { done(*response); };
  observer.on_failed = [done](exchange_failure /*failure*/) { done(std::nullopt); };
  open(to, std::move(message), deadline, false, std::move(observer));
}

void endpoint_calls::cancel(exchange_number exchange)
{
  if (open_.erase(exchange) > 0) {
    context_.emit(endpoint_action(cancel_exchange{.exchange = exchange}));
  }
}

void endpoint_calls::on(const exchange_head& e)
{
  const auto it = open_.find(e.exchange);
  if (it != open_.end()) {
    const auto run = it->second.on_head; // copied, because the callback may cancel the exchange
    run(e.head);
  }
}

void endpoint_calls::on(const exchange_bytes& e)
{
  const auto it = open_.find(e.exchange);
  if (it != open_.end()) {
    const auto run = it->second.on_bytes;
    run(e.bytes);
  }
}

void endpoint_calls::on(const exchange_ended& e)
{
  auto node = open_.extract(e.exchange);
  if (!node.empty()) {
    node.mapped().on_ended();
  }
}

void endpoint_calls::on(const exchange_failed& e)
{
  auto node = open_.extract(e.exchange);
  if (!node.empty()) {
    node.mapped().on_failed(e.failure);
  }
}

} // namespace wisteriaflow::core::internal
