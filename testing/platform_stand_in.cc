#include "testing/platform_stand_in.h"

#include <memory>
#include <utility>

namespace limpetrudder::testbed {
namespace {

using Clock = std::chrono::steady_clock;

constexpr std::size_t kMaxValueBytes = 1'000'000;
constexpr std::chrono::milliseconds kExpiryInterval{50};

std::string QueryValue(const std::string& query, const std::string& name) {
  const std::string prefix = name + "=";
  std::size_t begin = 0;
  while (begin < query.size()) {
    const std::size_t end = std::min(query.find('&', begin), query.size());
    if (query.compare(begin, prefix.size(), prefix) == 0)
      return query.substr(begin + prefix.size(), end - begin - prefix.size());
    begin = end + 1;
  }
  return std::string();
}

ServerResponse Reply(int status, const nlohmann::json& body) {
  return {status, body.dump()};
}

}  // namespace

PlatformStandIn::PlatformStandIn(asio::io_context* context,
                                 const std::string& address)
    : context_(context),
      expiry_timer_(*context),
      http_(context, address, [this](ServerRequest request, Responder respond) {
        OnRequest(std::move(request), std::move(respond));
      }) {
  list_versions_.push_back(
      {Clock::now(),
       {{"instances", Json::array()}, {"targets", Json::array()}}});
  ScheduleExpiry();
}

void PlatformStandIn::ScheduleExpiry() {
  expiry_timer_.expires_after(kExpiryInterval);
  expiry_timer_.async_wait([this](const asio::error_code& error) {
    if (error)
      return;
    ExpireWatchesAndLeases();
    ScheduleExpiry();
  });
}

void PlatformStandIn::ExpireWatchesAndLeases() {
  const auto now = Clock::now();
  for (auto watch = watches_.begin(); watch != watches_.end();) {
    if (watch->expiry > now) {
      ++watch;
      continue;
    }
    watch->respond({204, ""});
    watch = watches_.erase(watch);
  }
  for (auto lease = leases_.begin(); lease != leases_.end();) {
    if (lease->second.expiry > now) {
      ++lease;
      continue;
    }
    std::erase_if(items_, [&](const auto& item) {
      return item.second.lease == lease->first;
    });
    lease = leases_.erase(lease);
  }
}

void PlatformStandIn::OnRequest(ServerRequest request, Responder respond) {
  if (request.path.rfind("/admin/", 0) == 0)
    return OnAdmin(request, respond);
  ++calls_[request.path];
  if (outage_)
    return respond(Reply(503, {{"error", "outage"}}));
  if (delay_.count() == 0)
    return HandleCall(request, std::move(respond));
  auto timer = std::make_shared<asio::steady_timer>(*context_, delay_);
  timer->async_wait([this, timer, request, respond](const asio::error_code&) {
    HandleCall(request, respond);
  });
}

void PlatformStandIn::OnAdmin(const ServerRequest& request,
                              const Responder& respond) {
  const Json body = Json::parse(request.body, nullptr, false);
  if (request.path == "/admin/faults") {
    outage_ = body.value("outage", outage_);
    delay_ = std::chrono::milliseconds(
        body.value("delay_ms", static_cast<std::int64_t>(delay_.count())));
    lose_replies_ = body.value("lose_replies", lose_replies_);
    list_lag_ = std::chrono::milliseconds(body.value(
        "list_lag_ms", static_cast<std::int64_t>(list_lag_.count())));
  } else if (request.path == "/admin/list") {
    list_versions_.push_back({Clock::now(), body});
  } else if (request.path == "/admin/save") {
    saved_values_.clear();
    for (const auto& [key, item] : items_)
      saved_values_[key] = item.value;
  } else if (request.path == "/admin/restore") {
    items_.clear();
    for (const auto& [key, value] : saved_values_)
      Put(key, value, 0);
  } else if (request.path == "/admin/counters") {
    Json counters = calls_;
    counters["waiting_watches"] = watches_.size();
    counters["keys"] = items_.size();
    return respond(Reply(200, counters));
  }
  respond(Reply(200, Json::object()));
}

void PlatformStandIn::HandleCall(const ServerRequest& request,
                                 Responder respond) {
  if (request.path == "/v1/kv") {
    const auto found = items_.find(QueryValue(request.query, "key"));
    if (found == items_.end())
      return respond(Reply(404, {{"revision", 0}}));
    return respond(Reply(200, {{"revision", found->second.revision},
                               {"value", found->second.value}}));
  }
  if (request.path == "/v1/kv/watch") {
    const std::string key = QueryValue(request.query, "key");
    const std::uint64_t after = std::stoull(QueryValue(request.query, "after"));
    const std::chrono::milliseconds wait(
        std::stoll(QueryValue(request.query, "wait_ms")));
    watches_.push_back({key, after, Clock::now() + wait, std::move(respond)});
    return NotifyWatches(key);
  }
  if (request.path == "/v1/instances")
    return respond(VisibleList());
  const Json body = Json::parse(request.body, nullptr, false);
  if (body.is_discarded())
    return respond(Reply(400, {{"error", "not JSON"}}));
  ServerResponse response;
  if (request.path == "/v1/kv/write" || request.path == "/v1/kv/erase")
    response = Write(body, request.path == "/v1/kv/erase", &respond);
  else if (request.path.rfind("/v1/leases", 0) == 0)
    response = GrantOrRenewLease(request.path, body);
  else
    response = Reply(404, {{"error", "no such path"}});
  if (respond)
    respond(std::move(response));
}

ServerResponse PlatformStandIn::Write(const Json& body,
                                      bool erase,
                                      Responder* respond) {
  const std::string key = body.at("key");
  const std::uint64_t expected = body.at("expected_revision");
  const auto found = items_.find(key);
  const std::uint64_t current =
      found == items_.end() ? 0 : found->second.revision;
  if (current != expected)
    return Reply(409, {{"revision", current}});
  const std::string value = body.value("value", std::string());
  if (value.size() > kMaxValueBytes)
    return Reply(413, {{"error", "value too large"}});
  if (erase)
    items_.erase(key);
  else
    Put(key, value, body.value("lease", std::uint64_t{0}));
  if (lose_replies_ > 0) {
    // NOTE The write has taken effect, but its reply is held back for 60
    // seconds and then dropped.
    --lose_replies_;
    auto timer = std::make_shared<asio::steady_timer>(*context_,
                                                      std::chrono::seconds(60));
    timer->async_wait(
        [timer, unanswered = std::move(*respond)](const asio::error_code&) {});
    *respond = nullptr;
    return {};
  }
  return Reply(200, {{"revision", erase ? 0 : last_revision_}});
}

void PlatformStandIn::Put(const std::string& key,
                          std::string value,
                          std::uint64_t lease) {
  items_[key] = {++last_revision_, std::move(value), lease};
  NotifyWatches(key);
}

void PlatformStandIn::NotifyWatches(const std::string& key) {
  const auto found = items_.find(key);
  if (found == items_.end())
    return;
  for (auto watch = watches_.begin(); watch != watches_.end();) {
    // NOTE Any other revision ends a watch, also a lower one after a restore.
    if (watch->key != key || watch->after == found->second.revision) {
      ++watch;
      continue;
    }
    watch->respond(Reply(200, {{"revision", found->second.revision},
                               {"value", found->second.value}}));
    watch = watches_.erase(watch);
  }
}

ServerResponse PlatformStandIn::GrantOrRenewLease(const std::string& path,
                                                  const Json& body) {
  if (path == "/v1/leases") {
    const std::chrono::milliseconds ttl(body.at("ttl_ms").get<int>());
    leases_[next_lease_] = {ttl, Clock::now() + ttl};
    return Reply(200, {{"lease", next_lease_++}});
  }
  const auto found = leases_.find(body.at("lease"));
  if (found == leases_.end())
    return Reply(404, {{"error", "the lease has lapsed"}});
  found->second.expiry = Clock::now() + found->second.ttl;
  return Reply(200, {{"lease", found->first}});
}

ServerResponse PlatformStandIn::VisibleList() {
  const auto visible = Clock::now() - list_lag_;
  while (list_versions_.size() > 1 && list_versions_[1].at <= visible)
    list_versions_.pop_front();
  return Reply(200, list_versions_.front().list);
}

}  // namespace limpetrudder::testbed
