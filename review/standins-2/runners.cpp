#include "runners.hpp"

#include <cstdlib>
#include <utility>

namespace review {

void arrivals::add(arrival a)
{
  const std::lock_guard lock(mutex_);
  all_.push_back(std::move(a));
}

std::vector<arrival> arrivals::all() const
{
  const std::lock_guard lock(mutex_);
  return all_;
}

double stated_tokens(const message& request)
{
  const auto text = request.header("Token-Usage");
  const auto comma = text.find(',');
  if (comma == std::string::npos) {
    return 0;
  }
  return std::strtod(text.c_str(), nullptr) + std::strtod(text.c_str() + comma + 1, nullptr);
}

runner::runner(runner_options options, store& registry, arrivals& log)
    : options_(std::move(options)), registry_(registry), log_(log),
      server_([this](const message& request, stream& to) { return serve(request, to); })
{
  registry_.put("servers", options_.id, entry("ready"));
}

json::object runner::entry(const std::string& state) const
{
  json::object out = {{"service", options_.service}, {"address", server_.address()},
                      {"zone", options_.zone},       {"version", options_.version},
                      {"slots", options_.slots},     {"state", state},
                      {"coldRemainingMs", 0},        {"sequence", 1}};
  if (options_.spot) {
    out["spot"] = true;
  }
  return out;
}

void runner::drain(int leaves_ms)
{
  auto changed = entry("draining");
  if (leaves_ms > 0) {
    changed["leaves_ms"] = leaves_ms;
  }
  registry_.put("servers", options_.id, std::move(changed));
}

void runner::end()
{
  registry_.remove("servers", options_.id);
  server_.close();
}

bool runner::serve(const message& request, stream& to)
{
  const auto id = request.header("Request-Id");
  if (request.method == "GET" && request.target == "/healthz") {
    return to.write(response_bytes(200, "", {{"Instance-Id", options_.id}}));
  }
  if (id.empty()) {
    return to.write(response_bytes(400, "", {{"Not-Executed", "1"}}));
  }
  const auto expected = request.header("Expect-Instance");
  if (!expected.empty() && expected != options_.id) {
    return to.write(response_bytes(421, "", {{"Not-Executed", "1"}, {"Request-Id", id}}));
  }
  arrival seen{.at = now_s(),
               .runner = options_.id,
               .request = id,
               .has_run = true,
               .tokens = stated_tokens(request)};
  const bool too_large = options_.kv_tokens > 0 && seen.tokens > options_.kv_tokens;
  if (too_large || running_ >= options_.slots) {
    seen.has_run = false;
    log_.add(seen);
    return to.write(response_bytes(503, "", {{"Not-Executed", "1"}, {"Request-Id", id}}));
  }
  log_.add(seen);
  ++running_;
  const bool keep = run(request, to);
  --running_;
  return keep;
}

bool runner::run(const message& request, stream& to)
{
  fields common = {{"Request-Id", request.header("Request-Id")},
                   {"Response-Seal", "seal-of-" + options_.id}};
  if (options_.keep_alive_s > 0) {
    common.emplace_back("Keep-Alive", "timeout=" + std::to_string(options_.keep_alive_s));
  }
  if (options_.fails()) {
    return to.write(response_bytes(500, "failed", common));
  }
  if (options_.kv_tokens <= 0) {
    std::this_thread::sleep_for(options_.work);
    return to.write(response_bytes(200, "done " + request.header("Request-Id"), common));
  }
  std::string head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n";
  for (const auto& [key, value] : common) {
    head += key + ": " + value + "\r\n";
  }
  if (!to.write(head + "Transfer-Encoding: chunked\r\n\r\n")) {
    return false;
  }
  const int resumed_after = std::atoi(request.header("Last-Event-Id").c_str());
  for (int i = resumed_after + 1; i <= options_.events; ++i) {
    std::this_thread::sleep_for(options_.work);
    const auto event = "id: " + std::to_string(i) + "\ndata: token\n\n";
    char size[16];
    std::snprintf(size, sizeof size, "%zx\r\n", event.size());
    if (to.is_closed_by_peer() || !to.write(size + event + "\r\n")) {
      return false;
    }
  }
  return to.write("0\r\n\r\n");
}

} // namespace review
