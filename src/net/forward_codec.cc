#include "net/forward_codec.h"

#include <algorithm>
#include <set>
#include <string>
#include <string_view>
#include <utility>

#include "framework/http_status.h"
#include "framework/logger.h"
#include "framework/read_number.h"
#include "net/http_text.h"

namespace limpetrudder {
namespace {

// Replaces kForwardedHeader in a call to one server. Builds that don't know it
// answer 404 and run nothing, since they don't pass on a server's headers.
constexpr char kSingleHeader[] = "Limpet-Single-Target-Left-Ms";
// Replaces both in a call whose account was checked. Builds that don't know it
// answer 404 and run nothing, since they would name no account to the servers.
constexpr char kCheckedHeader[] = "Limpet-Account-Target-Left-Ms";
// The name of the account that was checked; absent on public routes.
constexpr char kAccount[] = "Limpet-Account";
// In a response: status, headers and body are a server's.
constexpr char kFromServer[] = "Limpet-From-Server";
constexpr char kServersUnreachable[] = "Limpet-Servers-Unreachable";
constexpr std::string_view kOwnPrefix = "Limpet-";
constexpr char kTimeLeft[] = "Limpet-Time-Left-Ms";
constexpr char kVersion[] = "Limpet-Routes-Version";
constexpr char kRequestId[] = "Limpet-Request-Id";
constexpr char kHost[] = "Limpet-Host";
constexpr char kShards[] = "Limpet-Shards";
// One header for each allowed region; none if all regions are.
constexpr char kAllowedRegion[] = "Limpet-Allowed-Region";
constexpr char kTopRecords[] = "Limpet-Top-Records";
constexpr char kNewerRoutes[] = "Limpet-Newer-Routes";
constexpr char kLeaving[] = "Limpet-Leaving";
constexpr char kQueuePressure[] = "Limpet-Queue-Pressure-Permille";
constexpr char kMaxMissing[] = "Limpet-Most-Missing";
constexpr char kNotTaken[] = "Limpet-Not-Taken";
constexpr char kSignatures[] = "Limpet-Part-Signatures";
constexpr char kMissingRuns[] = "Limpet-Missing-Runs";
constexpr char kMissingParts[] = "Limpet-Missing-Parts";
constexpr char kRetryAfterMs[] = "Limpet-Retry-After-Ms";

constexpr double kPermille = 1000;

void AppendMillis(std::string* bytes, std::string_view name, Duration value) {
  AppendHeader(bytes, name,
               std::to_string(std::max<std::int64_t>(0, WholeMillis(value))));
}

// Joins the results of `text_of` for each item with commas.
template <typename Item, typename TextOf>
std::string JoinList(const std::vector<Item>& items, TextOf text_of) {
  std::string text;
  for (const auto& item : items) {
    if (&item != &items.front())
      text += ',';
    text += text_of(item);
  }
  return text;
}

std::string JoinList(const std::vector<std::string>& items) {
  return JoinList(items, [](const std::string& item) { return item; });
}

std::vector<std::string> SplitList(std::string_view text) {
  std::vector<std::string> items;
  for (std::size_t comma = 0; comma != std::string_view::npos;) {
    comma = text.find(',');
    items.emplace_back(text.substr(0, comma));
    text.remove_prefix(comma == std::string_view::npos ? 0 : comma + 1);
  }
  return items;
}

// Reads a comma-separated list of numbers. Returns an empty list if one of them
// is malformed.
std::vector<std::uint32_t> ParseNumbers(std::string_view text) {
  std::vector<std::uint32_t> numbers;
  for (const auto& row : SplitList(text)) {
    std::uint64_t number = 0;
    if (!ReadNumber(row, &number)) {
      Log(LogLevel::kWarning, "forward_reply_unreadable", {{"value", text}});
      return {};
    }
    numbers.push_back(static_cast<std::uint32_t>(number));
  }
  return numbers;
}

// Formats a leaving server as "ID@STARTED_MS". Server ids contain no "@".
std::string FormatLeavingServer(const LeavingServer& server) {
  return server.id + '@' + std::to_string(server.started_ms);
}

std::vector<LeavingServer> ParseLeavingServers(std::string_view text) {
  std::vector<LeavingServer> servers;
  for (const auto& row : SplitList(text)) {
    const std::size_t at = row.rfind('@');
    std::uint64_t started_ms = 0;
    if (at == std::string::npos ||
        !ReadNumber(std::string_view(row).substr(at + 1), &started_ms)) {
      Log(LogLevel::kWarning, "forward_reply_unreadable", {{"value", row}});
      continue;
    }
    servers.push_back(
        {row.substr(0, at), static_cast<std::int64_t>(started_ms)});
  }
  return servers;
}

bool IsOwnHeader(std::string_view name) {
  return EqualsIgnoringCase(name.substr(0, kOwnPrefix.size()), kOwnPrefix);
}

// Returns the header that marks the forwarded call.
const char* KindHeader(const ForwardCall& forward) {
  if (forward.account_checked)
    return kCheckedHeader;
  return forward.single ? kSingleHeader : kForwardedHeader;
}

// Appends headers of a caller's request, except for those that would be taken
// as this protocol's.
void AppendCallerHeaders(std::string* bytes,
                         const std::vector<HeaderField>& headers) {
  for (const auto& header : headers) {
    if (!IsOwnHeader(header.name))
      AppendHeader(bytes, header.name, header.value);
  }
}

// Appends the headers of a server's answer, except for those that concern one
// connection or belong to this protocol.
void AppendServerHeaders(std::vector<HeaderField> headers,
                         ServerResponse* response) {
  for (auto& header : headers) {
    if (!IsHopByHop(header.name) && !IsOwnHeader(header.name) &&
        !EqualsIgnoringCase(header.name, "Content-Length")) {
      response->headers.push_back(std::move(header));
    }
  }
}

// Returns the headers of a server's answer that another instance passed on.
std::vector<HeaderField> TakeServerHeaders(std::vector<HeaderField> headers) {
  std::erase_if(headers, [](const HeaderField& header) {
    return IsOwnHeader(header.name);
  });
  return headers;
}

}  // namespace

PoolRequest EncodeForward(const ForwardCall& forward) {
  const RequestMessage& message = *forward.message;
  PoolRequest request;
  request.id = forward.attempt;
  request.server = forward.coordinator;
  request.address = forward.address;
  // A server's answer that is passed on echoes the caller's request id.
  if (forward.single)
    request.echo = message.request_id;
  request.head_only = message.method == "HEAD";
  request.fresh_connection = forward.fresh_connection;
  std::string& bytes = request.bytes;
  bytes.reserve(512 + message.body.size());
  AppendRequestLine(&bytes, message.method, message.target);
  AppendHeader(&bytes, "Host", forward.address);
  AppendHeader(&bytes, kHost, message.host);
  AppendHeader(&bytes, kRequestId, message.request_id);
  AppendMillis(&bytes, kTimeLeft, forward.time_left);
  AppendMillis(&bytes, KindHeader(forward), forward.target_left);
  if (!forward.account.empty())
    AppendHeader(&bytes, kAccount, forward.account);
  AppendHeader(&bytes, kVersion, std::to_string(forward.routes_version));
  if (!forward.allowed_regions.any()) {
    for (const auto& region : forward.allowed_regions.names())
      AppendHeader(&bytes, kAllowedRegion, region);
  }
  if (!forward.shards.empty()) {
    AppendHeader(&bytes, kShards, JoinList(forward.shards));
    AppendHeader(&bytes, kMaxMissing, std::to_string(forward.max_missing));
    AppendHeader(&bytes, kTopRecords, std::to_string(forward.top_records));
  }
  AppendCallerHeaders(&bytes, message.headers);
  AppendCallerHeaders(&bytes, message.credentials);
  if (!message.body.empty())
    AppendHeader(&bytes, "Content-Length", std::to_string(message.body.size()));
  bytes.append("\r\n").append(message.body);
  return request;
}

PoolRequest EncodePing(const PingInstance& ping, std::uint64_t id) {
  PoolRequest request;
  request.id = id;
  request.server = ping.name;
  request.address = ping.address;
  AppendRequestLine(&request.bytes, "GET", kPingPath);
  AppendHeader(&request.bytes, "Host", ping.address);
  request.bytes += "\r\n";
  return request;
}

bool IsForwarded(const ServerRequest& request) {
  return std::any_of(request.headers.begin(), request.headers.end(),
                     [](const HeaderField& header) {
                       return EqualsIgnoringCase(header.name,
                                                 kForwardedHeader) ||
                              EqualsIgnoringCase(header.name, kSingleHeader) ||
                              EqualsIgnoringCase(header.name, kCheckedHeader);
                     });
}

Result<CallRequest> DecodeForward(ServerRequest request, CallId id) {
  auto message = std::make_shared<RequestMessage>();
  CallRequest call;
  call.id = id;
  call.forwarded = true;
  std::uint64_t time_left = 0;
  std::uint64_t target_left = 0;
  std::uint64_t max_missing = 0;
  std::uint64_t top_records = 0;
  std::set<std::string> allowed_regions;
  bool readable = true;
  for (auto& header : request.headers) {
    if (header.name == kHost)
      message->host = header.value;
    else if (header.name == kRequestId)
      message->request_id = header.value;
    else if (header.name == kTimeLeft)
      readable = ReadNumber(header.value, &time_left) && readable;
    else if (header.name == kForwardedHeader || header.name == kSingleHeader)
      readable = ReadNumber(header.value, &target_left) && readable;
    else if (header.name == kCheckedHeader) {
      call.account_checked = true;
      readable = ReadNumber(header.value, &target_left) && readable;
    } else if (header.name == kAccount)
      call.account = header.value;
    else if (header.name == kMaxMissing)
      readable = ReadNumber(header.value, &max_missing) && readable;
    else if (header.name == kTopRecords)
      readable = ReadNumber(header.value, &top_records) && readable;
    else if (header.name == kAllowedRegion)
      allowed_regions.insert(header.value);
    else if (header.name == kShards)
      call.only_shards = SplitList(header.value);
    else if (header.name == kVersion)
      readable = ReadNumber(header.value, &call.routes_version) && readable;
    else if (!IsHopByHop(header.name) &&
             !EqualsIgnoringCase(header.name, "Host") &&
             !EqualsIgnoringCase(header.name, "Content-Length"))
      message->headers.push_back(header);
  }
  if (!readable || time_left == 0 || message->request_id.empty()) {
    return Failure(ResultCode::kRequestMalformed,
                   "a forwarded request lacks its id or the time left");
  }
  call.caller_timeout = Millis(static_cast<std::int64_t>(time_left));
  call.target_left = Millis(static_cast<std::int64_t>(target_left));
  if (!allowed_regions.empty())
    call.allowed_regions = AllowedRegions(std::move(allowed_regions));
  call.max_missing = static_cast<std::uint32_t>(max_missing);
  call.top_records = static_cast<std::uint32_t>(top_records);
  message->method = std::move(request.method);
  message->target = std::move(request.target);
  message->body = std::move(request.body);
  call.message = std::move(message);
  return call;
}

ServerResponse EncodeForwardReply(CallReply reply, const CallRecord& record) {
  ServerResponse response;
  response.status = reply.status;
  response.body = std::move(reply.body);
  response.content_type = "application/octet-stream";
  if (reply.newer_routes > 0) {
    response.headers.push_back(
        {kNewerRoutes, std::to_string(reply.newer_routes)});
  }
  if (!reply.leaving_servers.empty())
    response.headers.push_back(
        {kLeaving, JoinList(reply.leaving_servers, FormatLeavingServer)});
  const auto permille =
      static_cast<std::uint64_t>(reply.queue_pressure * kPermille);
  if (permille > 0)
    response.headers.push_back({kQueuePressure, std::to_string(permille)});
  if (IsForwardRefusal(record.code)) {
    response.headers.push_back({kNotTaken, "1"});
    if (record.code == ResultCode::kServersUnreachable)
      response.headers.push_back({kServersUnreachable, "1"});
    return response;
  }
  if (reply.from_server) {
    response.content_type.clear();
    response.headers.push_back({kFromServer, "1"});
    AppendServerHeaders(std::move(reply.headers), &response);
    return response;
  }
  if (reply.retry_after) {
    response.headers.push_back(
        {kRetryAfterMs, std::to_string(WholeMillis(*reply.retry_after))});
  }
  response.headers.push_back({kSignatures, JoinList(reply.part_signatures)});
  response.headers.push_back(
      {kMissingParts, std::to_string(reply.missing_parts)});
  if (!reply.missing_runs.empty())
    response.headers.push_back(
        {kMissingRuns, JoinList(reply.missing_runs, [](std::uint32_t runs) {
           return std::to_string(runs);
         })});
  return response;
}

TargetReply DecodeForwardReply(PoolResponse response) {
  TargetReply reply;
  reply.attempt = response.id;
  reply.outcome = response.outcome;
  reply.connect_time = response.connect_time;
  reply.status = response.status;
  bool has_signatures = false;
  for (const auto& header : response.headers) {
    std::uint64_t number = 0;
    if (header.name == kFromServer) {
      reply.from_server = true;
    } else if (header.name == kServersUnreachable) {
      reply.servers_unreachable = true;
    } else if (header.name == kNotTaken) {
      reply.not_executed = true;
    } else if (header.name == kNewerRoutes &&
               ReadNumber(header.value, &number)) {
      reply.newer_routes = number;
    } else if (header.name == kQueuePressure &&
               ReadNumber(header.value, &number)) {
      reply.queue_pressure = static_cast<double>(number) / kPermille;
    } else if (header.name == kLeaving) {
      reply.leaving_servers = ParseLeavingServers(header.value);
    } else if (header.name == kSignatures) {
      has_signatures = true;
      if (!header.value.empty())
        reply.part_signatures = SplitList(header.value);
    } else if (header.name == kMissingRuns) {
      reply.missing_runs = ParseNumbers(header.value);
    } else if (header.name == kMissingParts &&
               ReadNumber(header.value, &number)) {
      reply.missing_parts = static_cast<std::uint32_t>(number);
    } else if (header.name == kRetryAfterMs &&
               ReadNumber(header.value, &number)) {
      reply.retry_after = Millis(static_cast<std::int64_t>(number));
    }
  }
  const bool has_protocol =
      has_signatures || reply.not_executed || reply.from_server;
  if (response.outcome == AttemptOutcome::kAnswered && !has_protocol) {
    if (response.status == http_status::kNotFound)
      reply.not_executed = true;
    else
      reply.outcome = AttemptOutcome::kBroken;
  }
  if (reply.from_server)
    reply.headers = TakeServerHeaders(std::move(response.headers));
  reply.body = std::move(response.body);
  return reply;
}

}  // namespace limpetrudder
