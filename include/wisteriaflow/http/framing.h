// How the end of a message's body is marked.

#ifndef WISTERIAFLOW_HTTP_FRAMING_H_
#define WISTERIAFLOW_HTTP_FRAMING_H_

#include "wisteriaflow/http/message.h"

namespace wisteriaflow::http {

// Whether the body that follows `head`, a received head of a response to a request other than HEAD,
// ends with its connection: it has neither a length nor chunks. Whether such a body is complete
// cannot be told from the connection alone: that of a process that ends is closed, too.
[[nodiscard]] bool ends_with_connection(const response& head);

} // namespace wisteriaflow::http

#endif // WISTERIAFLOW_HTTP_FRAMING_H_
