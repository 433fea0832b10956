#ifndef NET_PLATFORM_CLIENT_H_
#define NET_PLATFORM_CLIENT_H_

#include <atomic>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "config/platform_port.h"
#include "membership/membership_types.h"
#include "net/http_client.h"

namespace limpetrudder {

// The instances and leaving targets that the platform lists. The list may be
// out of date.
struct PlatformList {
  std::vector<MemberUpdate> instances;
  std::vector<std::string> leaving_targets;  // Server names.
};

// A client of the platform's protocol over HTTP. Handlers are called on the
// HTTP client's thread. All methods are thread safe.
class PlatformClient {
 public:
  using KvHandler = std::function<void(KvReply)>;
  using ListHandler = std::function<void(std::optional<PlatformList>)>;

  // `http` must outlive this object.
  PlatformClient(std::string address, HttpClient* http);

  // Executes `call`. A watch waits up to kWatchWait for a change.
  void Call(const KvCall& call, KvHandler handler);

  // Requests the platform's list; the handler gets nothing if that fails.
  void List(ListHandler handler);

  static constexpr Duration kWatchWait = Seconds(25);

 private:
  HttpRequest MakeRequest(const KvCall& call);

  const std::string address_;
  HttpClient* const http_;
  std::atomic<std::uint64_t> next_tag_;
};

}  // namespace limpetrudder

#endif  // NET_PLATFORM_CLIENT_H_
