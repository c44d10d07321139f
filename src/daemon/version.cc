#include "wisteriaflow/daemon/version.h"

namespace wisteriaflow::daemon {

std::string_view version()
{
  return "0.1.0";
}

} // namespace wisteriaflow::daemon
