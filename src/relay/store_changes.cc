#include "relay/store_changes.h"

#include <string>
#include <utility>

#include "errors.h"
#include "relay/async_sleep.h"
#include "relay/store_list.h"

namespace wisteriaflow::relay {
namespace {

using std::chrono::milliseconds;

// Time that a call may take beyond its wait.
constexpr milliseconds watch_slack{700};
// Between two calls of one loop that find no change.
constexpr milliseconds min_watch_period{100};

} // namespace

boost::asio::awaitable<changes_reading> read_changes(store_client& store, fleet_state& state,
                                                     std::string_view kind,
                                                     gateway::store_revision revision,
                                                     milliseconds wait)
{
  auto message = adapter::watch_call(kind, revision, wait);
  const auto reply = co_await store.call(std::move(message), "watch", wait + watch_slack);
  if (reply.result != adapter::store_result::done) {
    co_return changes_reading{.result = reply.result};
  }
  if (reply.era != revision.era) {
    // The number may exist again, with other changes before it.
    co_return changes_reading{.result = adapter::store_result::expired};
  }
  changes_reading out{.result = reply.result};
  try {
    out.page = adapter::decode_changes(reply.body, reply.era);
  } catch (const adapter::format_error& e) {
    state.log.write(daemon::log_level::error, "store answer unreadable",
                    {{"kind", std::string(kind)}, {"reason", e.what()}});
    co_return changes_reading{.result = adapter::store_result::expired};
  }
  report_unnamed(state, kind, out.page.unnamed);
  if (!out.page.changes.empty() && out.page.revision <= revision) {
    state.counters.count("store_changes_rejected", {{"kind", std::string(kind)}});
    state.log.write(daemon::log_level::error, "changes lead no further",
                    {{"kind", std::string(kind)},
                     {"after", to_string(revision)},
                     {"up_to", to_string(out.page.revision)},
                     {"changes", std::to_string(out.page.changes.size())}});
    co_return changes_reading{.result = adapter::store_result::failed};
  }
  co_return out;
}

boost::asio::awaitable<void> pause_if_unchanged(const adapter::change_page& page,
                                                mono_time asked_at)
{
  const auto next_at = asked_at + min_watch_period;
  const auto now = std::chrono::steady_clock::now();
  if (page.changes.empty() && now < next_at) {
    co_await async_sleep(std::chrono::ceil<milliseconds>(next_at - now));
  }
}

} // namespace wisteriaflow::relay
