#ifndef NET_FORWARD_CODEC_H_
#define NET_FORWARD_CODEC_H_

#include "dispatch/dispatch_types.h"
#include "framework/error.h"
#include "net/http_server.h"
#include "net/target_pool.h"

namespace limpetrudder {

// The protocol by which instances forward calls to each other, HTTP/1.1 on
// their peer addresses. A request is the caller's request as it was received,
// with the remaining times in "Limpet-" headers. A response is the merged body,
// with the signatures of its parts in headers, or the answer of one server.
inline constexpr char kForwardedHeader[] = "Limpet-Target-Left-Ms";
inline constexpr char kPingPath[] = "/ping";
inline constexpr char kMetricsPath[] = "/metrics";

// The functions below are thread safe.

PoolRequest EncodeForward(const ForwardCall& forward);
PoolRequest EncodePing(const PingInstance& ping, std::uint64_t id);

// Returns whether `request` was forwarded by another instance.
bool IsForwarded(const ServerRequest& request);

// Reads a forwarded call and gives it the id `id`. Errors: kRequestMalformed.
Result<CallRequest> DecodeForward(ServerRequest request, CallId id);

ServerResponse EncodeForwardReply(CallReply reply, const CallRecord& record);

// Reads the response to a forwarded call. One without the headers of this
// protocol has the outcome kBroken; a 404 without them comes from a build that
// doesn't know this kind of call, and has run nothing.
TargetReply DecodeForwardReply(PoolResponse response);

}  // namespace limpetrudder

#endif  // NET_FORWARD_CODEC_H_
