#include "relay/stored_object.h"

#include <utility>

#include "errors.h"
#include "relay/store_list.h"

namespace wisteriaflow::relay {

using adapter::store_result;

boost::asio::awaitable<std::optional<gateway::store_revision>>
create_or_replace(store_client& store, fleet_state& state, object_write wanted)
{
  try {
    store_reply reply{.result = store_result::missing};
    if (wanted.last_revision.number > 0) {
      auto replace =
          adapter::replace_call(wanted.kind, wanted.name, wanted.spec, wanted.last_revision);
      reply = co_await store.call(std::move(replace), "replace", store_call_timeout);
    }
    if (reply.result == store_result::missing) {
      auto create = adapter::create_call(wanted.kind, wanted.name, wanted.spec);
      reply = co_await store.call(std::move(create), "create", store_call_timeout);
    }
    if (reply.result == store_result::conflict) {
      const auto present = adapter::decode_object(reply.body, reply.era);
      const auto merged = wanted.merge(present);
      if (!merged) {
        co_return present.revision;
      }
      auto replace = adapter::replace_call(wanted.kind, wanted.name, *merged, present.revision);
      reply = co_await store.call(std::move(replace), "replace", store_call_timeout);
    }
    if (reply.result == store_result::done) {
      co_return adapter::decode_object(reply.body, reply.era).revision;
    }
  } catch (const adapter::format_error& e) {
    state.log.write(daemon::log_level::error, "store answer unreadable",
                    {{"kind", std::string(wanted.kind)}, {"reason", e.what()}});
  }
  co_return std::nullopt;
}

boost::asio::awaitable<bool> remove_object(store_client& store, std::string_view kind,
                                           std::string name)
{
  auto message = adapter::remove_call(kind, name);
  const auto reply = co_await store.call(std::move(message), "remove", store_call_timeout);
  co_return reply.result == store_result::done || reply.result == store_result::missing;
}

} // namespace wisteriaflow::relay
