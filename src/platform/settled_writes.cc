#include "wisteriaflow/platform/settled_writes.h"

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

// How one call of a write ended. A coroutine cannot wait inside a catch block, so the outcome is
// carried out of it.
enum class call_outcome { done, refused, unknown };

struct write_attempt {
  call_outcome outcome = call_outcome::unknown;
  std::optional<stored_object> written;
  std::string why;
};

template <typename call> asio::awaitable<write_attempt> attempt_write(call send)
{
  write_attempt made;
  try {
    made.written = co_await send();
    made.outcome = call_outcome::done;
  } catch (const conflict_error& e) {
    made.outcome = call_outcome::refused;
    made.why = e.what();
  } catch (const platform_unavailable& e) {
    made.why = e.what();
  }
  co_return made;
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

settled_writes::settled_writes(object_api& api, std::string plural, settled_write_options options)
    : api_(api), plural_(std::move(plural)), options_(options)
{
  std::random_device device;
  std::seed_seq seeds{device(), device(), device(), device()};
  random_.seed(seeds);
}

asio::awaitable<stored_object> settled_writes::get(std::string_view name, mono_time deadline)
{
  for (int attempt = 0;; ++attempt) {
    std::string why;
    try {
      co_return co_await api_.get(plural_, name, call_deadline(deadline));
    } catch (const platform_unavailable& e) {
      why = e.what();
    }
    co_await pause(attempt, deadline, std::move(why));
  }
}

asio::awaitable<object_list> settled_writes::list(mono_time deadline)
{
  for (int attempt = 0;; ++attempt) {
    std::string why;
    try {
      co_return co_await api_.list(plural_, call_deadline(deadline));
    } catch (const platform_unavailable& e) {
      why = e.what();
    }
    co_await pause(attempt, deadline, std::move(why));
  }
}

asio::awaitable<stored_object> settled_writes::create(json::value document, mono_time deadline)
{
  const auto id = next_write_id();
  set_annotation(document, write_id_annotation, id);
  const auto name = name_of(document);
  bool may_have_landed = false;
  for (int attempt = 0;; ++attempt) {
    auto made = co_await attempt_write(
        [&] { return api_.create(plural_, document, call_deadline(deadline)); });
    if (made.outcome == call_outcome::done) {
      co_return std::move(*made.written);
    }
    if (made.outcome == call_outcome::refused && !may_have_landed) {
      throw conflict_error(made.why);
    }
    may_have_landed = true;
    auto present = co_await try_get(name, deadline);
    if (present && annotation_of(present->document, write_id_annotation) == id) {
      co_return std::move(*present);
    }
    if (present) {
      throw conflict_error(name + " was created or changed by another meanwhile");
    }
    co_await pause(attempt, deadline, std::move(made.why));
  }
}

asio::awaitable<stored_object> settled_writes::replace(json::value document, mono_time deadline)
{
  const auto id = next_write_id();
  set_annotation(document, write_id_annotation, id);
  const auto name = name_of(document);
  const auto base = version_of(document);
  bool may_have_landed = false;
  for (int attempt = 0;; ++attempt) {
    auto made = co_await attempt_write(
        [&] { return api_.replace(plural_, document, call_deadline(deadline)); });
    if (made.outcome == call_outcome::done) {
      co_return std::move(*made.written);
    }
    if (made.outcome == call_outcome::refused && !may_have_landed) {
      throw conflict_error(made.why);
    }
    may_have_landed = true;
    auto present = co_await try_get(name, deadline);
    if (!present) {
      throw conflict_error(name + " was deleted meanwhile");
    }
    if (annotation_of(present->document, write_id_annotation) == id) {
      co_return std::move(*present);
    }
    if (present->version > base) {
      throw conflict_error(name + " was changed by another meanwhile");
    }
    // Not landed, still on its way, or read from a stale copy: only the same write may follow.
    co_await pause(attempt, deadline, std::move(made.why));
  }
}

asio::awaitable<void> settled_writes::remove(std::string name, std::uint64_t version,
                                             mono_time deadline)
{
  for (int attempt = 0;; ++attempt) {
    std::string why;
    try {
      co_await api_.remove(plural_, name, call_deadline(deadline), version);
      co_return;
    } catch (const platform_unavailable& e) {
      why = e.what();
    }
    co_await pause(attempt, deadline, std::move(why));
  }
}

asio::awaitable<void> settled_writes::pause(int attempt, mono_time deadline, std::string why)
{
  constexpr int most_doublings = 10;
  const auto longest = std::min(options_.first_pause * (1 << std::min(attempt, most_doublings)),
                                options_.longest_pause);
  std::uniform_int_distribution<std::int64_t> jitter(longest.count() / 2, longest.count());
  const auto until = std::chrono::steady_clock::now() + std::chrono::milliseconds(jitter(random_));
  if (until >= deadline) {
    throw platform_unavailable(why);
  }
  asio::steady_timer timer(co_await asio::this_coro::executor, until);
  co_await timer.async_wait(asio::use_awaitable);
}

asio::awaitable<std::optional<stored_object>> settled_writes::try_get(std::string_view name,
                                                                      mono_time deadline)
{
  try {
    co_return co_await get(name, deadline);
  } catch (const not_found_error&) {
    co_return std::nullopt;
  }
}

mono_time settled_writes::call_deadline(mono_time deadline) const
{
  return std::min(deadline, std::chrono::steady_clock::now() + options_.call_timeout);
}

std::string settled_writes::next_write_id()
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
