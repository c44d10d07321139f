#include <gtest/gtest.h>

#include "objects/test_documents.h"
#include "wisteriaflow/objects/audit_record.h"
#include "wisteriaflow/objects/errors.h"

namespace wisteriaflow::objects {
namespace {

const audit_record record{.who = "mere",
                          .when = from_unix_ms(1'796'223'845'678),
                          .plural = "declarations",
                          .object_kind = "Pool",
                          .object_name = "switching",
                          .old_revision = 4,
                          .new_revision = 9,
                          .change = audit_change::modified,
                          .cause = "more headroom",
                          .detail = "spec"};

TEST(AuditRecordTest, DecodesWhatItEncoded)
{
  EXPECT_EQ(decode_audit_record(encode_audit_record(record)), record);
}

TEST(AuditRecordTest, IsNamedAfterTheChangedObjectAndRevision)
{
  EXPECT_EQ(name_of(record), "declarations.switching.9");
}

TEST(AuditRecordTest, WritesTimesInUtcWithMilliseconds)
{
  EXPECT_EQ(to_rfc3339(from_unix_ms(951'782'400'007)), "2000-02-29T00:00:00.007Z");
  EXPECT_EQ(parse_rfc3339("2000-02-29T00:00:00.007Z"), from_unix_ms(951'782'400'007));
}

TEST(AuditRecordTest, RejectsMalformedTimes)
{
  for (const auto* text : {"", "2001-02-29T00:00:00.000Z", "2001-02-28T24:00:00.000Z",
                           "2001-02-28 00:00:00.000Z", "2001-02-28T00:00:00Z"}) {
    EXPECT_THROW((void)parse_rfc3339(text), objects_error) << text;
  }
}

TEST(AuditRecordTest, TakesAuthorAndCauseFromTheAnnotations)
{
  auto changed_document = document("Pool", "switching", 9);
  changed_document.at("metadata").as_object()["annotations"] = {
      {changed_by_annotation, "mere"}, {cause_annotation, "more headroom"}};
  const auto created = make_audit_record(
      changed_document, {.change = audit_change::modified, .old_revision = 4, .new_revision = 9},
      record.when);
  EXPECT_EQ(created.who, "mere");
  EXPECT_EQ(created.cause, "more headroom");
  EXPECT_EQ(name_of(created), name_of(record));
}

} // namespace
} // namespace wisteriaflow::objects
