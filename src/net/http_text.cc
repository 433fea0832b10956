#include "net/http_text.h"

#include <algorithm>
#include <array>
#include <cctype>

namespace limpetrudder {
namespace {

// RFC 9110, section 7.6.1, and the older ones that are still seen.
constexpr auto kHopByHop = std::to_array<std::string_view>(
    {"connection", "keep-alive", "proxy-connection", "te", "trailer",
     "transfer-encoding", "upgrade", "proxy-authenticate",
     "proxy-authorization"});

}  // namespace

bool EqualsIgnoringCase(std::string_view a, std::string_view b) {
  return std::equal(a.begin(), a.end(), b.begin(), b.end(),
                    [](unsigned char x, unsigned char y) {
                      return std::tolower(x) == std::tolower(y);
                    });
}

bool IsHopByHop(std::string_view header_name) {
  return std::any_of(kHopByHop.begin(), kHopByHop.end(),
                     [header_name](std::string_view name) {
                       return EqualsIgnoringCase(name, header_name);
                     });
}

}  // namespace limpetrudder
