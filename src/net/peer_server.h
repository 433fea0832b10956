#ifndef NET_PEER_SERVER_H_
#define NET_PEER_SERVER_H_

#include <functional>
#include <memory>
#include <string>

#include "framework/error.h"
#include "net/peer_types.h"

namespace limpetrudder {

// What an instance does with calls from others. Each is called on a thread of
// the library and answers by calling `reply` once, from any thread.
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

  // Waits up to `bound` for calls under way, then ends. Idempotent.
  void Stop(Duration bound);

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace limpetrudder

#endif  // NET_PEER_SERVER_H_
