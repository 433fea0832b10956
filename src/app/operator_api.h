#ifndef APP_OPERATOR_API_H_
#define APP_OPERATOR_API_H_

#include <string>

#include "app/control_duty.h"
#include "app/instance_state.h"
#include "app/search_duty.h"
#include "net/http_server.h"

namespace limpetrudder {

// Handles operators' requests: configuration, status, metrics and explanations.
// Runs on the operators' HTTP thread.
class OperatorApi {
 public:
  // All pointers must outlive this object.
  OperatorApi(std::string token_sha256,
              InstanceState* instance_state,
              SearchDuty::Mailbox* search,
              ControlDuty::Mailbox* control);

  // Not thread safe.
  void OnRequest(ServerRequest request, Responder respond);

 private:
  void OnSubmit(const ServerRequest& request, Responder respond);
  void OnCheck(const ServerRequest& request, const Responder& respond);

  // Posts `event`; if the mailbox is full, sends the refusal instead.
  template <typename Event, typename Mailbox>
  void PostOrRefuse(Mailbox* mailbox, Event event);

  const std::string token_sha256_;
  InstanceState* const instance_state_;
  SearchDuty::Mailbox* const search_mailbox_;
  ControlDuty::Mailbox* const control_mailbox_;
};

// Returns the faults of a document as a JSON response body. Thread safe.
std::string WriteFaults(const std::vector<Error>& faults);

}  // namespace limpetrudder

#endif  // APP_OPERATOR_API_H_
