#include <exception>

#include "platform/operator_fixture.h"
#include "wisteriaflow/objects/codec.h"
#include "wisteriaflow/platform/operator_commands.h"

namespace wisteriaflow::platform {
namespace {

boost::json::value parse_document(std::string_view text)
{
  return parse_documents(text).at(0);
}

std::string labels_text(const stored_object& object)
{
  return to_string(objects::decode_metadata(object.document).labels);
}

const std::string model_pool_and_intent = R"(
  {"kind":"RoutingIntent","metadata":{"name":"i"},"spec":{"pool":"p"}}
  {"kind":"Pool","metadata":{"name":"p"},"spec":{"model":"m"}}
  {"kind":"ModelVersion","metadata":{"name":"m-1"},"spec":{"model":"m","version":"1"}})";

class operator_commands_test : public object_api_fixture {
 protected:
  // Runs the label edits of two operators concurrently; returns how many ended in a conflict.
  int race(std::vector<label_edit> one, std::vector<label_edit> other)
  {
    auto mere = commands_of("mere");
    auto huong = commands_of("huong");
    int ended = 0;
    int conflicts = 0;
    const auto record_result = [&](std::exception_ptr e, changed_object) {
      ++ended;
      try {
        if (e) {
          std::rethrow_exception(e);
        }
      } catch (const conflict_error&) {
        ++conflicts;
      }
    };
    const object_reference target{.kind = "Workspace", .name = "w"};
    boost::asio::co_spawn(context_, mere.label(target, std::move(one), {}), record_result);
    boost::asio::co_spawn(context_, huong.label(target, std::move(other), {}), record_result);
    fakes::run_until(context_, [&] { return ended == 2; });
    return conflicts;
  }

  operator_commands commands_ = commands_of("mere");
};
using OperatorCommandsTest = operator_commands_test; // NOLINT(readability-identifier-naming)

TEST_F(OperatorCommandsTest, AppliesInTheOrderOfReferences)
{
  const auto results = await(commands_.apply(parse_documents(model_pool_and_intent)));
  ASSERT_EQ(results.size(), 3U);
  EXPECT_EQ(results[0].name, "m-1");
  EXPECT_EQ(results[1].name, "p");
  EXPECT_EQ(results[2].name, "i");
}

TEST_F(OperatorCommandsTest, ApplyingAgainChangesNothing)
{
  await(commands_.apply(parse_documents(model_pool_and_intent)));
  const auto version = fake_.version();
  for (const auto& result : await(commands_.apply(parse_documents(model_pool_and_intent)))) {
    EXPECT_EQ(result.result, change_result::unchanged) << result.name;
  }
  EXPECT_EQ(fake_.version(), version);
}

TEST_F(OperatorCommandsTest, WritesNothingIfTheConfigurationWouldBeInvalid)
{
  const auto documents = parse_documents(
      R"([{"kind":"Workspace","metadata":{"name":"w"}},
          {"kind":"Pool","metadata":{"name":"p"},"spec":{"model":"none"}}])");
  EXPECT_THROW(await(commands_.apply(documents)), invalid_input_error);
  EXPECT_EQ(fake_.version(), 0U);
}

TEST_F(OperatorCommandsTest, KeepsExistingLabelsWhenItApplies)
{
  given_workspace("w", R"({"kept":"1","tier":"gold"})");
  await(commands_.apply({parse_document(
      R"({"kind":"Workspace","metadata":{"name":"w","labels":{"tier":"silver"}}})")}));
  EXPECT_EQ(labels_text(stored("w")), "kept=1,tier=silver");
}

TEST_F(OperatorCommandsTest, AppliesADocumentWithARevisionOnlyToThat)
{
  given_workspace("w");
  const auto wanted =
      parse_document(R"({"kind":"Workspace","metadata":{"name":"w","resourceVersion":"9"},
                                 "spec":{"share_weight":2}})");
  EXPECT_THROW(await(commands_.apply({wanted})), conflict_error);
}

TEST_F(OperatorCommandsTest, RejectsANameThatAnotherKindHas)
{
  given_workspace("w");
  EXPECT_THROW(
      await(commands_.apply({parse_document(R"({"kind":"Service","metadata":{"name":"w"}})")})),
      invalid_input_error);
}

TEST_F(OperatorCommandsTest, RecordsAuthorAndCause)
{
  given_workspace("w");
  await(commands_.label({"Workspace", "w"}, {{"tier", "gold"}}, {}));
  const auto document = stored("w").document;
  EXPECT_EQ(annotation_of(document, objects::changed_by_annotation), "mere");
  EXPECT_EQ(annotation_of(document, objects::cause_annotation), "test");
}

TEST_F(OperatorCommandsTest, ConcurrentEditsOfDifferentKeysBothSucceed)
{
  given_workspace("w");
  EXPECT_EQ(race({{"a", "1"}}, {{"b", "2"}}), 0);
  EXPECT_EQ(labels_text(stored("w")), "a=1,b=2");
}

TEST_F(OperatorCommandsTest, OneOfTwoConcurrentEditsOfOneKeyConflicts)
{
  given_workspace("w");
  EXPECT_EQ(race({{"a", "1"}}, {{"a", "2"}}), 1);
}

TEST_F(OperatorCommandsTest, AnOutdatedExpectedRevisionIsAConflict)
{
  const auto version = given_workspace("w");
  const object_reference target{"Workspace", "w"};
  await(commands_.label(target, {{"a", "1"}}, version));
  EXPECT_THROW(await(commands_.label(target, {{"a", "2"}}, version)), conflict_error);
  await(commands_.label(target, {{"a", "2"}}, stored("w").version));
  EXPECT_EQ(labels_text(stored("w")), "a=2");
}

TEST_F(OperatorCommandsTest, AnUnansweredWriteIsResolvedByReadingBack)
{
  given_workspace("w");
  const auto before = fake_.version();
  set_faults(R"({"lose_answers":1})");
  const auto result = await(commands_.label({"Workspace", "w"}, {{"a", "1"}}, {}));
  EXPECT_EQ(result.result, change_result::changed);
  EXPECT_EQ(fake_.counts().answers_lost, 1U);
  EXPECT_EQ(fake_.version(), before + 1) << "the write was made twice";
}

TEST_F(OperatorCommandsTest, AnUnansweredCreationIsResolvedByReadingBack)
{
  set_faults(R"({"lose_answers":1})");
  const auto results =
      await(commands_.apply({parse_document(R"({"kind":"Workspace","metadata":{"name":"w"}})")}));
  EXPECT_EQ(results.at(0).result, change_result::created);
  EXPECT_EQ(fake_.version(), 1U);
}

TEST_F(OperatorCommandsTest, AnUnansweredWriteDuringStaleReadsIsNeverMadeTwice)
{
  given_workspace("w");
  const auto before = fake_.version();
  set_faults(R"({"lose_answers":1,"stale_for_ms":200})");
  await(commands_.label({"Workspace", "w"}, {{"a", "1"}}, {}));
  EXPECT_EQ(fake_.version(), before + 1);
  EXPECT_EQ(labels_text(stored("w")), "a=1");
}

TEST_F(OperatorCommandsTest, AnOutageEndsAtTheDeadline)
{
  set_faults(R"({"outage":"refuse"})");
  operator_commands impatient(
      api_, {.deadline = std::chrono::steady_clock::now() + std::chrono::milliseconds(100)});
  EXPECT_THROW(await(impatient.get("", "")), platform_unavailable);
}

TEST_F(OperatorCommandsTest, DeletesOnlyWhatNothingRefersTo)
{
  await(commands_.apply(parse_documents(model_pool_and_intent)));
  EXPECT_THROW(await(commands_.remove({"Pool", "p"}, {})), invalid_input_error);
  await(commands_.remove({"RoutingIntent", "i"}, {}));
  await(commands_.remove({"Pool", "p"}, {}));
  EXPECT_THROW(stored("p"), not_found_error);
}

TEST_F(OperatorCommandsTest, GetsByKindAndName)
{
  await(commands_.apply(parse_documents(model_pool_and_intent)));
  EXPECT_EQ(await(commands_.get("", "")).size(), 3U);
  EXPECT_EQ(await(commands_.get("Pool", "")).size(), 1U);
  EXPECT_EQ(await(commands_.get("Pool", "p")).size(), 1U);
  EXPECT_THROW(await(commands_.get("Workspace", "p")), not_found_error);
}

TEST_F(OperatorCommandsTest, SortsTheAuditTrailByTimeAndListsUnreadableRecords)
{
  const auto add = [&](std::int64_t when, std::uint64_t revision, const std::string& name) {
    const auto record = objects::encode_audit_record({.who = "mere",
                                                      .when = from_unix_ms(when),
                                                      .plural = "declarations",
                                                      .object_kind = "Pool",
                                                      .object_name = name,
                                                      .new_revision = revision});
    await(api_.create("auditrecords", record, fakes::far_deadline()));
  };
  add(2000, 2, "p");
  add(1000, 1, "p");
  add(1500, 3, "q");
  await(api_.create("auditrecords", make_document("AuditRecord", "odd", nullptr),
                    fakes::far_deadline()));
  const auto all = await(commands_.audit(""));
  ASSERT_EQ(all.records.size(), 3U);
  EXPECT_EQ(all.records.front().new_revision, 1U);
  EXPECT_EQ(all.unreadable, std::vector<std::string>{"odd"});
  EXPECT_EQ(await(commands_.audit("q")).records.size(), 1U);
}

TEST(OperatorInputTest, ParsesOneManyOrAList)
{
  EXPECT_EQ(parse_documents(R"({"kind":"A"})").size(), 1U);
  EXPECT_EQ(parse_documents(R"({"kind":"A"} {"kind":"B"})").size(), 2U);
  EXPECT_EQ(parse_documents(R"([{"kind":"A"},{"kind":"B"}])").size(), 2U);
  EXPECT_EQ(parse_documents(R"({"kind":"List","items":[{"kind":"A"}]})").size(), 1U);
}

TEST(OperatorInputTest, RejectsInvalidJson)
{
  for (const auto* text : {"", "{", "{} x", "kind: Pool"}) {
    EXPECT_THROW((void)parse_documents(text), invalid_input_error) << text;
  }
}

TEST(OperatorInputTest, AcceptsKindsAsOperatorsTypeThem)
{
  EXPECT_EQ(canonical_kind("pools"), "Pool");
  EXPECT_EQ(canonical_kind("routing_intent"), "RoutingIntent");
  EXPECT_EQ(canonical_kind("ModelVersion"), "ModelVersion");
  EXPECT_THROW((void)canonical_kind("teapot"), invalid_input_error);
}

} // namespace
} // namespace wisteriaflow::platform
