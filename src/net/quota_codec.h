#ifndef NET_QUOTA_CODEC_H_
#define NET_QUOTA_CODEC_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "net/http_server.h"
#include "net/target_pool.h"
#include "quota/quota_types.h"

namespace limpetrudder {

// The protocol by which instances ask each other for tokens of accounts'
// limits. Request and response carry a JSON document.
inline constexpr char kQuotaPath[] = "/quota";

// Encodes the request to another instance; `id` identifies it in the target
// pool. Thread safe.
PoolRequest EncodeQuotaAsk(const OutgoingQuotaAsk& ask, std::uint64_t id);

// Decodes the body of another instance's request; nothing if it can't be read,
// which is logged. Thread safe.
std::optional<QuotaAsk> DecodeQuotaAsk(std::string_view body);

// Thread safe.
ServerResponse EncodeQuotaAnswer(const QuotaAnswer& answer);

// Decodes the other instance's response. An instance that doesn't know the
// protocol owns nothing. Returns nothing if there was no response or if it
// can't be read. Thread safe.
std::optional<QuotaAnswer> DecodeQuotaAnswer(const PoolResponse& response);

}  // namespace limpetrudder

#endif  // NET_QUOTA_CODEC_H_
