#include "relay/store_client.h"

#include <utility>

#include "wisteriaflow/http/errors.h"

namespace wisteriaflow::relay {
namespace {

using std::chrono::milliseconds;

// The store answers within a few milliseconds; if connecting takes longer than this, the store is
// unreachable.
constexpr milliseconds connect_timeout{500};
constexpr milliseconds unacknowledged_timeout{1'500};
constexpr std::size_t max_response_bytes = std::size_t{16} << 20U; // of one answer

std::string_view to_string(adapter::store_result r)
{
  switch (r) {
  case adapter::store_result::done:
    return "done";
  case adapter::store_result::missing:
    return "missing";
  case adapter::store_result::conflict:
    return "conflict";
  case adapter::store_result::expired:
    return "expired";
  case adapter::store_result::refused:
    return "refused";
  case adapter::store_result::failed:
    return "failed";
  }
  return "failed";
}

} // namespace

store_client::store_client(boost::asio::io_context& context, fleet_state& state)
    : client_(context, {.body_limit = max_response_bytes,
                        .connect_timeout = connect_timeout,
                        .unacknowledged_timeout = unacknowledged_timeout,
                        .retry_stale_get = false}),
      state_(state), retries_({}, state.seed())
{
}

boost::asio::awaitable<store_reply> store_client::call(http::request message, std::string name,
                                                       milliseconds timeout)
{
  store_reply out;
  std::string reason;
  const auto target = message.target;
  const auto asked_at = std::chrono::steady_clock::now();
  try {
    const auto deadline = asked_at + timeout;
    auto response = co_await client_.call(state_.options.store, std::move(message), deadline);
    out.result = adapter::result_of(response.status);
    out.era = adapter::decode_era(response);
    out.body = std::move(response.body);
    reason = "status " + std::to_string(response.status);
  } catch (const http::http_error& e) {
    reason = e.what();
  }
  const auto elapsed = std::chrono::steady_clock::now() - asked_at;
  const auto result = std::string(to_string(out.result));
  state_.counters.count("store_calls", {{"call", name}, {"result", result}});
  state_.counters.count("store_answer_bytes", {{"call", name}}, out.body.size());
  const bool answered =
      out.result != adapter::store_result::failed && out.result != adapter::store_result::refused;
  if (!answered) {
    state_.log.write(daemon::log_level::warn, "store call failed",
                     {{"call", name},
                      {"target", target},
                      {"after_ms", std::to_string(elapsed / milliseconds(1))},
                      {"result", result},
                      {"reason", reason}});
  }
  record_result(answered);
  record_era(out.era);
  if (out.era != 0 && out.era < era_) {
    out.result = adapter::store_result::failed; // from a copy of before the restore
  }
  co_return out;
}

void store_client::record_era(std::uint64_t era)
{
  if (era <= era_) {
    return;
  }
  const auto before = std::exchange(era_, era);
  if (before == 0) {
    return; // the first answer
  }
  state_.counters.count("store_restores");
  state_.log.write(daemon::log_level::warn, "store restored from a copy",
                   {{"era", std::to_string(era)}, {"era_before", std::to_string(before)}});
  for (const auto& callback : on_restored_) {
    callback();
  }
}

void store_client::record_result(bool answered)
{
  const auto outage = outages_.on_call_result(answered, std::chrono::steady_clock::now());
  if (!outage) {
    return;
  }
  state_.log.write(daemon::log_level::info, "store answers again",
                   {{"away_ms", std::to_string(outage->count())}});
  if (on_recovery_) {
    on_recovery_();
  }
}

milliseconds store_client::backoff(unsigned failures)
{
  return retries_.backoff_after(failures, state_.current_retry_context());
}

} // namespace wisteriaflow::relay
