// JSON encoding of crash reports, for messages between daemons and for the store.

#ifndef WISTERIAFLOW_GATEWAY_CRASH_REPORT_CODEC_H_
#define WISTERIAFLOW_GATEWAY_CRASH_REPORT_CODEC_H_

#include <boost/json/value.hpp>

#include "wisteriaflow/base/errors.h"
#include "wisteriaflow/gateway/crash_suspects.h"

namespace wisteriaflow::gateway {

// A crash report could not be decoded.
class crash_report_error : public error {
 public:
  using error::error;
};

// Encodes a crash report as a JSON object.
[[nodiscard]] boost::json::value encode_crash_report(const crash_report& report);

// Throws crash_report_error if `from` is not a valid crash report.
[[nodiscard]] crash_report decode_crash_report(const boost::json::value& from);

} // namespace wisteriaflow::gateway

#endif // WISTERIAFLOW_GATEWAY_CRASH_REPORT_CODEC_H_
