#include <list>
#include <string>
#include <vector>

#include <gtest/gtest.h>

#include "wisteriaflow/gateway/crash_suspects.h"

namespace wisteriaflow::gateway {
namespace {

using namespace std::chrono_literals;

const wall_time start = from_unix_ms(1'796'000'000'000);

content_id content(std::uint64_t n)
{
  return {.hash = {.high = n, .low = n}};
}

const content_id crashing = content(1);
const content_id innocent = content(2);

endpoint_process process(int n)
{
  return {.id = endpoint_id("i-" + std::to_string(n)), .incarnation = 7};
}

endpoint_crash observation(int endpoint, const crash_suspect& c, wall_time at = start,
                           answer_stage stage = answer_stage::not_started)
{
  return {.process = process(endpoint), .at = at, .suspects = {{c, {.stage = stage}}}};
}

// `c` was in flight at `number` endpoints that terminated, from number `first` on.
void crash_endpoints(crash_suspects& suspects, const crash_suspect& c, int number, int first = 1,
                     wall_time at = start)
{
  for (int i = 0; i < number; ++i) {
    suspects.on_crash(observation(first + i, c, at));
  }
}

TEST(CrashSuspectsTest, HoldNothingInitially)
{
  crash_suspects suspects({});
  EXPECT_EQ(suspects.hold_of(crashing), std::nullopt);
  EXPECT_EQ(suspects.digest(), 0U);
}

TEST(CrashSuspectsTest, HoldAContentThatWasInFlightInThreeCrashes)
{
  crash_suspects suspects({});
  crash_endpoints(suspects, crashing, 2);
  EXPECT_EQ(suspects.hold_of(crashing), std::nullopt);
  suspects.on_crash(observation(3, crashing));
  const auto hold = suspects.hold_of(crashing);
  ASSERT_TRUE(hold);
  EXPECT_EQ(hold->crashed, (std::vector{process(1), process(2), process(3)}));
}

TEST(CrashSuspectsTest, CountACrashOnceHoweverManyRequestsHadTheContent)
{
  crash_suspects suspects({});
  for (int i = 0; i < 5; ++i) {
    suspects.on_crash(observation(1, crashing));
  }
  EXPECT_EQ(suspects.times_suspected(crashing), 1U);
}

TEST(CrashSuspectsTest, CountEachProcessOfARestartedEndpoint)
{
  crash_suspects suspects({});
  for (std::uint64_t incarnation = 1; incarnation <= 3; ++incarnation) {
    auto observed = observation(1, crashing);
    observed.process.incarnation = incarnation;
    suspects.on_crash(observed);
  }
  EXPECT_TRUE(suspects.hold_of(crashing));
}

TEST(CrashSuspectsTest, DoNotHoldAContentThatOnlyRanNextToTheCrashingOne)
{
  crash_suspects suspects({});
  crash_endpoints(suspects, crashing, 4);
  crash_endpoints(suspects, innocent, 3);
  EXPECT_TRUE(suspects.hold_of(crashing));
  EXPECT_EQ(suspects.hold_of(innocent), std::nullopt);
}

TEST(CrashSuspectsTest, HoldOnATieTheContentWithoutAnyAnswerEvent)
{
  crash_suspects suspects({});
  for (int i = 1; i <= 3; ++i) {
    suspects.on_crash(observation(i, crashing));
    suspects.on_crash(observation(i, innocent, start, answer_stage::started));
  }
  EXPECT_TRUE(suspects.hold_of(crashing));
  EXPECT_EQ(suspects.hold_of(innocent), std::nullopt);
}

TEST(CrashSuspectsTest, HoldAContentThatCrashesEndpointsDuringItsAnswer)
{
  crash_suspects suspects({});
  for (int i = 1; i <= 3; ++i) {
    suspects.on_crash(observation(i, crashing, start, answer_stage::started));
    suspects.on_crash(observation(i, content(100 + static_cast<std::uint64_t>(i))));
  }
  EXPECT_TRUE(suspects.hold_of(crashing));
}

TEST(CrashSuspectsTest, HoldTwoContentsThatBothCrashEndpoints)
{
  crash_suspects suspects({});
  crash_endpoints(suspects, crashing, 3);
  crash_endpoints(suspects, innocent, 3, 10);
  EXPECT_EQ(suspects.holds().size(), 2U);
}

TEST(CrashSuspectsTest, ClearAContentOnceItIsAnswered)
{
  crash_suspects suspects({});
  crash_endpoints(suspects, crashing, 3);
  EXPECT_TRUE(suspects.on_answered(crashing, start + 1s));
  EXPECT_EQ(suspects.hold_of(crashing), std::nullopt);
  EXPECT_EQ(suspects.times_suspected(crashing), 0U);
}

TEST(CrashSuspectsTest, ReportThatAnAnswerToAnUnsuspectedContentClearsNothing)
{
  crash_suspects suspects({});
  EXPECT_FALSE(suspects.on_answered(crashing, start));
  crash_endpoints(suspects, innocent, 1);
  EXPECT_FALSE(suspects.on_answered(crashing, start));
}

TEST(CrashSuspectsTest, HoldAContentThatCrashesEndpointsAgainAfterItWasAnswered)
{
  crash_suspects suspects({});
  crash_endpoints(suspects, crashing, 3);
  suspects.on_answered(crashing, start + 1s);
  crash_endpoints(suspects, crashing, 3, 10, start + 10s);
  EXPECT_TRUE(suspects.hold_of(crashing));
}

TEST(CrashSuspectsTest, DoNotSuspectAContentThatWasAnsweredSecondsBefore)
{
  crash_suspects suspects({});
  suspects.on_answered(crashing, start - 2s);
  crash_endpoints(suspects, crashing, 3);
  EXPECT_EQ(suspects.hold_of(crashing), std::nullopt);
}

TEST(CrashSuspectsTest, SuspectAContentThatWasAnsweredLongBefore)
{
  crash_suspects suspects({});
  suspects.on_answered(crashing, start - 6s);
  crash_endpoints(suspects, crashing, 3);
  EXPECT_TRUE(suspects.hold_of(crashing));
}

TEST(CrashSuspectsTest, AllowAProbeOneMinuteAfterTheThirdCrash)
{
  crash_suspects suspects({});
  crash_endpoints(suspects, crashing, 2);
  suspects.on_crash(observation(3, crashing, start + 5s));
  EXPECT_EQ(suspects.hold_of(crashing)->probe_at, start + 65s);
}

TEST(CrashSuspectsTest, DoubleTheProbeDelayWithEachFurtherCrash)
{
  crash_suspects suspects({});
  crash_endpoints(suspects, crashing, 4);
  EXPECT_EQ(suspects.hold_of(crashing)->probe_at, start + 120s);
  suspects.on_crash(observation(5, crashing, start + 120s));
  EXPECT_EQ(suspects.hold_of(crashing)->probe_at, start + 120s + 240s);
}

TEST(CrashSuspectsTest, LimitTheProbeDelayToTenMinutes)
{
  crash_suspects suspects({});
  crash_endpoints(suspects, crashing, 20);
  EXPECT_EQ(suspects.hold_of(crashing)->probe_at, start + 600s);
}

TEST(CrashSuspectsTest, HoldAContentUntilItsCrashesExpire)
{
  crash_suspects suspects({});
  crash_endpoints(suspects, crashing, 3);
  suspects.tick(start + 1'199s);
  EXPECT_TRUE(suspects.hold_of(crashing));
  suspects.tick(start + 1'200s);
  EXPECT_FALSE(suspects.hold_of(crashing));
}

TEST(CrashSuspectsTest, RemoveCrashesAfterTwentyMinutes)
{
  crash_suspects suspects({});
  crash_endpoints(suspects, crashing, 3);
  suspects.on_answered(crashing, start);
  suspects.tick(start + 1'199s);
  EXPECT_EQ(suspects.crashes_known(), 3U);
  suspects.tick(start + 1'200s);
  EXPECT_TRUE(suspects.all().empty());
  EXPECT_EQ(suspects.digest(), 0U);
}

TEST(CrashSuspectsTest, KeepTheNewestCrashesWithinTheirBound)
{
  crash_suspects suspects({.max_crashes = 3});
  for (int i = 1; i <= 5; ++i) {
    suspects.on_crash(observation(i, crashing, start + i * 1s));
  }
  EXPECT_EQ(suspects.crashes_known(), 3U);
  EXPECT_EQ(suspects.hold_of(crashing)->crashed, (std::vector{process(3), process(4), process(5)}));
}

TEST(CrashSuspectsTest, KeepTheCrashesThatAHoldDependsOn)
{
  crash_suspects suspects({.max_crashes = 5});
  crash_endpoints(suspects, crashing, 3);
  for (int i = 0; i < 20; ++i) {
    suspects.on_crash(
        observation(100 + i, content(100 + static_cast<std::uint64_t>(i)), start + 1s));
  }
  EXPECT_TRUE(suspects.hold_of(crashing));
  EXPECT_EQ(suspects.crashes_known(), 5U);
}

TEST(CrashSuspectsTest, AreEmptyOnceEverythingHasExpired)
{
  crash_suspects suspects({.max_crashes = 3, .max_contents_per_crash = 3});
  for (int i = 0; i < 40; ++i) {
    const auto c = content(static_cast<std::uint64_t>(i % 7));
    const auto stage = i % 3 == 0 ? answer_stage::started : answer_stage::not_started;
    suspects.on_crash(observation(i % 5, c, start + i * 1ms, stage));
    if (i % 4 == 0) {
      suspects.on_answered(c, start + i * 1ms);
    }
  }
  EXPECT_NE(suspects.digest(), 0U);
  suspects.tick(start + 1'300s);
  EXPECT_EQ(suspects.digest(), 0U);
  EXPECT_TRUE(suspects.all().empty());
}

TEST(CrashSuspectsTest, KeepTheLikeliestOfTooManySuspects)
{
  crash_suspects suspects({.max_contents_per_crash = 2});
  suspects.on_crash(observation(1, content(10), start, answer_stage::started));
  suspects.on_crash(observation(1, content(11), start, answer_stage::started));
  suspects.on_crash(observation(1, crashing));
  const auto all = suspects.all();
  ASSERT_EQ(all.crashes.size(), 1U);
  EXPECT_EQ(all.crashes[0].suspects.size(), 2U);
  EXPECT_TRUE(all.crashes[0].suspects.contains(crashing));
}

TEST(CrashSuspectsTest, MergeTheObservationsOfSeveralDaemons)
{
  crash_suspects one({});
  crash_suspects other({});
  crash_endpoints(one, crashing, 2);
  crash_endpoints(other, crashing, 2, 2); // both observed the crash of the second endpoint
  one.merge(other.recent_changes(start), start);
  EXPECT_TRUE(one.hold_of(crashing));
  EXPECT_EQ(one.times_suspected(crashing), 3U);
}

TEST(CrashSuspectsTest, MergeReportsInAnyOrderToTheSameState)
{
  crash_suspects source({});
  crash_endpoints(source, crashing, 3);
  crash_endpoints(source, innocent, 2);
  const auto first = source.all();
  source.on_answered(innocent, start + 1s);
  const auto second = source.all();
  crash_suspects one({});
  one.merge(first, start + 2s);
  one.merge(second, start + 2s);
  crash_suspects other({});
  other.merge(second, start + 2s);
  other.merge(first, start + 2s);
  other.merge(second, start + 2s);
  EXPECT_EQ(one.all(), other.all());
  EXPECT_EQ(one.digest(), other.digest());
  EXPECT_EQ(one.digest(), source.digest());
}

TEST(CrashSuspectsTest, GossipAChangeForThreeSeconds)
{
  crash_suspects suspects({});
  crash_endpoints(suspects, crashing, 1);
  EXPECT_FALSE(suspects.recent_changes(start + 2'999ms).empty());
  EXPECT_TRUE(suspects.recent_changes(start + 3'000ms).empty());
  EXPECT_FALSE(suspects.all().empty());
}

TEST(CrashSuspectsTest, GossipManyCrashesInRotation)
{
  crash_suspects suspects({.max_gossiped_suspects = 2});
  crash_endpoints(suspects, crashing, 5);
  crash_suspects peer({});
  for (int report = 0; report < 3; ++report) {
    const auto changes = suspects.recent_changes(start);
    EXPECT_EQ(changes.crashes.size(), 2U);
    peer.merge(changes, start);
  }
  EXPECT_EQ(peer.digest(), suspects.digest());
}

TEST(CrashSuspectsTest, GossipChangesReceivedFromPeers)
{
  crash_suspects one({});
  crash_endpoints(one, crashing, 1);
  crash_suspects other({});
  other.merge(one.recent_changes(start), start + 2s);
  EXPECT_FALSE(other.recent_changes(start + 4s).empty());
}

TEST(CrashSuspectsTest, DoNotGossipAgainWhatWasKnown)
{
  crash_suspects one({});
  crash_endpoints(one, crashing, 1);
  one.merge(one.all(), start + 10s);
  EXPECT_TRUE(one.recent_changes(start + 10s).empty());
}

TEST(CrashSuspectsTest, ClearAContentThatAPeerSawAnswered)
{
  crash_suspects one({});
  crash_suspects other({});
  crash_endpoints(one, crashing, 3);
  other.merge(one.recent_changes(start), start);
  other.on_answered(crashing, start + 1s);
  one.merge(other.recent_changes(start + 1s), start + 1s);
  EXPECT_EQ(one.hold_of(crashing), std::nullopt);
}

TEST(CrashSuspectsTest, DoNotExtendACrashBecauseOfAFastClock)
{
  crash_suspects one({});
  crash_endpoints(one, crashing, 3, 1, start + 3'600s);
  crash_suspects other({});
  other.merge(one.all(), start);
  EXPECT_EQ(other.hold_of(crashing)->probe_at, start + 60s);
}

TEST(CrashSuspectsTest, IgnoreExpiredCrashesOfAPeer)
{
  crash_suspects one({});
  crash_endpoints(one, crashing, 3);
  crash_suspects other({});
  other.merge(one.all(), start + 1'200s);
  EXPECT_TRUE(other.all().empty());
}

TEST(CrashSuspectsTest, ReturnTheEvidenceAgainstOneContentOnly)
{
  crash_suspects suspects({});
  crash_endpoints(suspects, crashing, 3);
  crash_endpoints(suspects, innocent, 2);
  const auto evidence = suspects.evidence_of(crashing);
  ASSERT_EQ(evidence.crashes.size(), 3U);
  for (const auto& crash : evidence.crashes) {
    EXPECT_EQ(crash.suspects.size(), 1U);
    EXPECT_TRUE(crash.suspects.contains(crashing));
  }
}

const prompt_part_id guilty_part{0xbad};

// An endpoint terminates while it runs a request with a content of its own and these parts, which
// stand in the prompt in this order.
void crash_endpoint(crash_suspects& suspects, int endpoint,
                    const std::vector<prompt_part_id>& parts, wall_time at = start)
{
  std::vector<prompt_part> prompt;
  prompt.reserve(parts.size() + 1);
  for (const auto& part : parts) {
    prompt.push_back({.id = part.value});
  }
  prompt.push_back({.id = 1'000'000 + static_cast<std::uint64_t>(endpoint)});
  const auto own = content(1'000 + static_cast<std::uint64_t>(endpoint));
  suspects.on_crash({.process = process(endpoint), .at = at, .suspects = suspects_of(own, prompt)});
}

TEST(CrashSuspectsTest, HoldAPartThatThreeDifferentRequestsHadInCommon)
{
  crash_suspects suspects({});
  for (int i = 1; i <= 3; ++i) {
    EXPECT_EQ(suspects.hold_of(guilty_part), std::nullopt);
    crash_endpoint(suspects, i, {guilty_part});
  }
  EXPECT_TRUE(suspects.hold_of(guilty_part));
  EXPECT_EQ(suspects.holds().size(), 1U);
}

TEST(CrashSuspectsTest, HoldTheLaterOfTwoPartsThatAreAlwaysTogether)
{
  crash_suspects suspects({});
  for (int i = 1; i <= 3; ++i) {
    crash_endpoint(suspects, i, {prompt_part_id{1}, guilty_part});
  }
  EXPECT_TRUE(suspects.hold_of(guilty_part));
  EXPECT_FALSE(suspects.hold_of(prompt_part_id{1}));
}

TEST(CrashSuspectsTest, HoldTheEarlierOfTwoPartsOnceItIsMoreOftenPresent)
{
  crash_suspects suspects({});
  for (int i = 1; i <= 3; ++i) {
    crash_endpoint(suspects, i, {guilty_part, prompt_part_id{1}});
  }
  crash_endpoint(suspects, 4, {guilty_part, prompt_part_id{2}});
  EXPECT_TRUE(suspects.hold_of(guilty_part));
  EXPECT_FALSE(suspects.hold_of(prompt_part_id{1}));
}

TEST(CrashSuspectsTest, HoldPartsThatExplainCrashesEquallyWellAfterTheFifth)
{
  crash_suspects suspects({});
  for (int i = 1; i <= 5; ++i) {
    EXPECT_TRUE(suspects.holds().empty()) << i;
    crash_endpoint(suspects, i, {guilty_part});
    crash_endpoint(suspects, i, {prompt_part_id{1}}); // of another request
  }
  EXPECT_EQ(suspects.holds().size(), 2U);
}

TEST(CrashSuspectsTest, DoNotHoldAPartThatWasAnsweredSince)
{
  crash_suspects suspects({});
  for (int i = 1; i <= 5; ++i) {
    crash_endpoint(suspects, i, {prompt_part_id{1}, guilty_part});
    crash_endpoint(suspects, i, {prompt_part_id{2}});
    suspects.on_answered(prompt_part_id{2}, start);
  }
  EXPECT_TRUE(suspects.hold_of(guilty_part));
  EXPECT_FALSE(suspects.hold_of(prompt_part_id{2}));
}

TEST(CrashSuspectsTest, HoldAContentRatherThanItsParts)
{
  crash_suspects suspects({});
  const std::vector<prompt_part> prompt = {{.id = 1}, {.id = 2}};
  for (int i = 1; i <= 3; ++i) {
    suspects.on_crash(
        {.process = process(i), .at = start, .suspects = suspects_of(crashing, prompt)});
  }
  EXPECT_TRUE(suspects.hold_of(crashing));
  EXPECT_EQ(suspects.holds().size(), 1U);
}

TEST(CrashSuspectsTest, ReleaseAContentWhoseCrashesAPartExplainsBetter)
{
  crash_suspects suspects({});
  for (int i = 1; i <= 3; ++i) {
    crash_endpoint(suspects, i, {guilty_part});
    suspects.on_crash(observation(i, innocent)); // sent again after each crash
  }
  EXPECT_TRUE(suspects.hold_of(innocent));
  crash_endpoint(suspects, 4, {guilty_part});
  EXPECT_TRUE(suspects.hold_of(guilty_part));
  EXPECT_FALSE(suspects.hold_of(innocent));
}

TEST(CrashSuspectsTest, DoNotHoldAPartAmongMoreCrashesThatItDoesNotExplain)
{
  crash_suspects suspects({});
  for (int i = 1; i <= 7; ++i) {
    crash_endpoint(suspects, i, {i % 3 == 1 ? guilty_part : prompt_part_id{100U + i}},
                   start + i * 1s);
  }
  EXPECT_TRUE(suspects.holds().empty()); // three of seven crashes
  crash_endpoint(suspects, 8, {guilty_part}, start + 8s);
  EXPECT_TRUE(suspects.hold_of(guilty_part));
}

TEST(CrashSuspectsTest, AllowThreeProbesOfAPartInADay)
{
  crash_suspects suspects({});
  for (int i = 1; i <= 3; ++i) {
    crash_endpoint(suspects, i, {guilty_part});
  }
  int probes = 0;
  for (auto at = start; at < start + 24h; at += 1min) {
    suspects.tick(at);
    const auto hold = suspects.hold_of(guilty_part);
    ASSERT_TRUE(hold);
    if (hold->probe_at <= at) {
      ++probes;
      crash_endpoint(suspects, 10 + probes, {guilty_part}, at);
    }
  }
  EXPECT_EQ(probes, 3);
}

TEST(CrashSuspectsTest, ForgetAHeldPartThatIsNotSentAnyMore)
{
  crash_suspects suspects({});
  for (int i = 1; i <= 3; ++i) {
    crash_endpoint(suspects, i, {guilty_part});
  }
  suspects.tick(start + 600s + 1'199s);
  EXPECT_TRUE(suspects.hold_of(guilty_part));
  suspects.tick(start + 600s + 1'200s);
  EXPECT_FALSE(suspects.hold_of(guilty_part));
  EXPECT_EQ(suspects.digest(), 0U);
}

TEST(CrashSuspectsTest, LearnOfAHeldPartWhoseCrashesAreOld)
{
  crash_suspects one({});
  for (int i = 1; i <= 3; ++i) {
    crash_endpoint(one, i, {guilty_part});
  }
  crash_suspects other({});
  other.merge(one.evidence_of(guilty_part), start + 1'300s);
  EXPECT_TRUE(other.hold_of(guilty_part));
  crash_suspects late({});
  late.merge(one.evidence_of(guilty_part), start + 1'800s);
  EXPECT_TRUE(late.all().empty());
}

// Guards against a part that all prompts share, which is refused everywhere after endpoints ended
// while none answered.
TEST(CrashSuspectsTest, DoNotHoldAPartThatTheEndedProcessesHadAnswered)
{
  crash_suspects suspects({});
  for (int i = 1; i <= 6; ++i) {
    suspects.on_answered(prompt_part_id{1}, start);
    suspects.on_answered_by(process(i), prompt_part_id{1});
  }
  for (int i = 1; i <= 6; ++i) {
    crash_endpoint(suspects, i, {prompt_part_id{1}}, start + 1min);
  }
  EXPECT_FALSE(suspects.hold_of(prompt_part_id{1}));
}

TEST(CrashSuspectsTest, HoldAPartThatProcessesHaveNotAnsweredSinceTheirStart)
{
  crash_suspects suspects({});
  suspects.on_answered_by(process(1), guilty_part); // its fault came with a later version
  for (int i = 1; i <= 4; ++i) {
    crash_endpoint(suspects, i, {guilty_part}, start + 1min);
  }
  EXPECT_TRUE(suspects.hold_of(guilty_part));
  EXPECT_EQ(suspects.hold_of(guilty_part)->crashed.size(), 3U);
}

TEST(CrashSuspectsTest, LearnThatAPartIsRefutedWhicheverReportComesFirst)
{
  crash_suspects one({});
  crash_suspects other({});
  for (int i = 1; i <= 3; ++i) {
    one.on_answered_by(process(i), prompt_part_id{1});
    crash_endpoint(other, i, {prompt_part_id{1}});
  }
  EXPECT_TRUE(other.hold_of(prompt_part_id{1}));
  one.merge(other.all(), start);
  EXPECT_FALSE(one.hold_of(prompt_part_id{1}));
  other.merge(one.recent_changes(start), start);
  EXPECT_FALSE(other.hold_of(prompt_part_id{1}));
  EXPECT_EQ(one.digest(), other.digest());
}

// Guards against a daemon that has just started and holds what its peers know to be innocent.
TEST(CrashSuspectsTest, GossipACrashWithTheAnswersThatClearItsSuspects)
{
  crash_suspects one({});
  for (int i = 1; i <= 3; ++i) {
    crash_endpoint(one, i, {prompt_part_id{1}});
  }
  one.on_answered(prompt_part_id{1}, start + 1s);
  crash_suspects late({});
  for (int i = 1; i <= 3; ++i) { // reports of another daemon arrive later than the answer's
    one.merge({.crashes = {observation(i, content(2'000 + static_cast<std::uint64_t>(i)))}},
              start + 5s);
  }
  late.merge(one.recent_changes(start + 5s), start + 5s);
  EXPECT_EQ(late.crashes_known(), 3U);
  EXPECT_FALSE(late.hold_of(prompt_part_id{1}));
}

TEST(CrashSuspectsTest, GossipNoAnswerThatClearsNothing)
{
  crash_suspects suspects({});
  crash_endpoint(suspects, 1, {prompt_part_id{1}});
  EXPECT_TRUE(suspects.on_answered(prompt_part_id{1}, start + 1s));
  const auto digest = suspects.digest();
  EXPECT_FALSE(suspects.on_answered(prompt_part_id{1}, start + 2s));
  EXPECT_EQ(suspects.digest(), digest);
}

// Guards against a content that many callers send and that is refused because it was under way
// wherever endpoints ended.
class HotContentSuspectTest : public testing::Test {
 protected:
  static constexpr answer_progress at_crash{.position = 20, .time = 2s};
  static constexpr answer_progress further{.position = 25, .time = 2'500ms};

  static endpoint_crash crash_at(int endpoint, const answer_progress& progress,
                                 wall_time at = start)
  {
    return {.process = process(endpoint),
            .at = at,
            .suspects = {{crashing, {.stage = answer_stage::started, .progress = progress}}}};
  }

  static void crash_three(crash_suspects& suspects, const answer_progress& progress = at_crash)
  {
    for (int i = 1; i <= 3; ++i) {
      suspects.on_crash(crash_at(i, progress));
    }
  }

  // A request with the content that runs at an endpoint.
  void run(int endpoint, const answer_progress& progress, wall_time sent_at = start - 3s)
  {
    entries_.emplace_back(
        running_, crashing,
        running_answer{.by = process(endpoint), .sent_at = sent_at, .progress = progress});
  }

  running_answers running_;
  std::list<running_answers::entry> entries_;
};

TEST_F(HotContentSuspectTest, IsNotHeldIfItHasComeFurtherElsewhere)
{
  crash_suspects suspects({});
  crash_three(suspects);
  EXPECT_TRUE(suspects.hold_of(crashing));
  run(9, further);
  EXPECT_EQ(suspects.on_running(running_, start), std::vector{crashing});
  EXPECT_FALSE(suspects.hold_of(crashing));
  EXPECT_FALSE(suspects.can_be_held(crashing));
}

TEST_F(HotContentSuspectTest, IsHeldWhileItHasNotComeFurtherElsewhere)
{
  crash_suspects suspects({});
  crash_three(suspects);
  run(9, at_crash);
  suspects.on_running(running_, start);
  EXPECT_TRUE(suspects.hold_of(crashing));
}

TEST_F(HotContentSuspectTest, IsContestedIfItRanElsewhereAtTheCrash)
{
  crash_suspects suspects({});
  crash_three(suspects);
  EXPECT_FALSE(suspects.hold_of(crashing)->is_contested);
  run(9, {});
  EXPECT_EQ(suspects.on_running(running_, start), std::vector{crashing});
  EXPECT_TRUE(suspects.hold_of(crashing)->is_contested);
  EXPECT_TRUE(suspects.on_running(running_, start).empty()); // told once
}

TEST_F(HotContentSuspectTest, IsNotContestedByARepeatAfterTheCrash)
{
  crash_suspects suspects({});
  crash_three(suspects);
  run(9, {}, start);
  EXPECT_TRUE(suspects.on_running(running_, start).empty());
  EXPECT_FALSE(suspects.hold_of(crashing)->is_contested);
}

TEST_F(HotContentSuspectTest, IsNotClearedByARequestThatEndedWithItsEndpoint)
{
  crash_suspects suspects({});
  crash_three(suspects);
  run(2, further); // not yet known to have ended
  EXPECT_TRUE(suspects.on_running(running_, start).empty());
  EXPECT_TRUE(suspects.hold_of(crashing));
}

TEST_F(HotContentSuspectTest, IsJudgedByTheFurthestRequestAtTheCrashedEndpoint)
{
  crash_suspects one({});
  crash_suspects other({});
  crash_three(one);
  run(9, further);
  one.on_running(running_, start);
  crash_three(other, {.position = 60, .time = 6s}); // of other callers
  one.merge(other.all(), start);
  EXPECT_TRUE(one.hold_of(crashing));
}

TEST_F(HotContentSuspectTest, IsClearedInAllDaemonsWhateverTheOrderOfReports)
{
  crash_suspects one({});
  crash_three(one);
  const auto early = one.all();
  run(9, further);
  one.on_running(running_, start);
  const auto late = one.recent_changes(start + 1s);
  crash_suspects other({});
  other.merge(late, start + 1s);
  other.merge(early, start + 1s);
  other.merge(late, start + 1s);
  EXPECT_FALSE(other.hold_of(crashing));
  EXPECT_EQ(one.digest(), other.digest());
}

TEST_F(HotContentSuspectTest, IsToldAgainWhenItIsClearedLongAfterTheCrash)
{
  crash_suspects suspects({});
  crash_three(suspects);
  run(9, further);
  suspects.on_running(running_, start + 10s);
  EXPECT_FALSE(suspects.recent_changes(start + 12s).empty());
}

TEST_F(HotContentSuspectTest, IsNotHeldForCrashesThatItOutranAtAnother)
{
  crash_suspects suspects({});
  suspects.on_crash(crash_at(1, {.position = 5, .time = 500ms}));
  suspects.on_crash(crash_at(2, {.position = 12, .time = 1'200ms}));
  suspects.on_crash(crash_at(3, at_crash));
  EXPECT_FALSE(suspects.hold_of(crashing));
}

TEST_F(HotContentSuspectTest, IsHeldForCrashesAtOnePointOfItsAnswer)
{
  crash_suspects suspects({});
  suspects.on_crash(crash_at(1, {.position = 20, .time = 1'900ms}));
  suspects.on_crash(crash_at(2, {.position = 19, .time = 3'500ms})); // a slower endpoint
  suspects.on_crash(crash_at(3, at_crash));
  EXPECT_TRUE(suspects.hold_of(crashing));
}

TEST_F(HotContentSuspectTest, IsHeldForAFaultThatBeganLater)
{
  crash_suspects suspects({});
  suspects.on_crash(crash_at(1, at_crash));
  for (int i = 2; i <= 4; ++i) {
    suspects.on_crash(crash_at(i, {}, start + 6s));
  }
  EXPECT_TRUE(suspects.hold_of(crashing));
}

} // namespace
} // namespace wisteriaflow::gateway
