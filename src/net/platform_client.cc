#include "net/platform_client.h"

#include <utility>

#include <nlohmann/json.hpp>

namespace limpetrudder {
namespace {

using Json = nlohmann::json;

constexpr std::uint64_t kFirstPlatformTag = std::uint64_t{3} << 62;
constexpr Duration kCallTimeout = Seconds(2);

KvStatus StatusOf(const HttpResponse& response) {
  switch (response.status) {
    case TransferStatus::kConnectFailed:
    case TransferStatus::kNotSent:
      return KvStatus::kUnavailable;
    case TransferStatus::kFailed:
    case TransferStatus::kTimedOut:
    case TransferStatus::kTooLarge:
      return KvStatus::kUnknown;
    case TransferStatus::kAnswered:
      break;
  }
  switch (response.http_status) {
    case 200:
      return KvStatus::kOk;
    case 204:
      return KvStatus::kUnchanged;
    case 404:
      return KvStatus::kNotFound;
    case 409:
      return KvStatus::kConflict;
    case 503:
      return KvStatus::kUnavailable;
    default:
      return KvStatus::kUnknown;
  }
}

KvReply ReadReply(const HttpResponse& response) {
  KvReply reply;
  reply.status = StatusOf(response);
  if (reply.status != KvStatus::kOk && reply.status != KvStatus::kConflict)
    return reply;
  const Json json = Json::parse(response.body, nullptr, false);
  if (!json.is_object() || !json.contains("revision") ||
      !json["revision"].is_number_unsigned()) {
    reply.status = KvStatus::kUnknown;
    return reply;
  }
  reply.revision = json["revision"];
  if (json.contains("value") && json["value"].is_string())
    reply.value = json["value"];
  return reply;
}

PlatformList ReadList(const Json& json) {
  PlatformList list;
  for (const auto& entry : json.at("instances")) {
    MemberUpdate instance;
    instance.name = entry.at("name");
    instance.data_centre = entry.at("data_centre");
    instance.peer_address = entry.at("peer_address");
    instance.state = entry.value("state", "live") == "leaving"
                         ? MemberState::kLeft
                         : MemberState::kAlive;
    list.instances.push_back(std::move(instance));
  }
  for (const auto& entry : json.at("targets")) {
    if (entry.at("state") == "leaving")
      list.leaving_targets.push_back(entry.at("name"));
  }
  return list;
}

}  // namespace

PlatformClient::PlatformClient(std::string address, HttpClient* http)
    : address_(std::move(address)), http_(http), next_tag_(kFirstPlatformTag) {}

HttpRequest PlatformClient::MakeRequest(const KvCall& call) {
  HttpRequest request;
  request.tag = next_tag_++;
  request.address = address_;
  request.timeout = kCallTimeout;
  switch (call.kind) {
    case KvCallKind::kRead:
      request.path = "/v1/kv?key=" + call.key;
      break;
    case KvCallKind::kWatch:
      request.path = "/v1/kv/watch?key=" + call.key +
                     "&after=" + std::to_string(call.expected_revision) +
                     "&wait_ms=" + std::to_string(WholeMillis(kWatchWait));
      request.timeout = kWatchWait + kCallTimeout;
      break;
    case KvCallKind::kWrite:
    case KvCallKind::kErase: {
      const bool write = call.kind == KvCallKind::kWrite;
      request.method = "POST";
      request.path = write ? "/v1/kv/write" : "/v1/kv/erase";
      Json body = {{"key", call.key},
                   {"expected_revision", call.expected_revision}};
      if (write)
        body["value"] = call.value;
      request.body = body.dump();
      break;
    }
  }
  return request;
}

void PlatformClient::Call(const KvCall& call, KvHandler handler) {
  const bool queued =
      http_->Send(MakeRequest(call), [handler](const HttpResponse& response) {
        handler(ReadReply(response));
      });
  if (!queued)
    handler({KvStatus::kUnavailable, 0, std::string()});
}

void PlatformClient::List(ListHandler handler) {
  HttpRequest request;
  request.tag = next_tag_++;
  request.address = address_;
  request.path = "/v1/instances";
  request.timeout = kCallTimeout;
  const bool queued =
      http_->Send(std::move(request), [handler](const HttpResponse& response) {
        if (StatusOf(response) != KvStatus::kOk)
          return handler(std::nullopt);
        try {
          handler(ReadList(Json::parse(response.body)));
        } catch (const Json::exception&) {
          handler(std::nullopt);
        }
      });
  if (!queued)
    handler(std::nullopt);
}

}  // namespace limpetrudder
