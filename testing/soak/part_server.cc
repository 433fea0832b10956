#include "testing/soak/part_server.h"

#include <utility>

#include <nlohmann/json.hpp>

#include "framework/clock.h"
#include "framework/hash.h"
#include "net/http_text.h"

namespace limpetrudder::testbed {
namespace {

constexpr std::int64_t kWorkMicros = 4000;
constexpr int kSlots = 2;
constexpr int kMostWaiting = 30;
constexpr int kRecords = 8;

// What a server asks for, and how many requests of each caller it gets for one
// refusal: the refused one and two that were on their way.
constexpr Duration kBackoffTime = Millis(1500);
constexpr int kArrivalsPerRefusal = 3;

}  // namespace

std::string PartRecords(const std::string& service,
                        const std::string& request_id) {
  std::string records;
  for (std::uint64_t i = 0; i < kRecords; ++i)
    records +=
        Sha256Hex(service + request_id + std::to_string(i)).substr(0, 16);
  return records;
}

std::string PartSignature(const std::string& service,
                          const std::string& request_id) {
  return service + "." + request_id;
}

PartServer::PartServer(asio::io_context* context,
                       std::string id,
                       std::string service,
                       std::uint16_t port,
                       ServerLedger* ledger,
                       std::uint64_t seed)
    : context_(context),
      id_(std::move(id)),
      service_(std::move(service)),
      port_(port),
      ledger_(ledger),
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

std::string PartServer::Entry(std::uint64_t sequence) const {
  return nlohmann::json({{"Service", service_},
                         {"Address", "127.0.0.1:" + std::to_string(port_)},
                         {"Zone", "here"},
                         {"Version", "v1"},
                         {"Slots", kSlots},
                         {"State", draining_ ? "draining" : "ready"},
                         {"WarmupLeftMs", 0},
                         {"Sequence", sequence},
                         {"born", started_ms_}})
      .dump();
}

void PartServer::SetDraining(bool draining) {
  // NOTE Whoever takes work again after it left is another process.
  started_ms_ += draining_ && !draining ? 1 : 0;
  draining_ = draining;
  if (!draining)
    late_after_ = kNever;
}

void PartServer::SetFault(ServerFault fault, int callers) {
  fault_ = fault;
  callers_ = callers;
  backoff_began_ = SteadyNow();
  backoff_arrivals_ = 0;
}

void PartServer::CountBackoffArrival() {
  ++backoff_arrivals_;
  // NOTE An instance that was restarted meanwhile learns anew.
  const auto rounds =
      2 + static_cast<int>((SteadyNow() - backoff_began_) / kBackoffTime);
  if (backoff_arrivals_ > callers_ * kArrivalsPerRefusal * rounds)
    ++ledger_->pressed_arrivals;
}

void PartServer::OnRequest(const ServerRequest& request, Responder respond) {
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
    ++ledger_->misdirected;
    response.status = 421;
    return respond(std::move(response));
  }
  ++ledger_->arrivals;
  if (SteadyNow() > late_after_)
    ++ledger_->late_arrivals;
  const bool refused = running_ >= kSlots + kMostWaiting ||
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
  ++ledger_->runs[request_id + "@" + service_];
  response.status = fault_ == ServerFault::kFail ? 500 : 200;
  response.headers.push_back(
      {"Server-Stamp", PartSignature(service_, request_id)});
  response.body = PartRecords(service_, request_id);
  const int factor = fault_ == ServerFault::kSlow ? 10 : 1;
  const int rounds = ++running_ / kSlots + 1;
  const auto work = static_cast<std::int64_t>(static_cast<double>(kWorkMicros) *
                                              (0.5 + random_.Unit()));
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
