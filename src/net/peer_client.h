#ifndef NET_PEER_CLIENT_H_
#define NET_PEER_CLIENT_H_

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "net/peer_types.h"

namespace limpetrudder {

// Calls other instances over gRPC. The transport never retries a failed call.
// Each handler is called once, on a thread of gRPC, and gets nothing if no
// reply came in time. All methods are thread safe.
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

  // Waits until all handlers have been called, without cancelling calls. No
  // call may be started afterwards.
  void Stop();

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace limpetrudder

#endif  // NET_PEER_CLIENT_H_
