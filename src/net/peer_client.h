#ifndef NET_PEER_CLIENT_H_
#define NET_PEER_CLIENT_H_

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "net/peer_types.h"

namespace limpetrudder {

// Calls other instances over gRPC. A call that fails is never sent again by the
// transport. Handlers get nothing if no reply came in time; they are called
// once, on a thread of the library. All methods are thread safe.
class PeerClient {
 public:
  template <typename Reply>
  using Handler = std::function<void(std::optional<Reply>)>;

  PeerClient();
  ~PeerClient();

  PeerClient(const PeerClient&) = delete;
  PeerClient& operator=(const PeerClient&) = delete;

  void Search(const std::string& address,
              const PeerSearch& search,
              Time now,
              Handler<PeerSearchReply> handler);
  void Shards(const std::string& address,
              const PeerSearch& search,
              Time now,
              Handler<PeerShardsReply> handler);
  void Write(const std::string& address,
             const PeerWrite& write,
             Time now,
             Handler<PeerWriteReply> handler);
  void Probe(const std::string& address,
             const PeerProbe& probe,
             Duration timeout,
             Handler<PeerProbeReply> handler);
  void Pull(const std::string& address,
            const PeerPull& pull,
            Duration timeout,
            Handler<PeerPullReply> handler);

  // Cancels nothing; waits until all handlers were called. No call may follow.
  void Stop();

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace limpetrudder

#endif  // NET_PEER_CLIENT_H_
