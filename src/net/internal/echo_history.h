#ifndef NET_INTERNAL_ECHO_HISTORY_H_
#define NET_INTERNAL_ECHO_HISTORY_H_

#include <string_view>

#include "dispatch/dispatch_types.h"

namespace limpetrudder::detail {

// Whose response it is that arrived on a connection.
enum class ResponseOwner {
  kThisRequest,
  kOtherRequest,
  // Nothing tells it from a late response to an earlier request. It is taken as
  // this request's, since some servers echo no ids.
  kUndecided,
};

// What decides whose response it is, besides the id that it echoes.
struct ResponseContext {
  std::string_view request_id;  // Empty: the request has no id to echo.
  // The server echoes ids in all its responses or in none.
  bool echoes_all_or_none = false;
  // No other response came before it on its connection.
  bool first_on_connection = false;
};

// Remembers whether a server echoes the ids of requests, and decides by that
// whose a response is. One for each server process. Not thread safe.
class EchoHistory {
 public:
  // `echo`: the header with the echoed id; null if the response has none.
  ResponseOwner OwnerOf(const HeaderField* echo,
                        const ResponseContext& context);

 private:
  bool echoes_ = false;
};

}  // namespace limpetrudder::detail

#endif  // NET_INTERNAL_ECHO_HISTORY_H_
