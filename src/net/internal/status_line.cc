#include "net/internal/status_line.h"

namespace limpetrudder::detail {
namespace {

constexpr std::string_view kMajorVersion = "HTTP/1.";

// Version and status from the minor version on, and the byte that ends them.
constexpr std::size_t kCheckedBytes = kMajorVersion.size() + 6;

bool IsBetween(char c, char low, char high) {
  return c >= low && c <= high;
}

bool MayStandAt(std::size_t position, char c) {
  if (position < kMajorVersion.size())
    return c == kMajorVersion[position];
  switch (position - kMajorVersion.size()) {
    case 0:
      return IsBetween(c, '0', '1');
    case 1:
      return c == ' ';
    case 2:
      return IsBetween(c, '1', '5');
    case 3:
    case 4:
      return IsBetween(c, '0', '9');
    default:
      return c == ' ' || c == '\r' || c == '\n';
  }
}

}  // namespace

bool StatusLine::Accept(std::string_view bytes) {
  for (const char c : bytes) {
    if (position_ == kCheckedBytes)
      return true;
    if (!MayStandAt(position_, c))
      return false;
    ++position_;
  }
  return true;
}

}  // namespace limpetrudder::detail
