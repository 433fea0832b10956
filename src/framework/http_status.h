#ifndef FRAMEWORK_HTTP_STATUS_H_
#define FRAMEWORK_HTTP_STATUS_H_

// HTTP status codes (RFC 9110) that the program sends or interprets.
namespace limpetrudder::http_status {

inline constexpr int kSwitchingProtocols = 101;
inline constexpr int kOk = 200;
inline constexpr int kNoContent = 204;
inline constexpr int kMultipleChoices = 300;  // The first above the 2xx range.
inline constexpr int kNotModified = 304;
inline constexpr int kBadRequest = 400;
inline constexpr int kUnauthorised = 401;
inline constexpr int kForbidden = 403;
inline constexpr int kNotFound = 404;
inline constexpr int kRequestTimeout = 408;
inline constexpr int kConflict = 409;
inline constexpr int kGone = 410;
inline constexpr int kMisdirected = 421;
inline constexpr int kTooManyRequests = 429;
inline constexpr int kCancelled = 499;  // Widely used, but in no standard.
inline constexpr int kInternalError = 500;
inline constexpr int kBadGateway = 502;
inline constexpr int kUnavailable = 503;
inline constexpr int kGatewayTimeout = 504;

inline constexpr int kFirstInvalid = 600;

// Returns whether `status` can be that of a final response. Thread safe.
constexpr bool IsFinal(int status) {
  return status >= kOk && status < kFirstInvalid;
}

// Returns whether responses with `status` have a body, which may be empty.
// Thread safe.
constexpr bool AllowsBody(int status) {
  return IsFinal(status) && status != kNoContent && status != kNotModified;
}

// Returns whether `status` is a 2xx code. Thread safe.
constexpr bool IsSuccess(int status) {
  return status >= kOk && status < kMultipleChoices;
}

}  // namespace limpetrudder::http_status

#endif  // FRAMEWORK_HTTP_STATUS_H_
