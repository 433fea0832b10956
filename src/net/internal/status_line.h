#ifndef NET_INTERNAL_STATUS_LINE_H_
#define NET_INTERNAL_STATUS_LINE_H_

#include <cstddef>
#include <string_view>

namespace limpetrudder::detail {

// Checks the beginning of a response: "HTTP/1.0" or "HTTP/1.1", a space, three
// digits that form a status from 100 to 599, and a space or the line's end. The
// parser of messages is less strict. Not thread safe.
class StatusLine {
 public:
  // Checks those of the response's next bytes that belong to its beginning;
  // they may come in pieces. Returns false if a response can't begin so.
  bool Accept(std::string_view bytes);

 private:
  std::size_t position_ = 0;
};

}  // namespace limpetrudder::detail

#endif  // NET_INTERNAL_STATUS_LINE_H_
