#include "testing/soak/server_stand_in.h"

#include <utility>

#include <nlohmann/json.hpp>

#include "framework/clock.h"
#include "framework/hash.h"
#include "net/http_text.h"

namespace limpetrudder::testbed {
namespace {

constexpr std::int64_t kServiceMicros = 4000;
constexpr int kSlots = 2;
constexpr int kMaxWaiting = 30;
constexpr int kRecordCount = 8;

// How long a server runs a request of death before it crashes.
constexpr Duration kCrashDelay = Millis(15);

// The Retry-After of kBackoff, and how many requests of each instance may
// arrive before a refusal takes effect: the refused one and two that are
// already on their way.
constexpr Duration kBackoffTime = Millis(1500);
constexpr int kArrivalsPerRefusal = 3;

}  // namespace

std::string PartRecords(const std::string& service,
                        const std::string& request_id) {
  std::string records;
  for (std::uint64_t i = 0; i < kRecordCount; ++i)
    records +=
        Sha256Hex(service + request_id + std::to_string(i)).substr(0, 16);
  return records;
}

std::string PartSignature(const std::string& service,
                          const std::string& request_id) {
  return service + "." + request_id;
}

ServerStandIn::ServerStandIn(asio::io_context* context,
                             std::string id,
                             std::string service,
                             std::uint16_t port,
                             std::uint16_t public_port,
                             ServerCounters* counters,
                             std::uint64_t seed)
    : context_(context),
      id_(std::move(id)),
      service_(std::move(service)),
      public_port_(public_port),
      counters_(counters),
      random_(seed),
      http_(
          [&] {
            HttpServerSettings settings;
            settings.address = "127.0.0.1";
            settings.port = port;
            settings.context = context;
            return settings;
          }(),
          [this](const ServerRequest& request, Responder respond) {
            OnRequest(request, std::move(respond));
          },
          nullptr) {
  if (const auto started = http_.Start(); !started)
    throw std::runtime_error(started.error().message);
}

std::string ServerStandIn::StoreValue(std::uint64_t sequence) const {
  return nlohmann::json(
             {{"Service", service_},
              {"Address", "127.0.0.1:" + std::to_string(public_port_)},
              {"Zone", "here"},
              {"Version", "v1"},
              {"Slots", kSlots},
              {"State", draining_ ? "draining" : "ready"},
              {"WarmupLeftMs", 0},
              {"Sequence", sequence},
              {"born", start_time_ms_}})
      .dump();
}

void ServerStandIn::SetDraining(bool draining) {
  // NOTE A server that is ready again after a drain counts as a new process, so
  // its start time changes.
  start_time_ms_ += draining_ && !draining ? 1 : 0;
  draining_ = draining;
  if (!draining)
    drain_deadline_ = kNever;
}

void ServerStandIn::SetFault(ServerFault fault, int instances) {
  fault_ = fault;
  instances_ = instances;
  backoff_start_ = SteadyNow();
  backoff_arrivals_ = 0;
}

void ServerStandIn::CountBackoffArrival() {
  ++backoff_arrivals_;
  // NOTE An instance that was restarted meanwhile doesn't know of the backoff
  // and needs a refusal again.
  const auto refusals =
      2 + static_cast<int>((SteadyNow() - backoff_start_) / kBackoffTime);
  if (backoff_arrivals_ > instances_ * kArrivalsPerRefusal * refusals)
    ++counters_->arrivals_during_backoff;
}

void ServerStandIn::Crash() {
  auto timer = std::make_shared<asio::steady_timer>(*context_);
  timer->expires_after(kCrashDelay);
  timer->async_wait([this, timer](const asio::error_code&) { on_crash_(); });
}

void ServerStandIn::OnRequest(const ServerRequest& request, Responder respond) {
  ServerResponse response;
  response.content_type = "application/octet-stream";
  if (draining_)
    response.headers.push_back({"Server-Leaving", "1"});
  if (fault_ == ServerFault::kBackoff)
    CountBackoffArrival();
  if (request.path == "/healthz") {
    response.status = draining_ || fault_ == ServerFault::kHang ? 503 : 200;
    return respond(std::move(response));
  }
  if (HeaderValue(request.headers, "Target-Instance") != id_) {
    ++counters_->misdirected;
    response.status = 421;
    return respond(std::move(response));
  }
  ++counters_->arrivals;
  if (SteadyNow() > drain_deadline_)
    ++counters_->arrivals_after_drain;
  const bool refused = running_ >= kSlots + kMaxWaiting ||
                       fault_ == ServerFault::kBackoff ||
                       (fault_ == ServerFault::kRefuse && random_.Unit() < 0.7);
  const std::string request_id(HeaderValue(request.headers, "Request-Id"));
  response.headers.push_back({"Request-Id", request_id});
  if (refused) {
    response.status = 503;
    response.headers.push_back({"Not-Executed", "1"});
    if (fault_ == ServerFault::kBackoff)
      response.headers.push_back({"Retry-After", "1.5"});
    return respond(std::move(response));
  }
  ++counters_->runs[request_id + "@" + service_];
  if (request.path.ends_with(kDeadlyPath)) {
    counters_->deadly_arrivals.push_back(SteadyNow());
    return Crash();
  }
  response.status = fault_ == ServerFault::kFail ? 500 : 200;
  response.headers.push_back(
      {"Server-Stamp", PartSignature(service_, request_id)});
  response.body = PartRecords(service_, request_id);
  const int factor = fault_ == ServerFault::kSlow ? 10 : 1;
  const int rounds = ++running_ / kSlots + 1;
  const auto work = static_cast<std::int64_t>(
      static_cast<double>(kServiceMicros) * (0.5 + random_.Unit()));
  auto timer = std::make_shared<asio::steady_timer>(*context_);
  timer->expires_after(Duration(work * factor * rounds));
  const bool hangs = fault_ == ServerFault::kHang;
  timer->async_wait(
      [this, timer, hangs, respond = std::move(respond),
       response = std::move(response)](const asio::error_code&) mutable {
        --running_;
        if (!hangs)
          respond(std::move(response));
      });
}

}  // namespace limpetrudder::testbed
