#ifndef APP_INTERNAL_JSON_API_H_
#define APP_INTERNAL_JSON_API_H_

#include <string>

#include "net/http_server.h"
#include "once/once_types.h"
#include "query/query_types.h"

namespace limpetrudder {

// Returns the HTTP status for responses with `code`. Thread safe.
int HttpStatusOf(ResultCode code);

// Return the HTTP response with its JSON body. Thread safe.
ServerResponse ToResponse(const SearchAnswer& answer);
ServerResponse ToResponse(const WriteOutcome& outcome, const std::string& key);
ServerResponse Refusal(ResultCode code, const std::string& message);

// Returns the value of `name` in a query string, with %XX decoded, or an empty
// string if it is missing. Thread safe.
std::string QueryValue(const std::string& query, const std::string& name);

}  // namespace limpetrudder

#endif  // APP_INTERNAL_JSON_API_H_
