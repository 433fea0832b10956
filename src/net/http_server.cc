#include "net/http_server.h"

#include <algorithm>
#include <thread>
#include <unordered_map>
#include <utility>
#include <vector>

#include <asio.hpp>
#include <nlohmann/json.hpp>

#include "framework/clock.h"
#include "net/internal/server_connection.h"

namespace limpetrudder {
namespace {

constexpr std::size_t kDiscardBufferBytes = 64 << 10;

// Connections that took too long are closed in batches.
constexpr Duration kExpiryInterval = Millis(100);

// The wait after a connection couldn't be accepted.
constexpr Duration kAcceptRetryInterval = Millis(50);

ConnectionEnd EndOfTimeout(ConnectionPhase phase) {
  switch (phase) {
    case ConnectionPhase::kIdle:
      return ConnectionEnd::kIdleTimeout;
    case ConnectionPhase::kHead:
      return ConnectionEnd::kHeadTimeout;
    case ConnectionPhase::kBody:
      return ConnectionEnd::kBodyTimeout;
    case ConnectionPhase::kServing:
      return ConnectionEnd::kServingTimeout;
    case ConnectionPhase::kSending:
    case ConnectionPhase::kClosing:
      return ConnectionEnd::kSendingTimeout;
  }
  return ConnectionEnd::kClient;
}

}  // namespace

std::string RefusalBody(ResultCode code,
                        const std::string& message,
                        const std::string& execution) {
  const nlohmann::ordered_json body = {
      {"code", {{"number", NumberOf(code)}, {"name", NameOf(code)}}},
      {"execution", execution},
      {"message", message}};
  return body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

class HttpServer::Impl final : public detail::ServerConnection::Owner {
 public:
  Impl(HttpServerSettings settings, Handler handler, ClosedHandler on_closed)
      : settings_(std::move(settings)),
        handler_(std::move(handler)),
        on_closed_(std::move(on_closed)),
        own_context_(settings_.context == nullptr
                         ? std::make_unique<asio::io_context>(1)
                         : nullptr),
        context_(own_context_ ? own_context_.get() : settings_.context),
        acceptor_(*context_),
        accept_timer_(*context_),
        expiry_timer_(*context_),
        budget_(settings_.connections),
        discard_buffer_(kDiscardBufferBytes) {}

  // Connections in a shared io_context can outlive the server.
  ~Impl() {
    for (const auto& [id, connection] : connections_)
      connection->Detach();
  }

  Result<void> Start() {
    try {
      const asio::ip::tcp::endpoint endpoint(
          asio::ip::make_address(settings_.address), settings_.port);
      acceptor_.open(endpoint.protocol());
      acceptor_.set_option(asio::ip::tcp::acceptor::reuse_address(true));
      acceptor_.bind(endpoint);
      acceptor_.listen();
    } catch (const std::exception& error) {
      return Failure(ResultCode::kStartFailed,
                     "can't listen on " + settings_.address + ":" +
                         std::to_string(settings_.port) + ": " + error.what());
    }
    Accept();
    if (own_context_)
      thread_ = std::thread([this] { context_->run(); });
    return BOOST_OUTCOME_V2_NAMESPACE::success();
  }

  void SetMessageLimits(std::size_t header_bytes, std::size_t body_bytes) {
    settings_.max_header_bytes = header_bytes;
    settings_.max_body_bytes = body_bytes;
  }

  void SetTimeouts(Duration idle, Duration head) {
    budget_.SetTimeouts(std::max(idle, kExpiryInterval),
                        std::max(head, kExpiryInterval));
    ArmExpiryTimer(budget_.next_expiry());
  }

  void StopAccepting() {
    asio::error_code ignored;
    acceptor_.close(ignored);
    accept_timer_.cancel();
  }

  void Stop() {
    if (!thread_.joinable())
      return;
    asio::post(*context_, [this] {
      StopAccepting();
      context_->stop();
    });
    thread_.join();
  }

  detail::RequestSizeLimits size_limits() const override {
    return {settings_.max_header_bytes, settings_.max_body_bytes};
  }

  asio::mutable_buffer discard_buffer() override {
    return asio::buffer(discard_buffer_);
  }

  void OnPhase(std::uint64_t id, ConnectionPhase phase) override {
    const Time now = SteadyNow();
    budget_.SetPhase(id, phase, now);
    ArmExpiryTimer(now + budget_.timeout(phase));
  }

  void OnProgress(std::uint64_t id, std::size_t bytes) override {
    budget_.AddProgress(id, bytes);
  }

  void OnBytes(std::uint64_t id, std::size_t bytes) override {
    budget_.SetBytes(id, bytes);
    // Refusing a request changes what its connection holds.
    if (shedding_)
      return;
    shedding_ = true;
    while (budget_.is_over_bytes()) {
      const auto first = budget_.FirstToGoForBytes();
      if (!first)
        break;
      Find(*first)->Shed(ConnectionEnd::kMemory);
    }
    shedding_ = false;
  }

  void OnRequest(ServerRequest request, Responder respond) override {
    handler_(std::move(request), std::move(respond));
  }

  void OnClosed(std::uint64_t id, ConnectionEnd end) override {
    budget_.Close(id);
    connections_.erase(id);
    if (settings_.on_end)
      settings_.on_end(end);
    if (on_closed_)
      on_closed_(id);
  }

 private:
  using ConnectionPtr = std::shared_ptr<detail::ServerConnection>;

  // Returns a connection that is open; closing it doesn't destroy the result.
  ConnectionPtr Find(std::uint64_t id) const { return connections_.at(id); }

  void Accept() {
    acceptor_.async_accept(
        [this](const asio::error_code& error, asio::ip::tcp::socket socket) {
          if (error == asio::error::operation_aborted || !acceptor_.is_open())
            return;
          if (!error) {
            AddConnection(std::move(socket));
            return Accept();
          }
          // Descriptors or memory are short.
          if (error != asio::error::connection_aborted && CloseForNumber())
            return Accept();
          accept_timer_.expires_after(kAcceptRetryInterval);
          accept_timer_.async_wait([this](const asio::error_code& aborted) {
            if (!aborted)
              Accept();
          });
        });
  }

  void AddConnection(asio::ip::tcp::socket socket) {
    // NOTE A connection that isn't read from may be tried again elsewhere.
    if (budget_.is_full() && !CloseForNumber()) {
      if (settings_.on_end)
        settings_.on_end(ConnectionEnd::kNumber);
      return;
    }
    const std::uint64_t id = ++last_id_;
    const Time now = SteadyNow();
    budget_.Open(id, now);
    ArmExpiryTimer(now + budget_.timeout(ConnectionPhase::kIdle));
    const auto connection =
        std::make_shared<detail::ServerConnection>(id, std::move(socket), this);
    connections_[id] = connection;
    connection->Start();
  }

  // Closes the connection that goes first, if one may.
  bool CloseForNumber() {
    const auto first = budget_.FirstToGoForNumber();
    if (first)
      Find(*first)->Close(ConnectionEnd::kNumber);
    return first.has_value();
  }

  // NOTE A timer that is due too early is kept.
  void ArmExpiryTimer(Time expiry) {
    if (expiry >= armed_expiry_)
      return;
    armed_expiry_ = expiry;
    expiry_timer_.expires_at(expiry);
    expiry_timer_.async_wait([this](const asio::error_code& error) {
      if (error)
        return;
      armed_expiry_ = kNever;
      const Time now = SteadyNow();
      CloseExpired(now);
      if (const Time next = budget_.next_expiry(); next != kNever)
        ArmExpiryTimer(std::max(next, now + kExpiryInterval));
    });
  }

  void CloseExpired(Time now) {
    while (const auto id = budget_.FindExpired(now)) {
      const ConnectionPhase phase = budget_.phase(*id);
      const ConnectionPtr connection = Find(*id);
      // A request has come meanwhile.
      if (phase == ConnectionPhase::kIdle && connection->HasUnreadBytes())
        budget_.SetPhase(*id, phase, now);
      else
        connection->Close(EndOfTimeout(phase));
    }
  }

  HttpServerSettings settings_;
  const Handler handler_;
  const ClosedHandler on_closed_;
  const std::unique_ptr<asio::io_context> own_context_;
  asio::io_context* const context_;
  asio::ip::tcp::acceptor acceptor_;
  asio::steady_timer accept_timer_;
  asio::steady_timer expiry_timer_;
  Time armed_expiry_ = kNever;
  ConnectionBudget budget_;
  bool shedding_ = false;
  std::vector<char> discard_buffer_;
  std::unordered_map<std::uint64_t, ConnectionPtr> connections_;
  std::uint64_t last_id_ = 0;
  std::thread thread_;
};

HttpServer::HttpServer(HttpServerSettings settings,
                       Handler handler,
                       ClosedHandler on_closed)
    : impl_(std::make_unique<Impl>(std::move(settings),
                                   std::move(handler),
                                   std::move(on_closed))) {}

HttpServer::~HttpServer() {
  Stop();
}

Result<void> HttpServer::Start() {
  return impl_->Start();
}

void HttpServer::SetMessageLimits(std::size_t header_bytes,
                                  std::size_t body_bytes) {
  impl_->SetMessageLimits(header_bytes, body_bytes);
}

void HttpServer::SetTimeouts(Duration idle, Duration head) {
  impl_->SetTimeouts(idle, head);
}

void HttpServer::StopAccepting() {
  impl_->StopAccepting();
}

void HttpServer::Stop() {
  impl_->Stop();
}

}  // namespace limpetrudder
