// Named HTTP status codes.

#ifndef WISTERIAFLOW_HTTP_STATUS_H_
#define WISTERIAFLOW_HTTP_STATUS_H_

namespace wisteriaflow::http::status {

inline constexpr int ok = 200;
inline constexpr int first_redirect = 300; // codes from `ok` up to it are successes
inline constexpr int bad_request = 400;
inline constexpr int unauthorized = 401;
inline constexpr int not_found = 404;
inline constexpr int request_timeout = 408;
inline constexpr int payload_too_large = 413;
inline constexpr int misdirected_request = 421;
inline constexpr int too_many_requests = 429;
inline constexpr int first_server_error = 500;
inline constexpr int bad_gateway = 502;
inline constexpr int service_unavailable = 503;
inline constexpr int gateway_timeout = 504;

[[nodiscard]] constexpr bool is_success(int code)
{
  return code >= ok && code < first_redirect;
}

} // namespace wisteriaflow::http::status

#endif // WISTERIAFLOW_HTTP_STATUS_H_
