#ifndef APP_INTERNAL_JSON_API_H_
#define APP_INTERNAL_JSON_API_H_

#include <string>

#include "net/http_server.h"
#include "once/once_types.h"
#include "query/query_types.h"

namespace limpetrudder {

inline constexpr int kHttpOk = 200;
inline constexpr int kHttpBadRequest = 400;
inline constexpr int kHttpUnauthorised = 401;
inline constexpr int kHttpForbidden = 403;
inline constexpr int kHttpNotFound = 404;
inline constexpr int kHttpConflict = 409;
inline constexpr int kHttpTooMany = 429;
inline constexpr int kHttpUnavailable = 503;
inline constexpr int kHttpLate = 504;

// Returns the HTTP status that goes with `code`. Thread safe.
int HttpStatusOf(ResultCode code);

// Thread safe.
ServerResponse ToResponse(const SearchAnswer& answer);
ServerResponse ToResponse(const WriteOutcome& outcome, const std::string& key);
ServerResponse Refusal(ResultCode code, const std::string& message);

// Returns the value of `name` in a query string, with %XX decoded, or nothing.
// Thread safe.
std::string QueryValue(const std::string& query, const std::string& name);

}  // namespace limpetrudder

#endif  // APP_INTERNAL_JSON_API_H_
