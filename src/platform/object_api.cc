#include "wisteriaflow/platform/object_api.h"

#include <algorithm>
#include <charconv>
#include <chrono>
#include <utility>

#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include "wisteriaflow/base/percent_encoding.h"
#include "wisteriaflow/http/errors.h"
#include "wisteriaflow/platform/errors.h"

namespace wisteriaflow::platform {
namespace {

namespace json = boost::json;

constexpr std::string_view api_root = "/apis/wisteriaflow.dev/v1/";
constexpr std::string_view api_version = "wisteriaflow.dev/v1";

constexpr int status_not_found = 404;
constexpr int status_conflict = 409;
constexpr int status_gone = 410;
constexpr int status_too_many_requests = 429;
constexpr int first_client_error = 400;
constexpr int first_server_error = 500;

std::string target_of(std::string_view plural)
{
  return std::string(api_root) + percent_encoded(plural);
}

std::string target_of(std::string_view plural, std::string_view name)
{
  return target_of(plural) + "/" + percent_encoded(name);
}

[[noreturn]] void throw_error_for_status(int status, const std::string& what)
{
  switch (status) {
  case status_not_found:
    throw not_found_error(what);
  case status_conflict:
    throw conflict_error(what);
  case status_gone:
    throw watch_expired_error(what);
  case status_too_many_requests:
    throw platform_unavailable(what);
  default:
    break;
  }
  if (status >= first_client_error && status < first_server_error) {
    throw rejected_error(what);
  }
  throw platform_unavailable(what);
}

// Throws unless `status` is 2xx. A "message" field of the body is added to the error text.
void require_success(int status, std::string_view target, std::string_view body)
{
  constexpr int first_success = 200;
  constexpr int first_redirect = 300;
  if (status >= first_success && status < first_redirect) {
    return;
  }
  std::string what = "object API, " + std::string(target) + ": status " + std::to_string(status);
  json::error_code ec;
  const auto answer = json::parse({body.data(), body.size()}, ec);
  const auto* fields = ec ? nullptr : answer.if_object();
  const auto* message = fields == nullptr ? nullptr : fields->if_contains("message");
  if (message != nullptr && message->is_string()) {
    what += ", " + std::string(message->get_string());
  }
  throw_error_for_status(status, what);
}

// A response that violates the protocol counts as unanswered: a write may have taken effect.
[[noreturn]] void throw_malformed(std::string_view text)
{
  constexpr std::size_t shown = 200;
  throw platform_unavailable("object API: malformed answer: " + std::string(text.substr(0, shown)));
}

json::value parse_answer(std::string_view text)
{
  json::error_code ec;
  auto answer = json::parse({text.data(), text.size()}, ec);
  if (ec || !answer.is_object()) {
    throw_malformed(text);
  }
  return answer;
}

const json::value& field_of(const json::value& document, std::string_view key)
{
  const auto* fields = document.if_object();
  const auto* value = fields == nullptr ? nullptr : fields->if_contains(key);
  if (value == nullptr) {
    throw_malformed(json::serialize(document));
  }
  return *value;
}

std::string string_of(const json::value& document, std::string_view key)
{
  const auto& value = field_of(document, key);
  if (!value.is_string()) {
    throw_malformed(json::serialize(document));
  }
  return std::string(value.get_string());
}

std::uint64_t version_of(const json::value& document)
{
  const auto text = string_of(field_of(document, "metadata"), "resourceVersion");
  std::uint64_t version = 0;
  const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), version);
  if (ec != std::errc{} || end != text.data() + text.size()) {
    throw_malformed(json::serialize(document));
  }
  return version;
}

stored_object to_stored_object(json::value document)
{
  auto name = string_of(field_of(document, "metadata"), "name");
  const auto version = version_of(document);
  return {.name = std::move(name), .version = version, .document = std::move(document)};
}

watch_event to_watch_event(const json::value& line)
{
  const auto type = string_of(line, "type");
  const auto& object = field_of(line, "object");
  if (type == "BOOKMARK") {
    return {.kind = watch_event_kind::bookmark, .object = {.version = version_of(object)}};
  }
  if (type == "ADDED") {
    return {.kind = watch_event_kind::added, .object = to_stored_object(object)};
  }
  if (type == "MODIFIED") {
    return {.kind = watch_event_kind::modified, .object = to_stored_object(object)};
  }
  if (type == "DELETED") {
    return {.kind = watch_event_kind::deleted, .object = to_stored_object(object)};
  }
  const auto* code = type == "ERROR" ? object.as_object().if_contains("code") : nullptr;
  if (code != nullptr && code->is_int64()) {
    throw_error_for_status(static_cast<int>(code->get_int64()), "object API: the watch failed");
  }
  throw_malformed(json::serialize(line));
}

// Splits the body of a watch into lines, one event each. The body of an error response is kept
// unsplit for the error text.
class watch_reader {
 public:
  explicit watch_reader(std::function<void(watch_event)> on_event) : on_event_(std::move(on_event))
  {
  }

  void set_status(int status) { status_ = status; }

  void read(std::string_view bytes)
  {
    pending_ += bytes;
    constexpr int success = 200;
    if (status_ != success) {
      return;
    }
    auto end = pending_.find('\n');
    std::size_t begin = 0;
    while (end != std::string::npos) {
      read_line(std::string_view(pending_).substr(begin, end - begin));
      begin = end + 1;
      end = pending_.find('\n', begin);
    }
    pending_.erase(0, begin);
  }

  void finish(std::string_view target) const { require_success(status_, target, pending_); }

 private:
  void read_line(std::string_view line)
  {
    if (!line.empty()) {
      on_event_(to_watch_event(parse_answer(line)));
    }
  }

  std::function<void(watch_event)> on_event_;
  std::string pending_;
  int status_ = 0;
};

http::request make_request(std::string method, std::string target, const json::value* body)
{
  http::request out{.method = std::move(method), .target = std::move(target)};
  if (body != nullptr) {
    out.fields.push_back({"Content-Type", "application/json"});
    out.body = json::serialize(*body);
  }
  return out;
}

// Sends `message` and returns the JSON object of the response.
boost::asio::awaitable<json::value> exchange_json(http::client& client, http::socket_address to,
                                                  http::request message, mono_time deadline)
{
  const auto target = message.target;
  http::response answer;
  try {
    answer = co_await client.call(std::move(to), std::move(message), deadline);
  } catch (const http::connect_error& e) {
    throw platform_unreachable("object API, " + target + ": " + e.what());
  } catch (const http::http_error& e) {
    throw platform_unavailable("object API, " + target + ": " + e.what());
  }
  require_success(answer.status, target, answer.body);
  co_return parse_answer(answer.body);
}

std::string watch_target(std::string_view plural, std::uint64_t version, mono_time deadline)
{
  const auto remaining =
      std::chrono::floor<std::chrono::seconds>(deadline - std::chrono::steady_clock::now());
  const auto seconds = std::max<std::int64_t>(remaining.count(), 1);
  return target_of(plural) + "?watch=true&resourceVersion=" + std::to_string(version) +
         "&timeoutSeconds=" + std::to_string(seconds);
}

} // namespace

object_api::object_api(http::client& client, http::socket_address address)
    : client_(client), address_(std::move(address))
{
}

boost::asio::awaitable<object_list> object_api::list(std::string_view plural, mono_time deadline)
{
  auto request = make_request("GET", target_of(plural), nullptr);
  const auto answer = co_await exchange_json(client_, address_, std::move(request), deadline);
  const auto& items = field_of(answer, "items");
  if (!items.is_array()) {
    throw_malformed(json::serialize(answer));
  }
  object_list listed{.version = version_of(answer)};
  for (const auto& item : items.get_array()) {
    listed.items.push_back(to_stored_object(item));
  }
  co_return listed;
}

boost::asio::awaitable<stored_object> object_api::get(std::string_view plural,
                                                      std::string_view name, mono_time deadline)
{
  auto request = make_request("GET", target_of(plural, name), nullptr);
  auto answer = co_await exchange_json(client_, address_, std::move(request), deadline);
  co_return to_stored_object(std::move(answer));
}

boost::asio::awaitable<stored_object>
object_api::create(std::string_view plural, const json::value& document, mono_time deadline)
{
  auto request = make_request("POST", target_of(plural), &document);
  auto answer = co_await exchange_json(client_, address_, std::move(request), deadline);
  co_return to_stored_object(std::move(answer));
}

boost::asio::awaitable<stored_object>
object_api::replace(std::string_view plural, const json::value& document, mono_time deadline)
{
  const auto name = string_of(field_of(document, "metadata"), "name");
  auto request = make_request("PUT", target_of(plural, name), &document);
  auto answer = co_await exchange_json(client_, address_, std::move(request), deadline);
  co_return to_stored_object(std::move(answer));
}

boost::asio::awaitable<void> object_api::remove(std::string_view plural, std::string_view name,
                                                mono_time deadline, std::uint64_t version)
{
  json::object body;
  if (version != 0) {
    body["preconditions"] = {{"resourceVersion", std::to_string(version)}};
  }
  const json::value request_body = std::move(body);
  auto request = make_request("DELETE", target_of(plural, name), &request_body);
  try {
    co_await exchange_json(client_, address_, std::move(request), deadline);
  } catch (const not_found_error&) {
    co_return; // deleted already
  }
}

boost::asio::awaitable<void> object_api::watch(std::string_view plural, std::uint64_t version,
                                               mono_time deadline,
                                               std::function<void(watch_event)> on_event)
{
  watch_reader reader(std::move(on_event));
  auto request = make_request("GET", watch_target(plural, version, deadline), nullptr);
  const auto target = request.target;
  http::stream_observer observer{
      .on_head = [&](const http::response& head) { reader.set_status(head.status); },
      .on_bytes = [&](std::string_view bytes) { reader.read(bytes); }};
  try {
    co_await client_.stream(address_, std::move(request), deadline, std::move(observer));
  } catch (const http::exchange_timeout_error&) {
    co_return;
  } catch (const http::http_error& e) {
    throw platform_unavailable("object API, " + target + ": " + e.what());
  }
  reader.finish(target);
}

json::value make_document(std::string_view kind, std::string_view name, json::value spec,
                          std::uint64_t version)
{
  json::object metadata{{"name", name}};
  if (version != 0) {
    metadata["resourceVersion"] = std::to_string(version);
  }
  json::object document;
  document["apiVersion"] = api_version;
  document["kind"] = kind;
  document["metadata"] = std::move(metadata);
  document["spec"] = std::move(spec);
  return document;
}

} // namespace wisteriaflow::platform
