#ifndef APP_CALLER_API_H_
#define APP_CALLER_API_H_

#include <atomic>
#include <cstdint>
#include <string>

#include "app/instance_state.h"
#include "app/search_duty.h"
#include "app/write_duty.h"
#include "net/http_server.h"

namespace limpetrudder {

// Parses and validates callers' requests, refuses those that can't be served,
// and posts the rest to the search and write duties. Runs on the callers' HTTP
// thread.
class CallerApi {
 public:
  // All pointers must outlive this object. Request ids begin with `id_prefix`,
  // which must be unique in the fleet.
  CallerApi(std::string id_prefix,
            InstanceState* instance_state,
            SearchDuty::Mailbox* search,
            WriteDuty::Mailbox* write);

  // Not thread safe.
  void OnRequest(ServerRequest request, Responder respond);
  void OnConnectionClosed(std::uint64_t connection);

 private:
  void OnSearch(const ServerRequest& request,
                const Caller& caller,
                Responder respond);
  void OnWrite(WriteAction action,
               const ServerRequest& request,
               const Caller& caller,
               Responder respond);
  std::string NextRequestId();

  const std::string id_prefix_;
  InstanceState* const instance_state_;
  SearchDuty::Mailbox* const search_mailbox_;
  WriteDuty::Mailbox* const write_mailbox_;
  std::uint64_t next_id_ = 1;
};

}  // namespace limpetrudder

#endif  // APP_CALLER_API_H_
