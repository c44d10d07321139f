#include "relay/store_list.h"

#include <string>
#include <utility>

#include "errors.h"

namespace wisteriaflow::relay {

boost::asio::awaitable<listing> list_objects(store_client& store, fleet_state& state,
                                             std::string_view kind, adapter::list_age age)
{
  listing out;
  std::string after;
  for (;;) {
    auto message = adapter::list_call(kind, after, age);
    const auto reply = co_await store.call(std::move(message), "list", store_call_timeout);
    if (reply.result != adapter::store_result::done) {
      co_return out;
    }
    try {
      auto page = adapter::decode_list(reply.body);
      // Changes between two pages are found again by watching from the first page's revision.
      out.revision = after.empty() ? page.revision : out.revision;
      note_nameless(state, kind, page.nameless);
      for (auto& item : page.items) {
        after = item.name;
        out.items.push_back(std::move(item));
      }
      if (!page.has_more || page.items.empty()) {
        out.whole = true;
        co_return out;
      }
    } catch (const adapter::format_error& e) {
      state.log.write(daemon::log_level::error, "store answer unreadable",
                      {{"kind", std::string(kind)}, {"reason", e.what()}});
      co_return out;
    }
  }
}

void note_nameless(fleet_state& state, std::string_view kind, std::size_t number)
{
  if (number == 0) {
    return;
  }
  state.counters.count("store_objects_unreadable", {{"kind", std::string(kind)}}, number);
  state.log.write(daemon::log_level::error, "store objects unreadable",
                  {{"kind", std::string(kind)}, {"number", std::to_string(number)}});
}

} // namespace wisteriaflow::relay
