// Crash news as JSON: between daemons, and in the store.

#ifndef WISTERIAFLOW_GATEWAY_CRASH_CODEC_H_
#define WISTERIAFLOW_GATEWAY_CRASH_CODEC_H_

#include <boost/json/value.hpp>

#include "wisteriaflow/base/errors.h"
#include "wisteriaflow/gateway/crash_suspects.h"

namespace wisteriaflow::gateway {

// Crash news that cannot be read.
class crash_news_error : public error {
 public:
  using error::error;
};

[[nodiscard]] boost::json::value encode_crash_news(const crash_news& news);

// Throws crash_news_error.
[[nodiscard]] crash_news decode_crash_news(const boost::json::value& from);

} // namespace wisteriaflow::gateway

#endif // WISTERIAFLOW_GATEWAY_CRASH_CODEC_H_
