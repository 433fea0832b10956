#include "testing/soak/store_stand_in.h"

#include <charconv>
#include <string_view>
#include <utility>
#include <vector>

#include "framework/base64.h"
#include "framework/clock.h"
#include "net/http_text.h"

namespace limpetrudder::testbed {
namespace {

using Json = nlohmann::json;

constexpr std::size_t kMostHistory = 2000;
constexpr int kPageItems = 40;  // Small, so that pages are tested.

constexpr char kRenewPath[] = "/limpetrudder/kv-keep/";
constexpr char kEndPath[] = "/limpetrudder/kv-lease-end/";

std::uint64_t NumberOf(std::string_view text) {
  std::uint64_t number = 0;
  std::from_chars(text.data(), text.data() + text.size(), number);
  return number;
}

ServerResponse Reply(int status, const Json& body) {
  ServerResponse response;
  response.status = status;
  response.body = body.dump();
  return response;
}

}  // namespace

StoreStandIn::StoreStandIn(asio::io_context* context, std::uint16_t port)
    : http_(
          [&] {
            HttpServerSettings settings;
            settings.address = "127.0.0.1";
            settings.port = port;
            settings.context = context;
            return settings;
          }(),
          [this](const ServerRequest& request, const Responder& respond) {
            OnRequest(request, respond);
          },
          nullptr) {
  if (const auto started = http_.Start(); !started)
    throw std::runtime_error(started.error().message);
}

void StoreStandIn::OnRequest(const ServerRequest& request,
                             const Responder& respond) {
  ++calls_;
  if (refusing_)
    return respond(Reply(503, Json::object()));
  ServerResponse response = Answer(request);
  // NOTE RESTinio closes a connection whose request is never answered.
  if (!losing_)
    respond(std::move(response));
}

ServerResponse StoreStandIn::Answer(const ServerRequest& request) {
  ExpireLeases();
  if (request.path == "/limpetrudder/kv-range")
    return List(request);
  if (request.path == "/limpetrudder/kv-watch")
    return Changes(request);
  if (request.path.starts_with(kRenewPath))
    return Renew(NumberOf(request.path.substr(sizeof(kRenewPath) - 1)));
  if (request.path.starts_with(kEndPath)) {
    EndLease(NumberOf(request.path.substr(sizeof(kEndPath) - 1)));
    return Reply(200, Json::object());
  }
  const Json body = Json::parse(request.body, nullptr, false);
  if (body.is_discarded())
    return Reply(400, Json::object());
  if (request.path == "/limpetrudder/kv-txn")
    return Commit(body);
  if (request.path == "/limpetrudder/kv-lease")
    return Grant(body);
  return Reply(404, Json::object());
}

ServerResponse StoreStandIn::List(const ServerRequest& request) const {
  Json items = Json::array();
  const std::string after = QueryField(request.query, "after").value_or("");
  auto item = after.empty() ? items_.begin() : items_.upper_bound(after);
  for (; item != items_.end() && items.size() < kPageItems; ++item) {
    items.push_back({{"Key", item->first},
                     {"Value", EncodeBase64(item->second.value)},
                     {"Revision", item->second.revision},
                     {"Lease", item->second.lease}});
  }
  return Reply(200, {{"items", items},
                     {"HasMore", item != items_.end()},
                     {"StoreRevision", revision_}});
}

ServerResponse StoreStandIn::Changes(const ServerRequest& request) const {
  const std::uint64_t after =
      NumberOf(QueryField(request.query, "after").value_or(""));
  if (after < floor_)
    return Reply(410, Json::object());
  Json events = Json::array();
  for (const auto& event : history_) {
    if (event["Revision"].get<std::uint64_t>() > after)
      events.push_back(event);
  }
  return Reply(200, {{"events", events}, {"StoreRevision", revision_}});
}

ServerResponse StoreStandIn::Commit(const Json& body) {
  for (const auto& row : body["ExpectRev"]) {
    const auto found = items_.find(row["Key"]);
    const std::uint64_t current =
        found == items_.end() ? 0 : found->second.revision;
    if (current != row["Revision"].get<std::uint64_t>())
      return Reply(412, {{"items", Json::array()}});
  }
  for (const auto& row : body["Writes"]) {
    const std::uint64_t lease = row.value("Lease", std::uint64_t{0});
    if (lease != 0 && leases_.count(lease) == 0)
      return Reply(404, Json::object());
    Write(row["Key"], DecodeBase64(row["Value"].get<std::string>()).value(),
          lease);
  }
  for (const auto& key : body["Deletes"])
    Erase(key);
  return Reply(200, {{"Revision", revision_}});
}

ServerResponse StoreStandIn::Grant(const Json& body) {
  const Duration ttl = Millis(body["TtlMs"].get<std::int64_t>());
  leases_[next_lease_] = {ttl, SteadyNow() + ttl};
  return Reply(200, {{"Lease", next_lease_++}, {"TtlMs", WholeMillis(ttl)}});
}

ServerResponse StoreStandIn::Renew(std::uint64_t lease) {
  const auto found = leases_.find(lease);
  if (found == leases_.end())
    return Reply(404, Json::object());
  found->second.until = SteadyNow() + found->second.ttl;
  return Reply(200, {{"TtlMs", WholeMillis(found->second.ttl)}});
}

void StoreStandIn::EndLease(std::uint64_t lease) {
  leases_.erase(lease);
  std::vector<std::string> keys;
  for (const auto& [key, item] : items_) {
    if (item.lease == lease)
      keys.push_back(key);
  }
  for (const auto& key : keys)
    Erase(key);
}

void StoreStandIn::ExpireLeases() {
  const Time now = SteadyNow();
  std::vector<std::uint64_t> ended;
  for (const auto& [id, lease] : leases_) {
    if (lease.until <= now)
      ended.push_back(id);
  }
  for (const std::uint64_t id : ended)
    EndLease(id);
}

void StoreStandIn::Put(const std::string& key, const std::string& value) {
  Write(key, value, 0);
}

void StoreStandIn::Write(const std::string& key,
                         std::string value,
                         std::uint64_t lease) {
  ++revision_;
  history_.push_back({{"Key", key},
                      {"Value", EncodeBase64(value)},
                      {"Revision", revision_},
                      {"Lease", lease}});
  items_[key] = {std::move(value), revision_, lease};
  if (history_.size() > kMostHistory) {
    floor_ = history_.front()["Revision"];
    history_.pop_front();
  }
}

void StoreStandIn::Erase(const std::string& key) {
  if (items_.erase(key) == 0)
    return;
  ++revision_;
  history_.push_back(
      {{"Key", key}, {"Revision", revision_}, {"Deleted", true}});
}

void StoreStandIn::ForgetHistory() {
  history_.clear();
  floor_ = revision_;
}

}  // namespace limpetrudder::testbed
