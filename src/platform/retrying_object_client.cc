#include "wisteriaflow/platform/retrying_object_client.h"

#include <algorithm>
#include <cstdio>
#include <utility>

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json/object.hpp>

#include "wisteriaflow/objects/audit_record.h"
#include "wisteriaflow/platform/errors.h"

namespace wisteriaflow::platform {
namespace {

namespace asio = boost::asio;
namespace json = boost::json;
using objects::write_id_annotation;

// How one call of a write ended. Returned as a value because a coroutine cannot await inside a
// catch block.
enum class call_outcome { done, conflict, unknown };

struct write_attempt {
  call_outcome outcome = call_outcome::unknown;
  std::optional<stored_object> written;
  std::string error_text;
};

template <typename call> asio::awaitable<write_attempt> attempt_write(call send)
{
  write_attempt attempted;
  try {
    attempted.written = co_await send();
    attempted.outcome = call_outcome::done;
  } catch (const conflict_error& e) {
    attempted.outcome = call_outcome::conflict;
    attempted.error_text = e.what();
  } catch (const platform_unavailable& e) {
    attempted.error_text = e.what();
  }
  co_return attempted;
}

std::string name_of(const json::value& document)
{
  return std::string(document.at("metadata").at("name").as_string());
}

std::uint64_t version_of(const json::value& document)
{
  const auto* version = document.at("metadata").as_object().if_contains("resourceVersion");
  return version == nullptr ? 0 : std::stoull(std::string(version->as_string()));
}

} // namespace

retrying_object_client::retrying_object_client(object_api& api, std::string plural,
                                               object_retry_options options)
    : api_(api), plural_(std::move(plural)), options_(options)
{
  std::random_device device;
  std::seed_seq seeds{device(), device(), device(), device()};
  random_.seed(seeds);
}

asio::awaitable<stored_object> retrying_object_client::get(std::string_view name,
                                                           mono_time deadline)
{
  for (int attempt = 0;; ++attempt) {
    std::string error_text;
    try {
      co_return co_await api_.get(plural_, name, call_deadline(deadline));
    } catch (const platform_unavailable& e) {
      error_text = e.what();
    }
    co_await back_off(attempt, deadline, std::move(error_text));
  }
}

asio::awaitable<object_list> retrying_object_client::list(mono_time deadline)
{
  for (int attempt = 0;; ++attempt) {
    std::string error_text;
    try {
      co_return co_await api_.list(plural_, call_deadline(deadline));
    } catch (const platform_unavailable& e) {
      error_text = e.what();
    }
    co_await back_off(attempt, deadline, std::move(error_text));
  }
}

asio::awaitable<stored_object> retrying_object_client::create(json::value document,
                                                              mono_time deadline)
{
  const auto id = next_write_id();
  set_annotation(document, write_id_annotation, id);
  const auto name = name_of(document);
  bool may_have_committed = false;
  for (int attempt = 0;; ++attempt) {
    auto attempted = co_await attempt_write(
        [&] { return api_.create(plural_, document, call_deadline(deadline)); });
    if (attempted.outcome == call_outcome::done) {
      co_return std::move(*attempted.written);
    }
    if (attempted.outcome == call_outcome::conflict && !may_have_committed) {
      throw conflict_error(attempted.error_text);
    }
    may_have_committed = true;
    auto current = co_await try_get(name, deadline);
    if (current && annotation_of(current->document, write_id_annotation) == id) {
      co_return std::move(*current);
    }
    if (current) {
      throw conflict_error(name + " was created or changed by another writer");
    }
    co_await back_off(attempt, deadline, std::move(attempted.error_text));
  }
}

asio::awaitable<stored_object> retrying_object_client::replace(json::value document,
                                                               mono_time deadline)
{
  const auto id = next_write_id();
  set_annotation(document, write_id_annotation, id);
  const auto name = name_of(document);
  const auto base = version_of(document);
  bool may_have_committed = false;
  for (int attempt = 0;; ++attempt) {
    auto attempted = co_await attempt_write(
        [&] { return api_.replace(plural_, document, call_deadline(deadline)); });
    if (attempted.outcome == call_outcome::done) {
      co_return std::move(*attempted.written);
    }
    if (attempted.outcome == call_outcome::conflict && !may_have_committed) {
      throw conflict_error(attempted.error_text);
    }
    may_have_committed = true;
    auto current = co_await try_get(name, deadline);
    if (!current) {
      throw conflict_error(name + " was deleted meanwhile");
    }
    if (annotation_of(current->document, write_id_annotation) == id) {
      co_return std::move(*current);
    }
    if (current->version > base) {
      throw conflict_error(name + " was changed by another writer");
    }
    // The write was not executed, is still in transit, or the read returned stale data. Only the
    // same conditional write can be repeated safely.
    co_await back_off(attempt, deadline, std::move(attempted.error_text));
  }
}

asio::awaitable<void> retrying_object_client::remove(std::string name, std::uint64_t version,
                                                     mono_time deadline)
{
  for (int attempt = 0;; ++attempt) {
    std::string error_text;
    try {
      co_await api_.remove(plural_, name, call_deadline(deadline), version);
      co_return;
    } catch (const platform_unavailable& e) {
      error_text = e.what();
    }
    co_await back_off(attempt, deadline, std::move(error_text));
  }
}

asio::awaitable<void> retrying_object_client::back_off(int attempt, mono_time deadline,
                                                       std::string error_text)
{
  constexpr int max_doublings = 10;
  const auto max_delay = std::min(
      options_.initial_backoff * (1 << std::min(attempt, max_doublings)), options_.max_backoff);
  std::uniform_int_distribution<std::int64_t> jitter(max_delay.count() / 2, max_delay.count());
  const auto until = std::chrono::steady_clock::now() + std::chrono::milliseconds(jitter(random_));
  if (until >= deadline) {
    throw platform_unavailable(error_text);
  }
  asio::steady_timer timer(co_await asio::this_coro::executor, until);
  co_await timer.async_wait(asio::use_awaitable);
}

asio::awaitable<std::optional<stored_object>> retrying_object_client::try_get(std::string_view name,
                                                                              mono_time deadline)
{
  try {
    co_return co_await get(name, deadline);
  } catch (const not_found_error&) {
    co_return std::nullopt;
  }
}

mono_time retrying_object_client::call_deadline(mono_time deadline) const
{
  return std::min(deadline, std::chrono::steady_clock::now() + options_.call_timeout);
}

std::string retrying_object_client::next_write_id()
{
  constexpr std::size_t digits = 32;
  std::string id(digits + 1, '\0');
  std::snprintf(id.data(), id.size(), "%016llx%016llx", static_cast<unsigned long long>(random_()),
                static_cast<unsigned long long>(random_()));
  id.resize(digits);
  return id;
}

void set_annotation(json::value& document, std::string_view key, std::string_view value)
{
  auto& metadata = document.at("metadata").as_object();
  auto& annotations = metadata["annotations"];
  if (!annotations.is_object()) {
    annotations = json::object();
  }
  annotations.as_object()[key] = value;
}

std::string annotation_of(const json::value& document, std::string_view key)
{
  const auto* metadata = document.as_object().if_contains("metadata");
  const auto* annotations = metadata == nullptr || !metadata->is_object()
                                ? nullptr
                                : metadata->get_object().if_contains("annotations");
  const auto* value = annotations == nullptr || !annotations->is_object()
                          ? nullptr
                          : annotations->get_object().if_contains(key);
  return value != nullptr && value->is_string() ? std::string(value->get_string()) : "";
}

} // namespace wisteriaflow::platform
