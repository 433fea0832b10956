#ifndef APP_SERVER_APP_H_
#define APP_SERVER_APP_H_

#include <cstdint>
#include <functional>
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

// Wires one instance together: makes its duties, joins them by their rings, and
// starts and stops them in order. Used from the main thread.
class ServerApp {
 public:
  explicit ServerApp(Settings settings);
  ~ServerApp();

  ServerApp(const ServerApp&) = delete;
  ServerApp& operator=(const ServerApp&) = delete;

  // Starts all threads and opens all ports. Errors: kStartFailed.
  Result<void> Start();

  // Shuts down gracefully: tells the others, goes on serving for the lame-duck
  // time, refuses new work, and waits for what is in flight up to the bound.
  // `hurry` is asked now and then and ends the waiting if true. Returns whether
  // nothing was cut.
  bool Stop(const std::function<bool()>& hurry);

 private:
  PeerHandlers MakePeerHandlers();
  void ConnectTargets();
  bool WaitUntilIdle(const std::function<bool()>& hurry);
  void CloseAll();

  // Refuses new work and returns the request ids that still run.
  std::vector<std::string> StopDuties();

  const Settings settings_;
  const std::uint64_t incarnation_;
  InstanceState front_;
  HttpClient target_http_;
  HttpClient platform_http_;
  TargetClient targets_;
  PlatformClient platform_;
  PeerClient peers_;
  SearchDuty search_duty_;
  WriteDuty write_duty_;
  ControlDuty control_duty_;
  SearchDuty::Mailbox search_;
  WriteDuty::Mailbox write_;
  ControlDuty::Mailbox control_;
  CallerApi caller_api_;
  OperatorApi operator_api_;
  HttpServer caller_server_;
  HttpServer operator_server_;
  PeerServer peer_server_;
};

}  // namespace limpetrudder

#endif  // APP_SERVER_APP_H_
