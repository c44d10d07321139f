#include "relay/stored_object.h"

#include <utility>

#include "errors.h"
#include "relay/store_list.h"

namespace wisteriaflow::relay {

boost::asio::awaitable<bool> create_or_replace(store_client& store, fleet_state& state,
                                               std::string_view kind, std::string name,
                                               boost::json::value spec, object_merge merge)
{
  auto create = adapter::create_call(kind, name, spec);
  auto reply = co_await store.call(std::move(create), "create", store_call_timeout);
  if (reply.result != adapter::store_result::conflict) {
    co_return reply.result == adapter::store_result::done;
  }
  try {
    const auto present = adapter::decode_object(reply.body, reply.era);
    const auto merged = merge(present);
    if (!merged) {
      co_return true;
    }
    auto replace = adapter::replace_call(kind, name, *merged, present.revision);
    reply = co_await store.call(std::move(replace), "replace", store_call_timeout);
  } catch (const adapter::format_error& e) {
    state.log.write(daemon::log_level::error, "store answer unreadable",
                    {{"kind", std::string(kind)}, {"reason", e.what()}});
    co_return false;
  }
  co_return reply.result == adapter::store_result::done;
}

boost::asio::awaitable<bool> remove_object(store_client& store, std::string_view kind,
                                           std::string name)
{
  auto message = adapter::remove_call(kind, name);
  const auto reply = co_await store.call(std::move(message), "remove", store_call_timeout);
  co_return reply.result == adapter::store_result::done ||
      reply.result == adapter::store_result::missing;
}

} // namespace wisteriaflow::relay
