#include "net/internal/echo_history.h"

namespace limpetrudder::detail {

ResponseOwner EchoHistory::OwnerOf(const HeaderField* echo,
                                   const ResponseContext& context) {
  if (echo != nullptr) {
    if (echo->value != context.request_id)
      return ResponseOwner::kOtherRequest;
    echoes_ = echoes_ || !context.request_id.empty();
    return ResponseOwner::kThisRequest;
  }
  if (context.request_id.empty())
    return ResponseOwner::kThisRequest;
  if (context.echoes_all_or_none && echoes_)
    return ResponseOwner::kOtherRequest;
  return context.first_on_connection ? ResponseOwner::kThisRequest
                                     : ResponseOwner::kUndecided;
}

}  // namespace limpetrudder::detail
