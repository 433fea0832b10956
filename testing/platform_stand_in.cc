#include "testing/platform_stand_in.h"

#include <memory>
#include <utility>

namespace limpetrudder::testbed {
namespace {

using Clock = std::chrono::steady_clock;

constexpr std::size_t kMaxValueBytes = 1'000'000;
constexpr std::chrono::milliseconds kTick{50};

std::string ValueOfQuery(const std::string& query, const std::string& name) {
  const std::string wanted = name + "=";
  std::size_t begin = 0;
  while (begin < query.size()) {
    const std::size_t end = std::min(query.find('&', begin), query.size());
    if (query.compare(begin, wanted.size(), wanted) == 0)
      return query.substr(begin + wanted.size(), end - begin - wanted.size());
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
      tick_(*context),
      http_(context, address, [this](ServerRequest request, Responder respond) {
        OnRequest(std::move(request), std::move(respond));
      }) {
  lists_.push_back(
      {Clock::now(),
       {{"instances", Json::array()}, {"targets", Json::array()}}});
  ScheduleTick();
}

void PlatformStandIn::ScheduleTick() {
  tick_.expires_after(kTick);
  tick_.async_wait([this](const asio::error_code& error) {
    if (error)
      return;
    Tick();
    ScheduleTick();
  });
}

void PlatformStandIn::Tick() {
  const auto now = Clock::now();
  for (auto watch = watches_.begin(); watch != watches_.end();) {
    if (watch->until > now) {
      ++watch;
      continue;
    }
    watch->respond({204, ""});
    watch = watches_.erase(watch);
  }
  for (auto lease = leases_.begin(); lease != leases_.end();) {
    if (lease->second.until > now) {
      ++lease;
      continue;
    }
    std::erase_if(entries_, [&](const auto& entry) {
      return entry.second.lease == lease->first;
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
    return OnCall(request, std::move(respond));
  auto timer = std::make_shared<asio::steady_timer>(*context_, delay_);
  timer->async_wait([this, timer, request, respond](const asio::error_code&) {
    OnCall(request, respond);
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
    lists_.push_back({Clock::now(), body});
  } else if (request.path == "/admin/save") {
    saved_.clear();
    for (const auto& [key, entry] : entries_)
      saved_[key] = entry.value;
  } else if (request.path == "/admin/restore") {
    entries_.clear();
    for (const auto& [key, value] : saved_)
      Store(key, value, 0);
  } else if (request.path == "/admin/counters") {
    Json counters = calls_;
    counters["waiting_watches"] = watches_.size();
    counters["keys"] = entries_.size();
    return respond(Reply(200, counters));
  }
  respond(Reply(200, Json::object()));
}

void PlatformStandIn::OnCall(const ServerRequest& request, Responder respond) {
  if (request.path == "/v1/kv") {
    const auto found = entries_.find(ValueOfQuery(request.query, "key"));
    if (found == entries_.end())
      return respond(Reply(404, {{"revision", 0}}));
    return respond(Reply(200, {{"revision", found->second.revision},
                               {"value", found->second.value}}));
  }
  if (request.path == "/v1/kv/watch") {
    const std::string key = ValueOfQuery(request.query, "key");
    const std::uint64_t after =
        std::stoull(ValueOfQuery(request.query, "after"));
    const std::chrono::milliseconds wait(
        std::stoll(ValueOfQuery(request.query, "wait_ms")));
    watches_.push_back({key, after, Clock::now() + wait, std::move(respond)});
    return WakeWatches(key);
  }
  if (request.path == "/v1/instances")
    return respond(List());
  const Json body = Json::parse(request.body, nullptr, false);
  if (body.is_discarded())
    return respond(Reply(400, {{"error", "not JSON"}}));
  ServerResponse response;
  if (request.path == "/v1/kv/write" || request.path == "/v1/kv/erase")
    response = Write(body, request.path == "/v1/kv/erase", &respond);
  else if (request.path.rfind("/v1/leases", 0) == 0)
    response = Lease(request.path, body);
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
  const auto found = entries_.find(key);
  const std::uint64_t current =
      found == entries_.end() ? 0 : found->second.revision;
  if (current != expected)
    return Reply(409, {{"revision", current}});
  const std::string value = body.value("value", std::string());
  if (value.size() > kMaxValueBytes)
    return Reply(413, {{"error", "value too large"}});
  if (erase)
    entries_.erase(key);
  else
    Store(key, value, body.value("lease", std::uint64_t{0}));
  if (lose_replies_ > 0) {
    // NOTE The write has taken effect; its reply never comes.
    --lose_replies_;
    auto timer = std::make_shared<asio::steady_timer>(*context_,
                                                      std::chrono::seconds(60));
    timer->async_wait(
        [timer, held = std::move(*respond)](const asio::error_code&) {});
    *respond = nullptr;
    return {};
  }
  return Reply(200, {{"revision", erase ? 0 : last_revision_}});
}

void PlatformStandIn::Store(const std::string& key,
                            std::string value,
                            std::uint64_t lease) {
  entries_[key] = {++last_revision_, std::move(value), lease};
  WakeWatches(key);
}

void PlatformStandIn::WakeWatches(const std::string& key) {
  const auto found = entries_.find(key);
  if (found == entries_.end())
    return;
  for (auto watch = watches_.begin(); watch != watches_.end();) {
    // NOTE Any other revision wakes a watch, also a lower one after a restore.
    if (watch->key != key || watch->after == found->second.revision) {
      ++watch;
      continue;
    }
    watch->respond(Reply(200, {{"revision", found->second.revision},
                               {"value", found->second.value}}));
    watch = watches_.erase(watch);
  }
}

ServerResponse PlatformStandIn::Lease(const std::string& path,
                                      const Json& body) {
  if (path == "/v1/leases") {
    const std::chrono::milliseconds ttl(body.at("ttl_ms").get<int>());
    leases_[next_lease_] = {ttl, Clock::now() + ttl};
    return Reply(200, {{"lease", next_lease_++}});
  }
  const auto found = leases_.find(body.at("lease"));
  if (found == leases_.end())
    return Reply(404, {{"error", "the lease has lapsed"}});
  found->second.until = Clock::now() + found->second.ttl;
  return Reply(200, {{"lease", found->first}});
}

ServerResponse PlatformStandIn::List() {
  const auto visible = Clock::now() - list_lag_;
  while (lists_.size() > 1 && lists_[1].at <= visible)
    lists_.pop_front();
  return Reply(200, lists_.front().list);
}

}  // namespace limpetrudder::testbed
