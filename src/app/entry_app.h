#ifndef APP_ENTRY_APP_H_
#define APP_ENTRY_APP_H_

#include <functional>

#include "app/discovery_duty.h"
#include "app/dispatch_duty.h"
#include "app/entry_settings.h"
#include "app/entry_state.h"
#include "net/feed_client.h"
#include "net/feed_encoder.h"
#include "net/http_client.h"
#include "net/http_server.h"
#include "platform/store_client.h"

namespace limpetrudder {

// Wires one entry instance on the users' platform together: makes its duties,
// joins them by their rings, and starts and stops them in order. Used from the
// main thread.
class EntryApp {
 public:
  explicit EntryApp(EntrySettings settings);
  ~EntryApp();

  EntryApp(const EntryApp&) = delete;
  EntryApp& operator=(const EntryApp&) = delete;

  // Starts all threads and opens all ports. Errors: kStartFailed.
  Result<void> Start();

  // Shuts down gracefully: isn't ready any more, goes on serving while the
  // balancer notices, then takes no new connections and waits for the answers
  // in flight up to the bound. `abort_wait` is asked now and then and ends the
  // waiting if true. Returns whether nothing was cut.
  bool Stop(const std::function<bool()>& abort_wait);

 private:
  void OnReadyRequest(const Responder& respond);
  DiscoveryTransport MakeTransport();
  void OnFeedRequest(const ServerRequest& request, const Responder& respond);
  void OnPeerRequest(const ServerRequest& request, const Responder& respond);
  void StopThreads();

  const EntrySettings settings_;
  EntryState state_;
  HttpClient http_client_;
  StoreClient store_client_;
  FeedClient feed_client_;
  FeedEncoder feed_encoder_;  // Used by the discovery duty's thread.
  // NOTE The mailboxes outlive their duties, whose sockets and timers belong to
  // the mailboxes' loops.
  DispatchDuty::Mailbox dispatch_mailbox_;
  DiscoveryDuty::Mailbox discovery_mailbox_;
  DispatchDuty dispatch_duty_;
  DiscoveryDuty discovery_duty_;
  HttpServer ready_server_;
  HttpServer peer_server_;
};

}  // namespace limpetrudder

#endif  // APP_ENTRY_APP_H_
