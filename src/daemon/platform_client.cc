#include "wisteriaflow/daemon/platform_client.h"

#include <algorithm>
#include <string>
#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json/parse.hpp>

#include "wisteriaflow/base/hash.h"
#include "wisteriaflow/http/errors.h"
#include "wisteriaflow/platform/errors.h"

namespace wisteriaflow::daemon {
namespace {

constexpr std::chrono::milliseconds backoff_base{100};
constexpr std::chrono::milliseconds max_backoff{5'000};
constexpr unsigned max_backoff_doublings = 6;
constexpr std::string_view declarations = "declarations";

// Returns the highest sequence number of the notices that could be read before the first malformed
// one; 0 if there are none.
std::int64_t highest_sequence(const boost::json::value& document)
{
  std::int64_t out = 0;
  try {
    for (const auto& notice : document.at("notices").as_array()) {
      out = std::max(out, notice.at("sequence").to_number<std::int64_t>());
    }
  } catch (const std::exception&) {
    return out;
  }
  return out;
}

core::store_object store_object_of(platform::stored_object o)
{
  return {.name = std::move(o.name), .version = o.version, .document = std::move(o.document)};
}

// Visitor that runs one operation on the object API and returns the answer for the core.
struct perform_operation {
  platform::object_api& store;
  mono_time deadline;

  using result = boost::asio::awaitable<core::store_answer>;

  result operator()(const core::store_list& o) const
  {
    auto listed = co_await store.list(o.plural, deadline);
    core::store_answer out{.status = core::store_status::ok, .list_version = listed.version};
    for (auto& item : listed.items) {
      out.objects.push_back(store_object_of(std::move(item)));
    }
    co_return out;
  }
  result operator()(const core::store_get& o) const
  {
    auto found = co_await store.get(o.plural, o.name, deadline);
    co_return answer_with(std::move(found));
  }
  result operator()(const core::store_create& o) const
  {
    auto created = co_await store.create(o.plural, o.document, deadline);
    co_return answer_with(std::move(created));
  }
  result operator()(const core::store_replace& o) const
  {
    auto replaced = co_await store.replace(o.plural, o.document, deadline);
    co_return answer_with(std::move(replaced));
  }
  result operator()(const core::store_remove& o) const
  {
    co_await store.remove(o.plural, o.name, deadline);
    core::store_answer out{.status = core::store_status::ok};
    co_return out;
  }

 private:
  static core::store_answer answer_with(platform::stored_object o)
  {
    core::store_answer out{.status = core::store_status::ok};
    out.objects.push_back(store_object_of(std::move(o)));
    return out;
  }
};

} // namespace

platform_client::platform_client(const settings& s, std::shared_ptr<event_ring> core)
    : settings_(s), thread_(std::move(core),
                            [this](core::platform_action a) {
                              std::visit([this](auto& one) { handle_action(std::move(one)); }, a);
                            }),
      client_(thread_.context()), store_(client_, http::parse_socket_address(s.object_api)),
      random_(hash64_of(s.daemon_id, static_cast<std::uint64_t>(s.seed)))
{
}

void platform_client::start()
{
  auto& context = thread_.context();
  boost::asio::co_spawn(context, watch_declarations(), boost::asio::detached);
  boost::asio::co_spawn(context, poll_instances(), boost::asio::detached);
  if (!settings_.cloud_api.empty()) {
    boost::asio::co_spawn(context, poll_notices(), boost::asio::detached);
  }
  thread_.start();
}

void platform_client::handle_action(core::call_store a)
{
  boost::asio::co_spawn(thread_.context(), run_store_call(std::move(a)), boost::asio::detached);
}

void platform_client::handle_action(core::call_cloud a)
{
  boost::asio::co_spawn(thread_.context(), run_cloud_call(std::move(a)), boost::asio::detached);
}

boost::asio::awaitable<void> platform_client::run_cloud_call(core::call_cloud a)
{
  core::cloud_answer answer{.call = a.call};
  try {
    const auto to = http::parse_socket_address(settings_.cloud_api);
    answer.response = co_await client_.call(to, std::move(a.message), a.deadline);
    answer.reached = true;
  } catch (const http::http_error&) {
    answer.reached = false;
  }
  thread_.post_event(std::move(answer));
}

boost::asio::awaitable<void> platform_client::run_store_call(core::call_store a)
{
  auto answer = co_await perform(a);
  answer.call = a.call;
  thread_.post_event(std::move(answer));
}

boost::asio::awaitable<core::store_answer> platform_client::perform(const core::call_store& a)
{
  core::store_answer failed;
  try {
    const perform_operation perform{store_, a.deadline};
    co_return co_await std::visit(perform, a.operation);
  } catch (const platform::conflict_error&) {
    failed.status = core::store_status::conflict;
  } catch (const platform::not_found_error&) {
    failed.status = core::store_status::not_found;
  } catch (const platform::rejected_error&) {
    failed.status = core::store_status::rejected;
  } catch (const platform::platform_unreachable&) {
    failed.status = core::store_status::not_sent;
  } catch (const platform::platform_error&) {
    failed.status = core::store_status::unavailable;
  }
  co_return failed;
}

boost::asio::awaitable<std::uint64_t> platform_client::list_declarations()
{
  auto listed = co_await store_.list(declarations, call_deadline());
  core::declarations_listed e{.version = listed.version};
  for (auto& item : listed.items) {
    e.objects.push_back(store_object_of(std::move(item)));
  }
  thread_.post_event(std::move(e));
  co_return listed.version;
}

boost::asio::awaitable<void> platform_client::watch_declarations()
{
  unsigned failures = 0;
  std::uint64_t version = 0;
  mono_time list_due; // in the past, so that the loop starts with a list
  for (;;) {
    bool failed = false;
    try {
      const auto now = std::chrono::steady_clock::now();
      if (now >= list_due) {
        version = co_await list_declarations();
        // The interval is jittered so that daemons that started together do not keep listing at
        // the same time.
        list_due = now + settings_.relist_period / 2 + random_delay(settings_.relist_period);
      }
      co_await watch_from(version);
      failures = 0;
    } catch (const platform::watch_expired_error&) {
      list_due = {};
    } catch (const platform::platform_error&) {
      failed = true;
    }
    if (failed) {
      ++failures;
      co_await async_sleep(backoff(failures));
    }
  }
}

// Reports changes after `version` to the core, and raises `version` with each change.
boost::asio::awaitable<void> platform_client::watch_from(std::uint64_t& version)
{
  const auto on_event = [this, &version](platform::watch_event e) {
    version = std::max(version, e.object.version);
    if (e.kind == platform::watch_event_kind::bookmark) {
      return;
    }
    const bool deleted = e.kind == platform::watch_event_kind::deleted;
    auto object = store_object_of(std::move(e.object));
    thread_.post_event(core::declaration_changed{.deleted = deleted, .object = std::move(object)});
  };
  const auto deadline = std::chrono::steady_clock::now() + settings_.watch_period;
  co_await store_.watch(declarations, version, deadline, on_event);
}

boost::asio::awaitable<bool>
platform_client::fetch_json(http::socket_address from, std::string target, boost::json::value& out)
{
  try {
    http::request message;
    message.target = std::move(target);
    const auto response = co_await client_.call(from, std::move(message), call_deadline());
    boost::json::error_code ec;
    out = boost::json::parse(response.body, ec);
    co_return !ec && response.status == 200;
  } catch (const http::http_error&) {
    co_return false;
  }
}

boost::asio::awaitable<void> platform_client::poll_instances()
{
  const auto from = http::parse_socket_address(settings_.instance_list);
  unsigned failures = 0;
  for (;;) {
    core::instances_listed e;
    const bool fetched = co_await fetch_json(from, "/instances", e.document);
    if (fetched) {
      thread_.post_event(std::move(e));
    }
    failures = fetched ? 0 : failures + 1;
    co_await async_sleep(fetched ? settings_.instance_list_period : backoff(failures));
  }
}

boost::asio::awaitable<void> platform_client::poll_notices()
{
  const auto from = http::parse_socket_address(settings_.cloud_api);
  unsigned failures = 0;
  std::int64_t after = 0;
  for (;;) {
    core::notices_received e;
    const bool fetched =
        co_await fetch_json(from, "/notices?after=" + std::to_string(after), e.document);
    if (fetched) {
      after = std::max(after, highest_sequence(e.document));
      thread_.post_event(std::move(e));
    }
    failures = fetched ? 0 : failures + 1;
    co_await async_sleep(fetched ? settings_.notice_period : backoff(failures));
  }
}

boost::asio::awaitable<void> platform_client::async_sleep(std::chrono::milliseconds period)
{
  boost::asio::steady_timer timer(thread_.context());
  timer.expires_after(period);
  co_await timer.async_wait(boost::asio::use_awaitable);
}

std::chrono::milliseconds platform_client::backoff(unsigned failures)
{
  const auto doublings = std::min(failures, max_backoff_doublings);
  const auto ceiling = std::min(backoff_base * (1 << doublings), max_backoff);
  return random_delay(ceiling);
}

std::chrono::milliseconds platform_client::random_delay(std::chrono::milliseconds max_delay)
{
  std::uniform_int_distribution<std::int64_t> draw(1, max_delay.count());
  return std::chrono::milliseconds(draw(random_));
}

mono_time platform_client::call_deadline() const
{
  return std::chrono::steady_clock::now() + settings_.platform_call_timeout;
}

} // namespace wisteriaflow::daemon
