// An in-memory object store with the operations that a shard's owner uses.

#ifndef WISTERIAFLOW_TEST_CLAIMS_FAKE_CLAIM_STORE_H_
#define WISTERIAFLOW_TEST_CLAIMS_FAKE_CLAIM_STORE_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include <boost/json/serialize.hpp>

#include "wisteriaflow/claims/owner_events.h"
#include "wisteriaflow/claims/tail_codec.h"

namespace wisteriaflow::claims {

class fake_claim_store {
 public:
  // Disables the version check: updates succeed whatever the version is.
  bool unconditional_writes = false;

  // Calls and bytes received, for the benchmark.
  std::uint64_t writes = 0;
  std::uint64_t reads = 0;
  std::uint64_t bytes_written = 0;

  // Carries out a call, as the real store does when the call reaches it.
  store_result apply(const store_call& call)
  {
    return std::visit([&](const auto& op) { return apply_one(call.shard, op); }, call.operation);
  }

  [[nodiscard]] std::optional<shard_tail> tail(std::uint32_t shard) const
  {
    const auto it = objects_.find(tail_name(shard));
    return it == objects_.end() ? std::nullopt : std::optional(decode_tail(it->second.document));
  }

  [[nodiscard]] std::size_t segments() const { return segments_.size(); }
  [[nodiscard]] bool has_segment(std::uint32_t shard, const segment_id& id) const
  {
    return segments_.contains(segment_name(shard, id));
  }
  void erase_segment(std::uint32_t shard, const segment_id& id)
  {
    segments_.erase(segment_name(shard, id));
  }

 private:
  struct object {
    std::uint64_t version = 0;
    boost::json::value document;
  };

  store_result apply_one(std::uint32_t shard, const read_tail& /*op*/)
  {
    ++reads;
    const auto it = objects_.find(tail_name(shard));
    if (it == objects_.end()) {
      return tail_value{};
    }
    return tail_value{.version = it->second.version, .tail = decode_tail(it->second.document)};
  }

  store_result apply_one(std::uint32_t shard, const update_tail& op)
  {
    auto& object = objects_[tail_name(shard)];
    if (!unconditional_writes && object.version != op.expected_version) {
      return conflict{};
    }
    object = {.version = ++version_, .document = written_document(encode_tail(op.tail))};
    return written{.version = object.version};
  }

  store_result apply_one(std::uint32_t shard, const read_segment& op)
  {
    ++reads;
    const auto it = segments_.find(segment_name(shard, op.id));
    if (it == segments_.end()) {
      return missing{};
    }
    return segment_value{.segment = decode_segment(it->second)};
  }

  store_result apply_one(std::uint32_t shard, const create_segment& op)
  {
    const auto name = segment_name(shard, op.segment.id);
    if (segments_.contains(name)) {
      return conflict{};
    }
    segments_[name] = written_document(encode_segment(op.segment));
    return written{.version = ++version_};
  }

  store_result apply_one(std::uint32_t shard, const delete_segment& op)
  {
    ++writes;
    segments_.erase(segment_name(shard, op.id));
    return written{.version = ++version_};
  }

  boost::json::value written_document(boost::json::value document)
  {
    ++writes;
    bytes_written += boost::json::serialize(document).size();
    return document;
  }

  std::uint64_t version_ = 0;
  std::map<std::string, object> objects_;
  std::map<std::string, boost::json::value> segments_;
};

} // namespace wisteriaflow::claims

#endif // WISTERIAFLOW_TEST_CLAIMS_FAKE_CLAIM_STORE_H_
