// Replays fleets whose endpoints name the rate of requests that they take from all daemons
// together: daemons that die, join and are cut off from each other, on one list of events.
//
// What an endpoint gets in any four seconds from daemons that have passed on such an answer is no
// more than one and a half times the rate's worth and five requests, from three seconds after it
// first named the rate.

#include <deque>
#include <map>
#include <set>

#include "relay/replayed_fleet.h"

namespace wisteriaflow::relay {
namespace {

using seconds = std::chrono::duration<double>;

constexpr milliseconds step{10};
constexpr milliseconds window{4'000};
constexpr milliseconds grace{3'000}; // after a rate was first named
constexpr milliseconds notice{500};  // until a daemon that has been told counts
constexpr double tolerated_excess = 1.5;
constexpr double tolerated_requests = 5;

class RateLimitReplayTest : public replayed_fleet {
 protected:
  struct limited_endpoint {
    double rate = 0;
    mono_time named_at;
    std::map<std::size_t, mono_time> told; // by daemon
    std::deque<mono_time> arrivals;        // in the window
    std::size_t requests = 0;              // all
  };

  void start(std::size_t daemons, std::size_t endpoints)
  {
    start_fleet(daemons);
    give_endpoints(endpoints, 0);
    run_for(3s);
  }

  // The first `number` endpoints name a rate from now on.
  void name_rate(std::size_t number, double rate)
  {
    for (std::size_t n = 0; n < number; ++n) {
      limited_[replayed_endpoint(n)] = {.rate = rate, .named_at = now_};
    }
  }

  // Plays calls that come at random, `rate` a second in the whole fleet.
  void play(milliseconds time, double rate)
  {
    std::poisson_distribution<int> number(rate * seconds(step).count());
    for (const auto end = now_ + time; now_ < end;) {
      run_for(step);
      for (int i = number(random_); i > 0; --i) {
        play_call(random_() % daemons_.size());
      }
    }
  }

  void play_call(std::size_t n)
  {
    auto& d = *daemons_[n];
    if (!d.alive) {
      return;
    }
    auto choice =
        d.state.endpoints.choose({.service = "chat",
                                  .size = gateway::token_size{.prompt = 500, .output = 10},
                                  .target = now_ + 1s,
                                  .deadline = now_ + 10s},
                                 now_);
    auto* chosen = std::get_if<gateway::pooled_endpoint>(&choice);
    if (chosen == nullptr) {
      ++refused_;
      return;
    }
    ++served_;
    arrive(n, chosen->id);
    d.state.endpoints.on_first_token(chosen->work, now_);
    d.state.endpoints.on_finished(chosen->work, 10, now_);
    const auto it = limited_.find(chosen->id);
    gateway::answer_terms said{.process = chosen->process(), .sent_at = now_, .is_signed = true};
    if (it != limited_.end()) {
      said.terms.request_rate = it->second.rate;
      it->second.told.try_emplace(n, now_);
    }
    d.state.take_answer(said, now_);
  }

  void arrive(std::size_t n, const endpoint_id& id)
  {
    const auto it = limited_.find(id);
    if (it == limited_.end()) {
      return;
    }
    auto& e = it->second;
    ++e.requests;
    const auto told = e.told.find(n);
    if (told == e.told.end() || told->second + notice > now_ || e.named_at + grace > now_) {
      return;
    }
    e.arrivals.push_back(now_);
    while (e.arrivals.front() + window < now_) {
      e.arrivals.pop_front();
    }
    const double allowed = tolerated_excess * e.rate * seconds(window).count() + tolerated_requests;
    EXPECT_LE(static_cast<double>(e.arrivals.size()), allowed) << id.value();
  }

  // The process of the daemon ends, and another one knows of no answer.
  void restart(std::size_t n)
  {
    restart_daemon(n);
    for (auto& [id, e] : limited_) {
      e.told.erase(n);
    }
  }

  [[nodiscard]] std::size_t requests() const
  {
    std::size_t n = 0;
    for (const auto& [id, e] : limited_) {
      n += e.requests;
    }
    return n;
  }

  std::map<endpoint_id, limited_endpoint> limited_;
  std::size_t served_ = 0;
  std::size_t refused_ = 0;
};

TEST_F(RateLimitReplayTest, AFewOfManyEndpointsGetTheirRateAndNoMore)
{
  for (const std::size_t daemons : {3, 6, 60}) {
    limited_.clear();
    start(daemons, daemons + 3);
    name_rate(2, 1.0);
    play(20s, 7.0 * static_cast<double>(daemons));
    EXPECT_LE(requests(), 2 * (20 + 5 + daemons)) << daemons; // one each until all have heard
  }
}

TEST_F(RateLimitReplayTest, IsKeptBy195Daemons)
{
  start(195, 12);
  name_rate(12, 1.0);
  play(7s, 700);
}

TEST_F(RateLimitReplayTest, WhereAllNameARateItIsUsed)
{
  start(6, 9);
  name_rate(9, 1.0);
  play(5s, 45);
  const auto before = requests();
  play(20s, 45);
  EXPECT_GE(requests() - before, 9U * 20 * 8 / 10);
}

TEST_F(RateLimitReplayTest, NobodyIsHeldWhereNothingMayBeSent)
{
  start(6, 2);
  name_rate(2, 0.5);
  play(20s, 45);
  EXPECT_GT(refused_, 700U);
}

TEST_F(RateLimitReplayTest, IsKeptWhileDaemonsDieAndJoin)
{
  for (const std::size_t daemons : {3, 6, 60}) {
    limited_.clear();
    start(daemons, 9);
    name_rate(9, 1.6);
    for (int i = 0; i < 30; ++i) {
      play(700ms, 7.0 * static_cast<double>(daemons));
      const auto n = random_() % daemons;
      daemons_[n]->alive = false;
      play(300ms, 7.0 * static_cast<double>(daemons));
      restart(n);
    }
  }
}

TEST_F(RateLimitReplayTest, IsKeptWhereAllAreKilledAtOnce)
{
  start(60, 9);
  name_rate(9, 1.0);
  play(6s, 300);
  for (std::size_t n = 0; n < 60; ++n) {
    restart(n);
  }
  play(10s, 300);
}

TEST_F(RateLimitReplayTest, IsKeptOnBothSidesOfACutAndAfterIt)
{
  for (const std::size_t side : {1, 3, 5}) {
    limited_.clear();
    start(6, 9);
    name_rate(9, 1.0);
    play(6s, 45);
    hear_each_other_ = [side](std::size_t a, std::size_t b) { return (a < side) == (b < side); };
    play(10s, 45);
    hear_each_other_ = [](std::size_t, std::size_t) { return true; };
    play(6s, 45);
  }
}

TEST_F(RateLimitReplayTest, IsKeptThoughExchangesFail)
{
  loss_ = 0.3;
  start(60, 9);
  name_rate(9, 2.5);
  play(20s, 420);
}

TEST_F(RateLimitReplayTest, ARateThatChangesIsFollowed)
{
  start(6, 9);
  name_rate(9, 4.0);
  play(8s, 60);
  name_rate(9, 1.0);
  for (auto& [id, e] : limited_) {
    for (std::size_t n = 0; n < daemons_.size(); ++n) {
      e.told[n] = now_; // whoever was told of the rate before is bound by the new one
    }
  }
  play(8s, 60);
}

TEST_F(RateLimitReplayTest, AllUseAnEndpointAgainThatNamesNoRateAnyMore)
{
  start(60, 3);
  name_rate(3, 1.0);
  play(8s, 300);
  limited_.clear();
  play(5s, 300);
  refused_ = 0;
  play(5s, 300);
  EXPECT_EQ(refused_, 0U);
}

} // namespace
} // namespace wisteriaflow::relay
