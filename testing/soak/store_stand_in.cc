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

constexpr std::size_t kMaxHistory = 2000;
constexpr std::size_t kMaxHistoryBytes = 32 << 20;
constexpr std::size_t kMaxCopies = 30;
constexpr int kPageItems = 40;  // Small, so that listings take several pages.

constexpr char kRenewLeasePath[] = "/limpetrudder/kv-keep/";
constexpr char kEndLeasePath[] = "/limpetrudder/kv-lease-end/";

std::uint64_t ParseNumber(std::string_view text) {
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
  ServerResponse response =
      refusing_ ? Reply(503, Json::object()) : HandleRequest(request);
  response.headers.push_back({"Store-Era", std::to_string(era_)});
  // NOTE A connection whose request gets no response stays open for a while.
  if (!losing_replies_)
    respond(std::move(response));
}

ServerResponse StoreStandIn::HandleRequest(const ServerRequest& request) {
  ExpireLeases();
  if (request.path == "/limpetrudder/kv-range")
    return List(request);
  if (request.path == "/limpetrudder/kv-watch")
    return Changes(request);
  if (request.path.starts_with(kRenewLeasePath))
    return Renew(ParseNumber(request.path.substr(sizeof(kRenewLeasePath) - 1)));
  if (request.path.starts_with(kEndLeasePath)) {
    EndLease(ParseNumber(request.path.substr(sizeof(kEndLeasePath) - 1)));
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
  auto item =
      after.empty() ? state_.items.begin() : state_.items.upper_bound(after);
  for (; item != state_.items.end() && items.size() < kPageItems; ++item) {
    items.push_back({{"Key", item->first},
                     {"Value", EncodeBase64(item->second.value)},
                     {"Revision", item->second.revision},
                     {"Lease", item->second.lease}});
  }
  return Reply(200, {{"items", items},
                     {"HasMore", item != state_.items.end()},
                     {"StoreRevision", state_.revision}});
}

ServerResponse StoreStandIn::Changes(const ServerRequest& request) const {
  const std::uint64_t after =
      ParseNumber(QueryField(request.query, "after").value_or(""));
  if (after < compacted_revision_ || after > state_.revision)
    return Reply(410, Json::object());
  Json events = Json::array();
  for (const auto& event : history_) {
    if (event["Revision"].get<std::uint64_t>() > after)
      events.push_back(event);
  }
  return Reply(200, {{"events", events}, {"StoreRevision", state_.revision}});
}

ServerResponse StoreStandIn::Commit(const Json& body) {
  for (const auto& row : body["ExpectRev"]) {
    const auto found = state_.items.find(row["Key"]);
    const std::uint64_t current =
        found == state_.items.end() ? 0 : found->second.revision;
    if (current != row["Revision"].get<std::uint64_t>())
      return Reply(412, {{"items", Json::array()}});
  }
  for (const auto& row : body["Writes"]) {
    const std::uint64_t lease = row.value("Lease", std::uint64_t{0});
    if (lease != 0 && state_.leases.count(lease) == 0)
      return Reply(404, Json::object());
    Write(row["Key"], DecodeBase64(row["Value"].get<std::string>()).value(),
          lease);
  }
  for (const auto& key : body["Deletes"])
    Erase(key);
  return Reply(200, {{"Revision", state_.revision}});
}

ServerResponse StoreStandIn::Grant(const Json& body) {
  const Duration ttl = Millis(body["TtlMs"].get<std::int64_t>());
  state_.leases[state_.next_lease] = {ttl, SteadyNow() + ttl};
  return Reply(200,
               {{"Lease", state_.next_lease++}, {"TtlMs", WholeMillis(ttl)}});
}

ServerResponse StoreStandIn::Renew(std::uint64_t lease) {
  const auto found = state_.leases.find(lease);
  if (found == state_.leases.end())
    return Reply(404, Json::object());
  found->second.expiry = SteadyNow() + found->second.ttl;
  return Reply(200, {{"TtlMs", WholeMillis(found->second.ttl)}});
}

void StoreStandIn::EndLease(std::uint64_t lease) {
  state_.leases.erase(lease);
  std::vector<std::string> keys;
  for (const auto& [key, item] : state_.items) {
    if (item.lease == lease)
      keys.push_back(key);
  }
  for (const auto& key : keys)
    Erase(key);
}

void StoreStandIn::ExpireLeases() {
  const Time now = SteadyNow();
  std::vector<std::uint64_t> expired;
  for (const auto& [id, lease] : state_.leases) {
    if (lease.expiry <= now)
      expired.push_back(id);
  }
  for (const std::uint64_t id : expired)
    EndLease(id);
}

void StoreStandIn::Put(const std::string& key, const std::string& value) {
  Write(key, value, 0);
}

void StoreStandIn::Write(const std::string& key,
                         std::string value,
                         std::uint64_t lease) {
  ++state_.revision;
  Record({{"Key", key},
          {"Value", EncodeBase64(value)},
          {"Revision", state_.revision},
          {"Lease", lease}});
  state_.items[key] = {std::move(value), state_.revision, lease};
}

void StoreStandIn::Erase(const std::string& key) {
  if (state_.items.erase(key) == 0)
    return;
  ++state_.revision;
  Record({{"Key", key}, {"Revision", state_.revision}, {"Deleted", true}});
}

void StoreStandIn::Record(Json change) {
  history_bytes_ += change.value("Value", std::string()).size();
  history_.push_back(std::move(change));
  TrimHistory();
}

void StoreStandIn::TrimHistory() {
  while (history_.size() > kMaxHistory || history_bytes_ > kMaxHistoryBytes) {
    const Json& oldest = history_.front();
    compacted_revision_ = oldest["Revision"];
    history_bytes_ -= oldest.value("Value", std::string()).size();
    history_.pop_front();
  }
}

void StoreStandIn::CompactHistory() {
  history_.clear();
  history_bytes_ = 0;
  compacted_revision_ = state_.revision;
}

void StoreStandIn::SaveCopy() {
  copies_.push_back(state_);
  copies_.back().saved_at = SteadyNow();
  if (copies_.size() > kMaxCopies)
    copies_.pop_front();
}

void StoreStandIn::Restore(Duration age) {
  const Time newest_allowed = SteadyNow() - age;
  while (copies_.size() > 1 && copies_.back().saved_at > newest_allowed)
    copies_.pop_back();
  if (copies_.empty())
    return;
  state_ = copies_.back();
  CompactHistory();
  ++era_;
}

}  // namespace limpetrudder::testbed
