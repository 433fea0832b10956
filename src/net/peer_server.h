#ifndef NET_PEER_SERVER_H_
#define NET_PEER_SERVER_H_

#include <functional>
#include <memory>
#include <string>

#include "framework/error.h"
#include "net/peer_types.h"

namespace limpetrudder {

// Handlers for calls from other instances. Each is called on a thread of gRPC
// and must call its replier once, from any thread.
struct PeerHandlers {
  template <typename Reply>
  using Replier = std::function<void(Reply)>;

  std::function<void(PeerSearch, Replier<PeerSearchReply>)> search;
  std::function<void(PeerSearch, Replier<PeerShardsReply>)> shards;
  std::function<void(PeerWrite, Replier<PeerWriteReply>)> write;
  std::function<void(PeerProbe, Replier<PeerProbeReply>)> probe;
  std::function<void(PeerPull, Replier<PeerPullReply>)> pull;
};

// Serves the calls of other instances over gRPC.
class PeerServer {
 public:
  // `address` is "IP:PORT".
  PeerServer(std::string address, PeerHandlers handlers);
  ~PeerServer();

  PeerServer(const PeerServer&) = delete;
  PeerServer& operator=(const PeerServer&) = delete;

  // Opens the port. Call once. Errors: kStartFailed.
  Result<void> Start();

  // Waits up to `timeout` for running calls, then stops. Idempotent.
  void Stop(Duration timeout);

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace limpetrudder

#endif  // NET_PEER_SERVER_H_
