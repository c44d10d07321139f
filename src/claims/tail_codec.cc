#include "wisteriaflow/claims/tail_codec.h"

#include <algorithm>
#include <array>
#include <cstddef>
#include <string>
#include <string_view>

#include <absl/strings/escaping.h>
#include <boost/endian/conversion.hpp>
#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/value_to.hpp>

#include "wisteriaflow/claims/errors.h"

namespace wisteriaflow::claims {
namespace {

// Appends little-endian integers to a string.
class packer {
 public:
  template <typename integer> void put(integer value)
  {
    std::array<unsigned char, sizeof(integer)> buf{};
    boost::endian::endian_store<integer, sizeof(integer), boost::endian::order::little>(buf.data(),
                                                                                        value);
    bytes_.append(buf.begin(), buf.end());
  }

  [[nodiscard]] std::string base64() const { return absl::Base64Escape(bytes_); }

 private:
  std::string bytes_;
};

// Reads little-endian integers from a base64 text.
class unpacker {
 public:
  explicit unpacker(std::string_view base64)
  {
    if (!absl::Base64Unescape({base64.data(), base64.size()}, &bytes_)) {
      throw malformed_document_error("a packed field is not base64");
    }
  }

  template <typename integer> integer take()
  {
    if (bytes_.size() - position_ < sizeof(integer)) {
      throw malformed_document_error("a packed field is cut short");
    }
    std::array<unsigned char, sizeof(integer)> buf{};
    std::copy_n(bytes_.begin() + static_cast<std::ptrdiff_t>(position_), sizeof(integer),
                buf.begin());
    position_ += sizeof(integer);
    return boost::endian::endian_load<integer, sizeof(integer), boost::endian::order::little>(
        buf.data());
  }

  [[nodiscard]] bool done() const { return position_ == bytes_.size(); }

 private:
  std::string bytes_;
  std::size_t position_ = 0;
};

// Returns the position of `executor` in the table of names; adds it if it is new.
std::uint16_t name_index(boost::json::array& names, const daemon_id& executor)
{
  const auto found = std::find_if(names.begin(), names.end(), [&](const boost::json::value& name) {
    return name.get_string() == executor.value();
  });
  const auto index = static_cast<std::uint16_t>(found - names.begin());
  if (found == names.end()) {
    names.emplace_back(executor.value());
  }
  return index;
}

void encode_entries(const std::vector<claim_entry>& entries, boost::json::object& spec)
{
  boost::json::array names;
  packer out;
  for (const auto& entry : entries) {
    out.put(entry.key.high);
    out.put(entry.key.low);
    out.put(entry.body_hash);
    out.put(to_unix_ms(entry.created));
    out.put(entry.nonce);
    out.put(name_index(names, entry.executor));
  }
  spec["executors"] = std::move(names);
  spec["entries"] = out.base64();
}

std::vector<claim_entry> decode_entries(const boost::json::object& spec)
{
  const auto names = boost::json::value_to<std::vector<std::string>>(spec.at("executors"));
  unpacker in(spec.at("entries").as_string());
  std::vector<claim_entry> entries;
  while (!in.done()) {
    claim_entry entry;
    entry.key.high = in.take<std::uint64_t>();
    entry.key.low = in.take<std::uint64_t>();
    entry.body_hash = in.take<std::uint64_t>();
    entry.created = from_unix_ms(in.take<std::int64_t>());
    entry.nonce = in.take<std::uint64_t>();
    entry.executor = daemon_id(names.at(in.take<std::uint16_t>()));
    entries.push_back(std::move(entry));
  }
  return entries;
}

void put_id(packer& out, const segment_id& id)
{
  out.put(id.epoch);
  out.put(id.number);
}

segment_id take_id(unpacker& in)
{
  const auto epoch = in.take<std::uint64_t>();
  const auto number = in.take<std::uint32_t>();
  return {.epoch = epoch, .number = number};
}

std::string encode_segments(const std::vector<segment_info>& segments)
{
  packer out;
  for (const auto& segment : segments) {
    put_id(out, segment.id);
    out.put(segment.entries);
    out.put(to_unix_ms(segment.max_created));
  }
  return out.base64();
}

std::vector<segment_info> decode_segments(std::string_view text)
{
  unpacker in(text);
  std::vector<segment_info> segments;
  while (!in.done()) {
    segment_info segment;
    segment.id = take_id(in);
    segment.entries = in.take<std::uint32_t>();
    segment.max_created = from_unix_ms(in.take<std::int64_t>());
    segments.push_back(segment);
  }
  return segments;
}

std::string encode_ids(const std::vector<segment_id>& ids)
{
  packer out;
  for (const auto& id : ids) {
    put_id(out, id);
  }
  return out.base64();
}

std::vector<segment_id> decode_ids(std::string_view text)
{
  unpacker in(text);
  std::vector<segment_id> ids;
  while (!in.done()) {
    ids.push_back(take_id(in));
  }
  return ids;
}

shard_tail read_tail_fields(const boost::json::object& spec)
{
  return {
      .epoch = spec.at("epoch").to_number<std::uint64_t>(),
      .owner = daemon_id(std::string(spec.at("owner").as_string())),
      .write_nonce = spec.at("writeNonce").to_number<std::uint64_t>(),
      .forgotten_until = from_unix_ms(spec.at("forgottenUntilUnixMs").to_number<std::int64_t>()),
      .next_segment = spec.at("nextSegment").to_number<std::uint32_t>(),
      .segments = decode_segments(spec.at("segments").as_string()),
      .retired = decode_ids(spec.at("retired").as_string()),
      .entries = decode_entries(spec),
  };
}

claim_segment read_segment_fields(const boost::json::object& spec)
{
  return {
      .id = {.epoch = spec.at("epoch").to_number<std::uint64_t>(),
             .number = spec.at("number").to_number<std::uint32_t>()},
      .entries = decode_entries(spec),
  };
}

// Runs `read` on the spec's fields and converts other exceptions to malformed_document_error.
template <typename reader> auto read_checked(const boost::json::value& spec, reader read)
{
  try {
    return read(spec.as_object());
  } catch (const malformed_document_error&) {
    throw;
  } catch (const std::exception& e) {
    throw malformed_document_error(std::string("a claim document cannot be read: ") + e.what());
  }
}

} // namespace

std::string tail_name(std::uint32_t shard)
{
  const std::string digits = std::to_string(shard);
  const std::size_t width = 3;
  const std::string zeros(digits.size() < width ? width - digits.size() : 0, '0');
  return "shard-" + zeros + digits;
}

std::string segment_name(std::uint32_t shard, const segment_id& id)
{
  return tail_name(shard) + '-' + std::to_string(id.epoch) + '-' + std::to_string(id.number);
}

boost::json::value encode_tail(const shard_tail& tail)
{
  boost::json::object spec;
  spec["epoch"] = tail.epoch;
  spec["owner"] = tail.owner.value();
  spec["writeNonce"] = tail.write_nonce;
  spec["forgottenUntilUnixMs"] = to_unix_ms(tail.forgotten_until);
  spec["nextSegment"] = tail.next_segment;
  spec["segments"] = encode_segments(tail.segments);
  spec["retired"] = encode_ids(tail.retired);
  encode_entries(tail.entries, spec);
  return spec;
}

boost::json::value encode_segment(const claim_segment& segment)
{
  boost::json::object spec;
  spec["epoch"] = segment.id.epoch;
  spec["number"] = segment.id.number;
  encode_entries(segment.entries, spec);
  return spec;
}

shard_tail decode_tail(const boost::json::value& spec)
{
  return read_checked(spec, read_tail_fields);
}

claim_segment decode_segment(const boost::json::value& spec)
{
  return read_checked(spec, read_segment_fields);
}

} // namespace wisteriaflow::claims
