#include "wisteriaflow/http/framing.h"

#include "wisteriaflow/http/status.h"

namespace wisteriaflow::http {
namespace {

bool has_no_body(int status)
{
  constexpr int no_content = 204;
  constexpr int not_modified = 304;
  return status < status::ok || status == no_content || status == not_modified;
}

} // namespace

bool ends_with_connection(const response& head)
{
  return !has_no_body(head.status) && find_header(head.fields, "Content-Length").empty() &&
         find_header(head.fields, "Transfer-Encoding").empty();
}

} // namespace wisteriaflow::http
