#ifndef NET_QUARANTINE_CODEC_H_
#define NET_QUARANTINE_CODEC_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "dispatch/dispatch_types.h"
#include "net/http_server.h"
#include "net/target_pool.h"

namespace limpetrudder {

// The protocol by which instances tell each other of requests under which
// servers crashed. Request and response carry the same JSON document. The
// response to a request of scope kChanges has no notices, except from older
// builds, which answer all requests with all that they know.
inline constexpr char kQuarantinePath[] = "/quarantine";

// Encodes notices as a JSON array. Thread safe.
std::string EncodeNotices(const std::vector<QuarantineNotice>& notices);

// Decodes what EncodeNotices() made. Notices that can't be read are logged and
// left out, as are those beyond the number that an instance sends. Thread safe.
std::vector<QuarantineNotice> DecodeNotices(std::string_view text);

// Encodes the request to another instance. Thread safe.
PoolRequest EncodeExchange(const ExchangeQuarantine& exchange,
                           std::uint64_t id);

// Returns what the notices of another instance's request cover. Thread safe.
NoticeScope DecodeScope(const ServerRequest& request);

// Decodes the other instance's response; one without notices, as of an instance
// that doesn't know the protocol, yields none. Returns nothing if there was no
// response. Thread safe.
std::optional<std::vector<QuarantineNotice>> DecodeExchangeReply(
    const PoolResponse& response);

}  // namespace limpetrudder

#endif  // NET_QUARANTINE_CODEC_H_
