#ifndef NET_HTTP_TEXT_H_
#define NET_HTTP_TEXT_H_

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "dispatch/dispatch_types.h"

namespace limpetrudder {

// Compares ASCII text without regard to case. Thread safe.
bool EqualsIgnoringCase(std::string_view a, std::string_view b);

// Returns whether a header applies to a single connection (hop-by-hop) and must
// not be forwarded. Thread safe.
bool IsHopByHop(std::string_view header_name);

// Returns the first header called `name`, or null. Thread safe.
const HeaderField* FindHeader(const std::vector<HeaderField>& headers,
                              std::string_view name);

// Returns the value of the first header called `name`, or an empty string. The
// result is valid as long as `headers`. Thread safe.
std::string_view HeaderValue(const std::vector<HeaderField>& headers,
                             std::string_view name);

// Returns the value of the first field called `name` in a query such as
// "a=1&b=2", undecoded, or nothing if there is none. Thread safe.
std::optional<std::string> QueryField(std::string_view query,
                                      std::string_view name);

// Appends an HTTP/1.1 request line. Thread safe.
void AppendRequestLine(std::string* head,
                       std::string_view method,
                       std::string_view target);

// Appends header lines to a message head. Thread safe.
void AppendHeaders(std::string* head, const std::vector<HeaderField>& headers);
void AppendHeader(std::string* head,
                  std::string_view name,
                  std::string_view value);

}  // namespace limpetrudder

#endif  // NET_HTTP_TEXT_H_
