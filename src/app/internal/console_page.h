#ifndef APP_INTERNAL_CONSOLE_PAGE_H_
#define APP_INTERNAL_CONSOLE_PAGE_H_

#include <string_view>

namespace limpetrudder {

// Returns the operators' console: one HTML page whose script sends the operator
// requests of docs/PROTOCOLS.md. It holds no secret; the operator enters the
// token. Thread safe.
std::string_view ConsolePage();

}  // namespace limpetrudder

#endif  // APP_INTERNAL_CONSOLE_PAGE_H_
