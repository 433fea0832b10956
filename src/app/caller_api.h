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

// Reads callers' requests, refuses what can't be served, and hands the rest to
// the search and write duties. Runs on the callers' HTTP thread.
class CallerApi {
 public:
  // All pointers must outlive this object. `id_prefix` makes request ids unique
  // in the fleet.
  CallerApi(std::string id_prefix,
            InstanceState* front,
            SearchDuty::Mailbox* search,
            WriteDuty::Mailbox* write);

  // Not thread safe.
  void OnRequest(ServerRequest request, Responder respond);
  void OnClosed(std::uint64_t connection);

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
  InstanceState* const front_;
  SearchDuty::Mailbox* const search_;
  WriteDuty::Mailbox* const write_;
  std::uint64_t next_id_ = 1;
};

}  // namespace limpetrudder

#endif  // APP_CALLER_API_H_
