#include "wisteriaflow/gateway/stream_origins.h"

#include <algorithm>
#include <string>

namespace wisteriaflow::gateway {

stream_id stream_id_of(const workspace_id& workspace, std::string_view request_id)
{
  // The length separates the two texts: neither can imitate a part of the other.
  auto text = std::to_string(workspace.value().size());
  text += ':';
  text += workspace.value();
  text += request_id;
  return {.hash = hash128_of(text)};
}

bool stream_origins::record(const stream_origin& origin, mono_time now)
{
  auto found = streams_.find(origin.stream);
  if (found != streams_.end() && found->second.expires_at <= now) {
    streams_.erase(found);
    found = streams_.end();
  }
  if (found != streams_.end()) {
    auto& known = found->second;
    known.expires_at = std::max(known.expires_at, origin.expires_at);
    known.is_ambiguous = known.is_ambiguous || known.version != origin.version;
    return true;
  }
  if (streams_.size() >= options_.max_streams) {
    return false;
  }
  streams_[origin.stream] = {.version = origin.version, .expires_at = origin.expires_at};
  return true;
}

origin_lookup stream_origins::find(const stream_id& stream, mono_time now) const
{
  const auto it = streams_.find(stream);
  if (it == streams_.end() || it->second.expires_at <= now) {
    return unknown_origin{};
  }
  if (it->second.is_ambiguous) {
    return ambiguous_origin{};
  }
  return it->second.version;
}

void stream_origins::forget_expired(mono_time now)
{
  std::erase_if(streams_, [now](const auto& it) { return it.second.expires_at <= now; });
}

} // namespace wisteriaflow::gateway
