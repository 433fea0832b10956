#include "net/http_text.h"

#include <algorithm>
#include <array>
#include <cctype>

namespace limpetrudder {
namespace {

// The headers of RFC 9110, section 7.6.1, and older ones that are still in use.
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

const HeaderField* FindHeader(const std::vector<HeaderField>& headers,
                              std::string_view name) {
  const auto found =
      std::find_if(headers.begin(), headers.end(), [name](const auto& header) {
        return EqualsIgnoringCase(header.name, name);
      });
  return found == headers.end() ? nullptr : &*found;
}

std::string_view HeaderValue(const std::vector<HeaderField>& headers,
                             std::string_view name) {
  const HeaderField* header = FindHeader(headers, name);
  return header == nullptr ? std::string_view() : header->value;
}

void AppendHeader(std::string* head,
                  std::string_view name,
                  std::string_view value) {
  head->append(name).append(": ").append(value).append("\r\n");
}

void AppendHeaders(std::string* head, const std::vector<HeaderField>& headers) {
  for (const auto& header : headers)
    AppendHeader(head, header.name, header.value);
}

std::optional<std::string> QueryField(std::string_view query,
                                      std::string_view name) {
  while (!query.empty()) {
    const std::string_view field = query.substr(0, query.find('&'));
    const std::size_t equals = field.find('=');
    if (equals != std::string_view::npos && field.substr(0, equals) == name)
      return std::string(field.substr(equals + 1));
    query.remove_prefix(std::min(query.size(), field.size() + 1));
  }
  return std::nullopt;
}

void AppendRequestLine(std::string* head,
                       std::string_view method,
                       std::string_view target) {
  head->append(method).append(" ").append(target).append(" HTTP/1.1\r\n");
}

}  // namespace limpetrudder
