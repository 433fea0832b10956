#ifndef NET_FORWARD_CODEC_H_
#define NET_FORWARD_CODEC_H_

#include "dispatch/dispatch_types.h"
#include "framework/error.h"
#include "net/http_server.h"
#include "net/target_pool.h"

namespace limpetrudder {

// The protocol between instances, HTTP/1.1 on their peer addresses: a caller's
// request as it came, with the times that are left in headers of the product's
// own; the answer is the merged body with its signatures in headers.
inline constexpr char kForwardedHeader[] = "Limpet-Target-Left-Ms";
inline constexpr char kPingPath[] = "/ping";
inline constexpr char kMetricsPath[] = "/metrics";

// Each of these is thread safe.

PoolRequest EncodeForward(const ForwardCall& forward);
PoolRequest EncodePing(const PingInstance& ping, std::uint64_t id);

bool IsForwarded(const ServerRequest& request);

// Errors: kRequestMalformed.
Result<CallRequest> DecodeForward(ServerRequest request, CallId id);

ServerResponse EncodeForwardReply(CallReply reply, const CallRecord& record);
TargetReply DecodeForwardReply(PoolResponse response);

}  // namespace limpetrudder

#endif  // NET_FORWARD_CODEC_H_
