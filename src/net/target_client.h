#ifndef NET_TARGET_CLIENT_H_
#define NET_TARGET_CLIENT_H_

#include <atomic>
#include <functional>
#include <optional>
#include <string>

#include "net/http_client.h"
#include "once/key_ledger.h"
#include "query/query_types.h"

namespace limpetrudder {

// The result of sending a write to a target.
struct WriteRunResult {
  std::string key;
  RunResult result = RunResult::kNoReply;
  int server_status = 0;
  std::string server_body;
};

// A client of the targets' protocol over HTTP. Handlers are called on the HTTP
// client's thread. All methods are thread safe.
class TargetClient {
 public:
  using AttemptHandler = std::function<void(AttemptResult)>;
  using ProbeHandler =
      std::function<void(ProbeServer, std::optional<ServerReport>)>;
  using WriteHandler = std::function<void(WriteRunResult)>;

  // `instance` is this instance's name in requests to targets. `http` must
  // outlive this object.
  TargetClient(std::string instance, HttpClient* http);

  void SetHandlers(AttemptHandler on_attempt,
                   ProbeHandler on_probe,
                   WriteHandler on_write);

  // Each results in one call of its handler, also if the request can't be sent.
  void Send(const SendAttempt& attempt, Time now);
  void Probe(const ProbeServer& probe);

  // Asks the target to stop working on an attempt. If cancel.close_connection
  // is set, closes the attempt's connection instead; its handler isn't called
  // then.
  void Cancel(const CancelAttempt& cancel);

  void SetConnectionLimit(std::uint32_t limit) {
    http_->SetConnectionLimit(limit);
  }

  // Sends a write once, on a connection of its own, and calls the write handler
  // with the result.
  void RunWrite(const WriteRequest& request,
                const std::string& shard,
                const std::string& address,
                Time now);

 private:
  std::uint64_t NextTag();

  const std::string instance_;
  HttpClient* const http_;
  AttemptHandler on_attempt_;
  ProbeHandler on_probe_;
  WriteHandler on_write_;
  std::atomic<std::uint64_t> next_tag_{0};
};

}  // namespace limpetrudder

#endif  // NET_TARGET_CLIENT_H_
