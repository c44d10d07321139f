#include "wisteriaflow/gateway/open_streams.h"

#include <algorithm>
#include <utility>

namespace wisteriaflow::gateway {

bool open_streams::start(started_stream stream)
{
  const auto id = stream.origin.stream;
  if (streams_.size() >= options_.max_streams && !streams_.contains(id)) {
    return false;
  }
  streams_[id] = std::move(stream);
  return true;
}

void open_streams::complete(const stream_id& stream, mono_time now)
{
  const auto it = streams_.find(stream);
  if (it != streams_.end()) {
    auto& expires_at = it->second.origin.expires_at;
    expires_at = std::min(expires_at, now + options_.completed_memory);
  }
}

void open_streams::forget_expired(mono_time now)
{
  std::erase_if(streams_, [now](const auto& it) { return it.second.origin.expires_at <= now; });
}

origins_by_version
open_streams::origins(const std::function<bool(const started_stream&)>& is_selected) const
{
  origins_by_version out;
  for (const auto& [id, stream] : streams_) {
    if (is_selected(stream)) {
      out[stream.origin.version].insert(id);
    }
  }
  return out;
}

} // namespace wisteriaflow::gateway
