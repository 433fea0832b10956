#ifndef APP_SERVER_APP_H_
#define APP_SERVER_APP_H_

#include <cstdint>
#include <string>
#include <vector>

#include "app/caller_api.h"
#include "app/control_duty.h"
#include "app/instance_state.h"
#include "app/operator_api.h"
#include "app/search_duty.h"
#include "app/settings.h"
#include "app/write_duty.h"
#include "net/http_client.h"
#include "net/http_server.h"
#include "net/peer_client.h"
#include "net/peer_server.h"
#include "net/platform_client.h"
#include "net/target_client.h"

namespace limpetrudder {

// Owns all parts of one instance: creates its duties, connects them through
// their mailboxes, and starts and stops them in order. Used from the main
// thread.
class ServerApp {
 public:
  explicit ServerApp(Settings settings);
  ~ServerApp();

  ServerApp(const ServerApp&) = delete;
  ServerApp& operator=(const ServerApp&) = delete;

  // Starts all threads and opens all ports. Errors: kStartFailed.
  Result<void> Start();

  // Shuts down gracefully: announces to the peers that the instance leaves,
  // keeps serving for the lame-duck time of the settings, then refuses new work
  // and waits for requests in flight, at most for the stop bound of the
  // settings. Returns whether every request finished.
  bool Stop();

 private:
  PeerHandlers MakePeerHandlers();
  void SetTargetHandlers();
  bool WaitUntilIdle();
  void StopAll();

  // Makes the duties refuse new work and returns the ids of the requests still
  // running.
  std::vector<std::string> RefuseNewWork();

  const Settings settings_;
  const std::uint64_t incarnation_;
  InstanceState instance_state_;
  HttpClient target_http_;
  HttpClient platform_http_;
  TargetClient targets_;
  PlatformClient platform_;
  PeerClient peers_;
  SearchDuty search_duty_;
  WriteDuty write_duty_;
  ControlDuty control_duty_;
  SearchDuty::Mailbox search_mailbox_;
  WriteDuty::Mailbox write_mailbox_;
  ControlDuty::Mailbox control_mailbox_;
  CallerApi caller_api_;
  OperatorApi operator_api_;
  HttpServer caller_server_;
  HttpServer operator_server_;
  PeerServer peer_server_;
};

}  // namespace limpetrudder

#endif  // APP_SERVER_APP_H_
