#include "app/entry_app.h"

#include <thread>
#include <utility>

#include "app/connection_shares.h"
#include "app/settings.h"
#include "framework/clock.h"
#include "framework/hash.h"
#include "framework/http_status.h"
#include "framework/logger.h"
#include "net/forward_codec.h"
#include "net/quarantine_codec.h"
#include "net/quota_codec.h"
#include "platform/feed_codec.h"

namespace limpetrudder {
namespace {

constexpr std::size_t kDispatchQueueCapacity = 4096;
constexpr std::size_t kDiscoveryQueueCapacity = 256;
constexpr std::size_t kHttpClientQueueCapacity = 64;

// The interval between two reads of the changes in the store. Together with the
// timeout of a call and one hop to another instance, it stays below the
// shortest time within which a drain must take effect, 3 s.
constexpr Duration kReadInterval = Millis(1000);

// The time until the load balancer takes out an instance that isn't ready: it
// checks each instance once a second and takes it out after two failed checks.
constexpr Duration kBalancerDetectionTime = Millis(2700);

// How long a stopping instance stays listed, since instances that have lost the
// servers may need it. Others learn within a second that it is gone, about when
// it takes no more calls.
constexpr Duration kListedWhileStopping = Millis(2200);

// How long an instance without calls in flight still waits before it exits:
// after its last answer, a caller may send one more request on a persistent
// connection.
constexpr Duration kIdleBeforeExit = Millis(300);

// The part of the stop bound that is reserved for the end of the process.
constexpr Duration kExitTime = Millis(600);
constexpr Duration kStopPollInterval = Millis(20);

// Time for the last answers to be sent; a part of kExitTime.
constexpr Duration kFinalAnswerTime = Millis(200);

// Limits for requests of other instances. A forwarded call is a caller's
// message, whose size the forwarding instance has checked, with additional
// headers and names of shards.
constexpr std::size_t kMaxPeerHeaderBytes = 256 << 10;
constexpr std::size_t kMaxPeerBodyBytes = 32 << 20;

HttpServerSettings MakeServerSettings(const std::string& address,
                                      const ConnectionLimits& connections,
                                      asio::io_context* context) {
  const Endpoint endpoint = SplitAddress(address);
  HttpServerSettings settings;
  settings.address = endpoint.ip;
  settings.port = endpoint.port;
  settings.context = context;
  settings.connections = connections;
  return settings;
}

HttpServerSettings MakePeerServerSettings(const std::string& address,
                                          const ConnectionLimits& connections,
                                          asio::io_context* context) {
  HttpServerSettings settings =
      MakeServerSettings(address, connections, context);
  settings.max_header_bytes = kMaxPeerHeaderBytes;
  settings.max_body_bytes = kMaxPeerBodyBytes;
  return settings;
}

// Returns the limit on incomplete server responses: a quarter of the memory. In
// normal operation they take a few megabytes.
std::size_t MaxBufferedBytes(const EntrySettings& settings) {
  return static_cast<std::size_t>(settings.memory_mb * 0x1p20 / 4);
}

InstanceEntry OwnEntry(const EntrySettings& settings) {
  InstanceEntry own;
  own.name = settings.instance;
  own.data_centre = settings.data_centre;
  own.peer_address = settings.peer_address;
  own.cores = settings.cores;
  own.link_mbps = settings.link_mbps;
  return own;
}

DiscoverySettings MakeDiscoverySettings(const EntrySettings& settings) {
  DiscoverySettings discovery;
  discovery.follower.interval = kReadInterval;
  discovery.follower.seed = Hash64(settings.instance);
  discovery.own = OwnEntry(settings);
  discovery.regions = settings.regions;
  discovery.decode = DecodeStoreItem;
  discovery.confirms_routes = settings.key_confirmation_bound.has_value();
  return discovery;
}

}  // namespace

EntryApp::EntryApp(EntrySettings settings)
    : settings_(std::move(settings)),
      http_client_(kHttpClientQueueCapacity),
      store_client_(settings_.store_address, &http_client_),
      feed_client_(&http_client_),
      dispatch_mailbox_(kDispatchQueueCapacity, &dispatch_duty_),
      discovery_mailbox_(kDiscoveryQueueCapacity, &discovery_duty_),
      dispatch_duty_(
          {OwnEntry(settings_), settings_.regions, settings_.retry_budget,
           settings_.warmup,
           Hash64(settings_.instance, static_cast<std::uint64_t>(UnixMillis())),
           settings_.key_confirmation_bound, settings_.quota},
          MaxBufferedBytes(settings_),
          MakeConnectionShares(settings_).callers,
          &state_),
      discovery_duty_(MakeDiscoverySettings(settings_), MakeTransport()),
      ready_server_(
          MakeServerSettings(settings_.ready_address,
                             MakeConnectionShares(settings_).ready,
                             dispatch_mailbox_.context()),
          [this](const ServerRequest&, const Responder& respond) {
            OnReadyRequest(respond);
          },
          nullptr),
      peer_server_(
          MakePeerServerSettings(settings_.peer_address,
                                 MakeConnectionShares(settings_).peers,
                                 dispatch_mailbox_.context()),
          [this](ServerRequest request, Responder respond) {
            if (IsForwarded(request))
              dispatch_duty_.OnForwardedCall(std::move(request),
                                             std::move(respond));
            else
              OnPeerRequest(request, respond);
          },
          [this](std::uint64_t connection) {
            dispatch_duty_.OnPeerConnectionClosed(connection);
          }) {
  discovery_duty_.SetMailboxes(&discovery_mailbox_, &dispatch_mailbox_);
  // NOTE An event that doesn't fit into a full queue is lost; the next contact
  // with the instance brings it again.
  dispatch_duty_.SetNewerRoutesHandler(
      [this](const std::string& instance, std::uint64_t version) {
        discovery_mailbox_.Post(NewerRoutesSeen{instance, version});
      });
}

DiscoveryTransport EntryApp::MakeTransport() {
  DiscoveryTransport transport;
  transport.read_store = [this](const FeedCall& call,
                                StoreClient::Handler handler) {
    state_.metrics().Add("store_reads");
    store_client_.Call(call, std::move(handler));
  };
  transport.call_lease = [this](const LeaseCall& call,
                                StoreClient::LeaseHandler handler) {
    state_.metrics().Add("store_lease_calls");
    store_client_.Call(call, std::move(handler));
  };
  transport.request_feed = [this](const InstanceEntry& instance,
                                  const FeedRequest& feed_request,
                                  FeedClient::Handler handler) {
    feed_client_.Send(instance.peer_address, feed_request, std::move(handler));
  };
  return transport;
}

void EntryApp::OnFeedRequest(const ServerRequest& request,
                             const Responder& respond) {
  const DecodedFeedRequest feed = DecodeFeedRequest(request);
  const bool queued = discovery_mailbox_.Post(FeedRequestReceived{
      feed.request, [this, respond, feed](const FeedReply& reply) {
        respond(feed_encoder_.Encode(reply, feed.accepts_compressed));
      }});
  if (queued)
    return;
  ServerResponse response;
  response.status = http_status::kUnavailable;
  response.body = RefusalBody(ResultCode::kRingFull, "too many questions");
  respond(std::move(response));
}

EntryApp::~EntryApp() {
  StopThreads();
}

Result<void> EntryApp::Start() {
  if (auto opened =
          dispatch_duty_.Open(settings_.caller_address, &dispatch_mailbox_);
      !opened) {
    return opened;
  }
  for (HttpServer* server : {&ready_server_, &peer_server_}) {
    if (auto opened = server->Start(); !opened)
      return opened;
  }
  dispatch_mailbox_.Start();
  http_client_.Start();
  discovery_mailbox_.Start();
  Log(LogLevel::kInfo, "started",
      {{"caller_address", settings_.caller_address},
       {"store_address", settings_.store_address}});
  return BOOST_OUTCOME_V2_NAMESPACE::success();
}

void EntryApp::OnReadyRequest(const Responder& respond) {
  ServerResponse response;
  response.status =
      state_.ready() ? http_status::kOk : http_status::kUnavailable;
  response.content_type = "text/plain";
  response.body = state_.ready() ? "ready" : "not ready";
  respond(std::move(response));
}

void EntryApp::OnPeerRequest(const ServerRequest& request,
                             const Responder& respond) {
  ServerResponse response;
  if (request.path == kFeedPath)
    return OnFeedRequest(request, respond);
  if (request.path == kQuarantinePath)
    return dispatch_duty_.OnExchange(request, respond);
  if (request.path == kQuotaPath)
    return dispatch_duty_.OnQuotaAsk(request, respond);
  if (request.path == kPingPath) {
    response.status = dispatch_duty_.has_server_contact()
                          ? http_status::kOk
                          : http_status::kUnavailable;
    response.content_type.clear();
  } else if (request.path == kMetricsPath) {
    nlohmann::json metrics = state_.metrics().Snapshot();
    if (auto accounts = dispatch_duty_.AccountMetrics(); !accounts.is_null())
      metrics["accounts"] = std::move(accounts);
    response.body = metrics.dump();
  } else {
    response.status = http_status::kNotFound;
    response.body = RefusalBody(ResultCode::kNoSuchPath, "no such path");
  }
  respond(std::move(response));
}

bool EntryApp::Stop() {
  const Time began = SteadyNow();
  const Time cut_deadline = began + settings_.stop_bound - kExitTime;
  state_.BeginStop();
  discovery_mailbox_.PostResult(AnnounceStop{});
  Log(LogLevel::kInfo, "stopping", {{"in_flight", state_.active_calls.load()}});
  bool listed = true;
  bool accepting = true;
  Time idle_since = began;
  while (SteadyNow() < cut_deadline) {
    std::this_thread::sleep_for(kStopPollInterval);
    const Time now = SteadyNow();
    if (listed && now - began >= kListedWhileStopping) {
      discovery_mailbox_.PostResult(DeregisterInstance{});
      listed = false;
    }
    if (accepting && now - began >= kBalancerDetectionTime) {
      dispatch_mailbox_.PostResult(StopAcceptingCallers{cut_deadline});
      accepting = false;
    }
    if (accepting || state_.active_calls > 0)
      idle_since = now;
    if (now - idle_since >= kIdleBeforeExit)
      break;
  }
  const std::size_t cut_calls = state_.active_calls;
  if (cut_calls > 0) {
    dispatch_mailbox_.PostResult(GiveUpCalls{});
    std::this_thread::sleep_for(kFinalAnswerTime);
  }
  StopThreads();
  Log(LogLevel::kInfo, "stopped",
      {{"cut", cut_calls}, {"took_ms", WholeMillis(SteadyNow() - began)}});
  return cut_calls == 0;
}

void EntryApp::StopThreads() {
  dispatch_mailbox_.Stop();
  discovery_mailbox_.Stop();
  http_client_.Stop();
}

}  // namespace limpetrudder
