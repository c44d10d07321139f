#include "gateway_system/soak_terms.h"

#include <algorithm>
#include <chrono>
#include <optional>

namespace wisteriaflow::gateway_system_tests {
namespace {

using std::chrono::milliseconds;
using seconds = std::chrono::duration<double>;

// A rate binds from so long after it was first named, those who have been told so long before.
constexpr milliseconds rate_grace{3'000};
constexpr milliseconds told_before{500};
constexpr milliseconds rate_window{4'000};
constexpr double tolerated_excess = 1.5;
constexpr double tolerated_requests = 5;
// A caller's request may still go to an endpoint so long after an answer has said that it leaves.
constexpr milliseconds leaving_notice{2'000};
// Requests under way when a pause is asked for arrive within this.
constexpr milliseconds pause_grace{500};
constexpr int tolerated_in_pause = 2;

struct arrival {
  const received_request* request = nullptr;
  request_sender sender;
};

// Those of known daemons, while the way to the endpoint was sound, oldest first.
std::vector<arrival> arrivals_at(const counting_endpoint& endpoint, const request_senders& senders)
{
  std::vector<arrival> out;
  for (const auto& r : endpoint.received()) {
    const auto sender = senders.find(r.id);
    if (sender != senders.end() && !endpoint.was_way_harmed_at(r.at)) {
      out.push_back({.request = &r, .sender = sender->second});
    }
  }
  return out;
}

void judge_leaving(const counting_endpoint& endpoint, const std::vector<arrival>& arrivals,
                   std::vector<std::string>& broken)
{
  std::map<std::string, mono_time> told_at;
  for (const auto& a : arrivals) {
    const auto told = told_at.find(a.sender.daemon);
    if (told != told_at.end() && told->second + leaving_notice < a.sender.sent_at) {
      broken.push_back(a.request->id + " came from " + a.sender.daemon + " to " + endpoint.id() +
                       " long after it had said that it leaves");
    }
    if (a.request->said.leaving) {
      told_at.try_emplace(a.sender.daemon, a.request->at);
    }
  }
}

void judge_pauses(const counting_endpoint& endpoint, const std::vector<arrival>& arrivals,
                  std::vector<std::string>& broken)
{
  for (const auto& asked : arrivals) {
    if (asked.request->said.pause.count() == 0) {
      continue;
    }
    const auto begin = asked.request->at + pause_grace;
    const auto end = asked.request->at + asked.request->said.pause;
    const auto n = std::count_if(arrivals.begin(), arrivals.end(), [&](const arrival& a) {
      return a.sender.daemon == asked.sender.daemon && begin < a.request->at && a.request->at < end;
    });
    if (n > tolerated_in_pause) {
      broken.push_back(std::to_string(n) + " requests of " + asked.sender.daemon + " to " +
                       endpoint.id() + " in a pause that it had asked for");
    }
  }
}

void judge_rate(const counting_endpoint& endpoint, const std::vector<arrival>& arrivals,
                std::vector<std::string>& broken)
{
  std::optional<mono_time> named_at;
  std::map<std::string, mono_time> told_at;
  std::vector<mono_time> counted;
  for (const auto& a : arrivals) {
    const auto at = a.request->at;
    const double rate = a.request->said.rate;
    if (rate == 0) {
      named_at.reset();
      told_at.clear();
      counted.clear();
      continue;
    }
    named_at = named_at.value_or(at);
    const auto told = told_at.try_emplace(a.sender.daemon, at).first->second;
    if (at < *named_at + rate_grace || at < told + told_before) {
      continue;
    }
    counted.push_back(at);
    const auto in_window = std::count_if(counted.begin(), counted.end(),
                                         [&](mono_time t) { return at - rate_window < t; });
    const double allowed =
        tolerated_excess * rate * seconds(rate_window).count() + tolerated_requests;
    if (static_cast<double>(in_window) > allowed) {
      broken.push_back(std::to_string(in_window) + " requests in four seconds to " + endpoint.id() +
                       ", which had named a rate of " + std::to_string(rate));
    }
  }
}

} // namespace

std::vector<std::string> judge_terms(const counting_endpoint& endpoint,
                                     const request_senders& senders)
{
  std::vector<std::string> out;
  const auto arrivals = arrivals_at(endpoint, senders);
  judge_leaving(endpoint, arrivals, out);
  judge_pauses(endpoint, arrivals, out);
  judge_rate(endpoint, arrivals, out);
  return out;
}

} // namespace wisteriaflow::gateway_system_tests
