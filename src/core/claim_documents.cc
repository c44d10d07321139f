#include "core/claim_documents.h"

#include <string>
#include <utility>

#include <boost/json/object.hpp>

#include "wisteriaflow/claims/errors.h"
#include "wisteriaflow/claims/shard_tail.h"
#include "wisteriaflow/claims/tail_codec.h"

namespace wisteriaflow::core::internal {
namespace {

const std::string tails = "claimtails";
const std::string segments = "claimsegments";

boost::json::value make_document(std::string_view kind, const std::string& name,
                                 boost::json::value spec, std::uint64_t version = 0)
{
  boost::json::object metadata{{"name", name}};
  if (version != 0) {
    metadata["resourceVersion"] = std::to_string(version);
  }
  return boost::json::object{{"apiVersion", "wisteriaflow.dev/v1"},
                             {"kind", kind},
                             {"metadata", std::move(metadata)},
                             {"spec", std::move(spec)}};
}

struct to_operation {
  std::uint32_t shard;

  store_operation operator()(const claims::read_tail& /*o*/) const
  {
    return store_get{.plural = tails, .name = claims::tail_name(shard)};
  }
  store_operation operator()(const claims::update_tail& o) const
  {
    auto document = make_document("ClaimTail", claims::tail_name(shard),
                                  claims::encode_tail(o.tail), o.expected_version);
    if (o.expected_version == 0) {
      return store_create{.plural = tails, .document = std::move(document)};
    }
    return store_replace{.plural = tails, .document = std::move(document)};
  }
  store_operation operator()(const claims::read_segment& o) const
  {
    return store_get{.plural = segments, .name = claims::segment_name(shard, o.id)};
  }
  store_operation operator()(const claims::create_segment& o) const
  {
    return store_create{.plural = segments,
                        .document =
                            make_document("ClaimSegment", claims::segment_name(shard, o.segment.id),
                                          claims::encode_segment(o.segment))};
  }
  store_operation operator()(const claims::delete_segment& o) const
  {
    return store_remove{.plural = segments, .name = claims::segment_name(shard, o.id)};
  }
};

const boost::json::value& spec_of(const store_answer& answer)
{
  return answer.objects.front().document.as_object().at("spec");
}

claims::store_result read_result(const store_answer& answer, bool is_tail)
{
  if (answer.status == store_status::not_found) {
    return is_tail ? claims::store_result(claims::tail_value{}) : claims::missing{};
  }
  if (answer.status != store_status::ok) {
    return claims::unavailable{};
  }
  if (is_tail) {
    return claims::tail_value{.version = answer.objects.front().version,
                              .tail = claims::decode_tail(spec_of(answer))};
  }
  return claims::segment_value{claims::decode_segment(spec_of(answer))};
}

claims::store_result write_result(const store_answer& answer)
{
  switch (answer.status) {
  case store_status::ok:
    return claims::written{answer.objects.empty() ? 0 : answer.objects.front().version};
  case store_status::conflict:
  case store_status::not_found:
    return claims::conflict{};
  case store_status::rejected:
  case store_status::not_sent:
    return claims::unavailable{};
  case store_status::unavailable:
    return claims::unanswered{};
  }
  return claims::unanswered{};
}

} // namespace

store_operation to_store_operation(std::uint32_t shard, const claims::store_operation& operation)
{
  return std::visit(to_operation{shard}, operation);
}

std::optional<claims::store_result> to_claim_result(const claims::store_operation& operation,
                                                    const store_answer& answer)
{
  const bool reads_tail = std::holds_alternative<claims::read_tail>(operation);
  const bool reads_segment = std::holds_alternative<claims::read_segment>(operation);
  if (!reads_tail && !reads_segment) {
    return write_result(answer);
  }
  try {
    return read_result(answer, reads_tail);
  } catch (const claims::malformed_document_error&) {
    return std::nullopt;
  } catch (const std::exception&) { // thrown by Boost.JSON for a document without a spec
    return std::nullopt;
  }
}

} // namespace wisteriaflow::core::internal
