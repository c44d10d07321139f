#include "relay/store_list.h"

#include <algorithm>
#include <cstddef>
#include <iterator>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "errors.h"
#include "relay/async_sleep.h"
#include "wisteriaflow/base/percent_encoding.h"

namespace wisteriaflow::relay {
namespace {

// A refused page is retried this often before the whole list starts again. When a whole fleet
// starts at once, each refusal would otherwise cost all previous pages again.
constexpr unsigned max_page_retries = 5;
// More objects of one kind than the largest fleet has; a list beyond it has no end.
constexpr std::size_t max_objects = 100'000;

// A longer name, encoded, may not fit into what the store reads of a request.
constexpr std::size_t max_position_size = 2'048; // bytes

// Removes the objects after the last one of the page whose name can be sent as a position: the next
// page brings them again. Keeps all if there is none.
void cut_to_position(std::vector<adapter::stored_object>& items, std::size_t page_size)
{
  const auto end_of_page = items.rbegin() + static_cast<std::ptrdiff_t>(page_size);
  const auto position = std::find_if(items.rbegin(), end_of_page, [](const auto& item) {
    return percent_encoded(item.name).size() <= max_position_size;
  });
  if (position != end_of_page) {
    items.erase(position.base(), items.end());
  }
}

void report_incomplete(fleet_state& state, std::string_view kind, const listing& read,
                       std::string_view reason)
{
  state.counters.count("store_lists_incomplete", {{"kind", std::string(kind)}});
  state.log.write(daemon::log_level::warn, "store list incomplete",
                  {{"kind", std::string(kind)},
                   {"objects", std::to_string(read.items.size())},
                   {"after", read.items.empty() ? "" : percent_encoded(read.items.back().name)},
                   {"reason", std::string(reason)}});
}

} // namespace

boost::asio::awaitable<listing> list_objects(store_client& store, fleet_state& state,
                                             std::string_view kind, adapter::list_age age)
{
  listing out;
  std::string after;
  std::set<std::string> positions; // where pages have begun
  for (unsigned failures = 0;;) {
    auto message = adapter::list_call(kind, after, age);
    const auto reply = co_await store.call(std::move(message), "list", store_call_timeout);
    if (reply.result != adapter::store_result::done) {
      if (after.empty()) {
        co_return out;
      }
      if (++failures > max_page_retries) {
        report_incomplete(state, kind, out, "the next page was not read");
        co_return out;
      }
      co_await async_sleep(store.backoff(failures));
      continue;
    }
    failures = 0;
    bool has_more = false;
    try {
      auto page = adapter::decode_list(reply.body, reply.era);
      if (!after.empty() && page.revision.era != out.revision.era) {
        report_incomplete(state, kind, out, "the store was restored between two pages");
        co_return out;
      }
      // A watch from the earliest revision finds changes made between two pages; the pages of a
      // stale list may have different revisions.
      out.revision = after.empty() ? page.revision : std::min(out.revision, page.revision);
      report_unnamed(state, kind, page.unnamed);
      std::move(page.items.begin(), page.items.end(), std::back_inserter(out.items));
      has_more = page.has_more;
      if (has_more) {
        cut_to_position(out.items, page.items.size());
      }
      after = out.items.empty() ? "" : out.items.back().name;
    } catch (const adapter::format_error& e) {
      report_incomplete(state, kind, out, e.what());
      co_return out;
    }
    if (!has_more) {
      out.is_complete = true;
      co_return out;
    }
    // The next page begins after the last readable name. Where a page has begun before, the list
    // would go round without an end.
    if (after.empty() || !positions.insert(after).second || out.items.size() > max_objects) {
      report_incomplete(state, kind, out, "a page leads no further");
      co_return out;
    }
  }
}

void report_unnamed(fleet_state& state, std::string_view kind, std::size_t number)
{
  if (number == 0) {
    return;
  }
  state.counters.count("store_objects_unreadable", {{"kind", std::string(kind)}}, number);
  state.log.write(daemon::log_level::error, "store objects unreadable",
                  {{"kind", std::string(kind)}, {"number", std::to_string(number)}});
}

} // namespace wisteriaflow::relay
