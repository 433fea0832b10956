#ifndef APP_ENTRY_APP_H_
#define APP_ENTRY_APP_H_

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

// One entry instance on the users' platform: creates its duties, connects them
// by their event queues, and starts and stops them in order. Use it from the
// main thread.
class EntryApp {
 public:
  explicit EntryApp(EntrySettings settings);
  ~EntryApp();

  EntryApp(const EntryApp&) = delete;
  EntryApp& operator=(const EntryApp&) = delete;

  // Starts all threads and opens all ports. Errors: kStartFailed.
  Result<void> Start();

  // Shuts down gracefully: reports that it isn't ready, serves on until the
  // load balancer has taken it out, then accepts no new connections and waits
  // for the calls in flight, at most until the stop bound. Returns whether all
  // calls were answered.
  bool Stop();

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
  // NOTE The mailboxes outlive their duties, whose sockets and timers use the
  // mailboxes' event loops.
  DispatchDuty::Mailbox dispatch_mailbox_;
  DiscoveryDuty::Mailbox discovery_mailbox_;
  DispatchDuty dispatch_duty_;
  DiscoveryDuty discovery_duty_;
  HttpServer ready_server_;
  HttpServer peer_server_;
};

}  // namespace limpetrudder

#endif  // APP_ENTRY_APP_H_
