#ifndef NET_HTTP_TEXT_H_
#define NET_HTTP_TEXT_H_

#include <string_view>

namespace limpetrudder {

// Compares ASCII text without regard to case. Thread safe.
bool EqualsIgnoringCase(std::string_view a, std::string_view b);

// Whether a header concerns one connection only and isn't passed on.
// Thread safe.
bool IsHopByHop(std::string_view header_name);

}  // namespace limpetrudder

#endif  // NET_HTTP_TEXT_H_
