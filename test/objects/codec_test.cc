#include <gtest/gtest.h>

#include "objects/test_documents.h"
#include "wisteriaflow/objects/codec.h"

namespace wisteriaflow::objects {
namespace {

declared_object decode(const boost::json::value& source)
{
  return std::get<declared_object>(decode_object(source));
}

struct malformed_case {
  std::string kind;
  std::string spec;
  std::string field;
  std::string value;
};

class codec_error_test : public testing::TestWithParam<malformed_case> {};
using CodecErrorTest = codec_error_test; // NOLINT(readability-identifier-naming)

TEST_P(CodecErrorTest, ReportsObjectFieldAndValue)
{
  const auto& expected = GetParam();
  try {
    (void)decode_object(document(expected.kind, "it", 1, expected.spec));
    FAIL() << "accepted " << expected.spec;
  } catch (const invalid_object_error& e) {
    EXPECT_EQ(e.violation().kind, expected.kind);
    EXPECT_EQ(e.violation().name, "it");
    EXPECT_EQ(e.violation().field, expected.field);
    EXPECT_EQ(e.violation().value, expected.value);
    EXPECT_FALSE(e.violation().allowed.empty());
  }
}

INSTANTIATE_TEST_SUITE_P(
    Malformed, CodecErrorTest,
    testing::Values(
        malformed_case{"Workspace", R"({"weight":1})", "spec.weight", "1"},
        malformed_case{"Workspace", R"({"share_weight":0})", "spec.share_weight", "0"},
        malformed_case{"Workspace", R"({"share_weight":"1"})", "spec.share_weight", R"("1")"},
        malformed_case{"Workspace", R"({"max_tokens_in_flight":1.5})", "spec.max_tokens_in_flight",
                       "1.5E0"},
        malformed_case{"Workspace", R"({"priority":{"min":9,"max":3}})", "spec.priority.max", "3"},
        malformed_case{"Workspace", R"({"priority":{"top":3}})", "spec.priority.top", "3"},
        malformed_case{"Workspace", "[]", "spec", "[]"},
        malformed_case{"Pool", R"({"role":"engine"})", "spec.model", "(absent)"},
        malformed_case{"Pool", R"({"role":"tea"})", "spec.role", R"("tea")"},
        malformed_case{"Pool", R"({"model":"m","availability_zones":[""]})",
                       "spec.availability_zones", R"([""])"},
        malformed_case{"Pool", R"({"model":"m","instance_selector":"a in x"})",
                       "spec.instance_selector", R"("a in x")"},
        malformed_case{"Pool", R"({"model":"m","min_instances":5,"max_instances":4})",
                       "spec.max_instances", "4"},
        malformed_case{"ModelVersion", R"({"model":"m"})", "spec.version", "(absent)"},
        malformed_case{
            "ModelVersion",
            R"({"model":"m","version":"1","rates":{"l":{"decode_tokens_per_second":-1}}})",
            "spec.rates.l.decode_tokens_per_second", "-1"},
        malformed_case{"RoutingIntent", R"({"pool":"p","priority":101})", "spec.priority", "101"},
        malformed_case{"Service", R"({"timeout_ms":0})", "spec.timeout_ms", "0"}));

class codec_round_trip_test : public testing::TestWithParam<declared_object> {};
using CodecRoundTripTest = codec_round_trip_test; // NOLINT(readability-identifier-naming)

TEST_P(CodecRoundTripTest, DecodesWhatItEncoded)
{
  EXPECT_EQ(decode(encode_object(GetParam())), GetParam());
}

const object_metadata metadata{
    .name = "it", .labels = {{"a", "b"}}, .annotations = {{"why", "x"}}, .revision = 7};

INSTANTIATE_TEST_SUITE_P(
    Kinds, CodecRoundTripTest,
    testing::Values(workspace{.metadata = metadata,
                              .share_weight = 2.5,
                              .requests_per_second = 10,
                              .tokens_per_second = 0.5,
                              .max_tokens_in_flight = 4096,
                              .priority = {10, 20}},
                    pool{.metadata = metadata,
                         .instance_selector = parse_selector("class in (l,m)"),
                         .model = model_id("m"),
                         .latency_targets = {540, 30},
                         .min_instances = 1,
                         .max_instances = 9,
                         .availability_zones = {availability_zone("akl-1")},
                         .instance_classes = {"l"},
                         .max_reclaimable_share = 0.58,
                         .headroom = 0.1},
                    model_version{.metadata = metadata,
                                  .model = model_id("m"),
                                  .version = "3",
                                  .adapter = "notices",
                                  .weights_bytes = 1'000'000'000,
                                  .rates = {{"l", {4000, 60}}},
                                  .retired = true},
                    routing_intent{.metadata = metadata,
                                   .workspace_selector = parse_selector("tier=gold"),
                                   .request_selector = parse_selector("!batch"),
                                   .instance_selector = parse_selector("class!=s"),
                                   .model = model_id("m"),
                                   .pool = "p",
                                   .priority = 90,
                                   .batch = true,
                                   .weight = 3,
                                   .price_preference = price_preference::cost},
                    service{
                        .metadata = metadata, .idempotent_methods = {"GET"}, .timeout_ms = 500}));

TEST(CodecTest, DecodesAnUnknownKindAsUnsupported)
{
  const auto decoded = decode_object(document("Teapot", "it", 4, R"({"anything":1})"));
  EXPECT_EQ(std::get<unsupported_object>(decoded).reason, "unknown kind Teapot");
}

TEST(CodecTest, DecodesANewerSchemaAsUnsupported)
{
  const auto decoded = decode_object(document("Pool", "it", 4, R"({"schema":2,"new_field":1})"));
  EXPECT_EQ(std::get<unsupported_object>(decoded).reason, "unknown schema 2");
}

TEST(CodecTest, RejectsADocumentWithoutAValidName)
{
  EXPECT_THROW(decode_object({{"kind", "Pool"}}), invalid_object_error);
  EXPECT_THROW(decode_object(document("Pool", "Upper", 1)), invalid_object_error);
  EXPECT_THROW(decode_object(nullptr), invalid_object_error);
}

} // namespace
} // namespace wisteriaflow::objects
