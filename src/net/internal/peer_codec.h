#ifndef NET_INTERNAL_PEER_CODEC_H_
#define NET_INTERNAL_PEER_CODEC_H_

#include "net/peer_types.h"
#include "peer.pb.h"

namespace limpetrudder::detail {

// Conversions between messages and their protobuf form. Deadlines are sent as
// the remaining time, since the clocks of different instances differ. Thread
// safe.
wire::SearchCall ToWire(const PeerSearch& search, Time now);
PeerSearch FromWire(const wire::SearchCall& call, Time now);
wire::SearchReply ToWire(const PeerSearchReply& reply);
PeerSearchReply FromWire(const wire::SearchReply& reply);
wire::ShardsReply ToWire(const PeerShardsReply& reply);
PeerShardsReply FromWire(const wire::ShardsReply& reply);
wire::WriteCall ToWire(const PeerWrite& write, Time now);
PeerWrite FromWire(const wire::WriteCall& call, Time now);
wire::WriteReply ToWire(const PeerWriteReply& reply);
PeerWriteReply FromWire(const wire::WriteReply& reply);
wire::ProbeCall ToWire(const PeerProbe& probe);
PeerProbe FromWire(const wire::ProbeCall& call);
wire::ProbeReply ToWire(const PeerProbeReply& reply);
PeerProbeReply FromWire(const wire::ProbeReply& reply);
wire::PullCall ToWire(const PeerPull& pull);
PeerPull FromWire(const wire::PullCall& call);
wire::PullReply ToWire(const PeerPullReply& reply);
PeerPullReply FromWire(const wire::PullReply& reply);

}  // namespace limpetrudder::detail

#endif  // NET_INTERNAL_PEER_CODEC_H_
