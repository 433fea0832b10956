#include "net/http_server.h"

#include <thread>
#include <utility>

#include <nlohmann/json.hpp>
#include <restinio/all.hpp>

#include "framework/http_status.h"
#include "framework/logger.h"

namespace limpetrudder {
namespace {

// RESTinio closes a connection without a response if a message exceeds its
// limits. Its limits are therefore above those of HttpServerSettings, which
// produce an error response.
constexpr std::size_t kHardMaxBodyBytes = 64 << 20;
constexpr std::size_t kHardMaxHeaderBytes = 76 << 10;
constexpr std::size_t kPipelinedRequests = 2;
constexpr std::string_view kBearerPrefix = "Bearer ";

// Reports closed connections to the ClosedHandler.
class ConnectionWatcher {
 public:
  explicit ConnectionWatcher(HttpServer::ClosedHandler on_closed)
      : on_closed_(std::move(on_closed)) {}

  void state_changed(
      const restinio::connection_state::notice_t& notice) noexcept {
    const auto cause = notice.cause();
    if (restinio::holds_alternative<restinio::connection_state::closed_t>(
            cause) &&
        on_closed_) {
      on_closed_(notice.connection_id());
    }
  }

  // Stops the reports. Connections in a shared io_context can outlive the
  // server.
  void Disable() { on_closed_ = nullptr; }

 private:
  HttpServer::ClosedHandler on_closed_;
};

struct ServerTraits : public restinio::default_single_thread_traits_t {
  using connection_state_listener_t = ConnectionWatcher;
};

using Server = restinio::http_server_t<ServerTraits>;

std::size_t HeaderBytes(const restinio::http_request_header_t& header) {
  std::size_t bytes = header.request_target().size();
  for (const auto& field : header)
    bytes += field.name().size() + field.value().size();
  return bytes;
}

std::string BearerToken(const restinio::http_request_header_t& header) {
  const auto value = header.opt_value_of(restinio::http_field_t::authorization);
  if (!value || !std::string_view(*value).starts_with(kBearerPrefix))
    return std::string();
  return std::string(value->substr(kBearerPrefix.size()));
}

// Returns the response to send in place of one whose status can't be sent.
ServerResponse InvalidStatusResponse(int status) {
  Log(LogLevel::kError, "status_invalid",
      {{"code", NumberOf(ResultCode::kAnswerMalformed)}, {"status", status}});
  ServerResponse response;
  response.status = http_status::kBadGateway;
  response.body = RefusalBody(ResultCode::kAnswerMalformed,
                              "the answer has no valid status", "unknown");
  return response;
}

void SendResponse(const restinio::request_handle_t& request,
                  ServerResponse response) {
  if (!http_status::IsFinal(response.status))
    response = InvalidStatusResponse(response.status);
  const bool head = request->header().method() == restinio::http_method_head();
  const bool allows_body = http_status::AllowsBody(response.status);
  auto builder = request->create_response<restinio::user_controlled_output_t>(
      restinio::http_status_line_t{
          restinio::http_status_code_t{
              static_cast<std::uint16_t>(response.status)},
          response.status < 400 ? "OK" : "Refused"});
  if (!response.content_type.empty()) {
    builder.append_header(restinio::http_field_t::content_type,
                          response.content_type);
  }
  if (response.retry_after_seconds > 0) {
    builder.append_header(restinio::http_field_t::retry_after,
                          std::to_string(response.retry_after_seconds));
  }
  for (auto& header : response.headers)
    builder.append_header(std::move(header.name), std::move(header.value));
  if (response.close)
    builder.connection_close();
  builder.set_content_length(allows_body ? response.body.size() : 0);
  // NOTE A body in the response to HEAD would stand where the next one is due.
  if (allows_body && !head)
    builder.set_body(std::move(response.body));
  builder.done();
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

class HttpServer::Impl {
 public:
  Impl(HttpServerSettings settings, Handler handler, ClosedHandler on_closed)
      : settings_(std::move(settings)),
        handler_(std::move(handler)),
        watcher_(std::make_shared<ConnectionWatcher>(std::move(on_closed))) {
    auto holder = settings_.context == nullptr
                      ? restinio::own_io_context()
                      : restinio::external_io_context(*settings_.context);
    server_ = std::make_unique<Server>(
        std::move(holder),
        restinio::server_settings_t<ServerTraits>{}
            .address(settings_.address)
            .port(settings_.port)
            .max_pipelined_requests(kPipelinedRequests)
            .read_next_http_message_timelimit(settings_.read_timeout)
            .handle_request_timeout(std::chrono::seconds(120))
            .connection_state_listener(watcher_)
            .incoming_http_msg_limits(
                restinio::incoming_http_msg_limits_t{}
                    .max_body_size(kHardMaxBodyBytes)
                    .max_field_value_size(kHardMaxHeaderBytes)
                    .max_url_size(kHardMaxHeaderBytes))
            .request_handler([this](restinio::request_handle_t request) {
              return OnRequest(std::move(request));
            }));
  }

  ~Impl() { watcher_->Disable(); }

  Result<void> Start() {
    try {
      server_->open_sync();
    } catch (const std::exception& error) {
      return Failure(ResultCode::kStartFailed,
                     "can't listen on " + settings_.address + ":" +
                         std::to_string(settings_.port) + ": " + error.what());
    }
    if (settings_.context == nullptr)
      thread_ = std::thread([this] { server_->io_context().run(); });
    return BOOST_OUTCOME_V2_NAMESPACE::success();
  }

  void SetMessageLimits(std::size_t header_bytes, std::size_t body_bytes) {
    settings_.max_header_bytes = header_bytes;
    settings_.max_body_bytes = body_bytes;
  }

  void StopAccepting() { server_->close_sync(); }

  void Stop() {
    if (!thread_.joinable())
      return;
    restinio::asio_ns::post(server_->io_context(), [this] {
      server_->close_sync();
      server_->io_context().stop();
    });
    thread_.join();
  }

 private:
  restinio::request_handling_status_t OnRequest(
      restinio::request_handle_t request) {
    const auto& header = request->header();
    if (HeaderBytes(header) > settings_.max_header_bytes) {
      SendResponse(
          request,
          {431, RefusalBody(ResultCode::kHeadersTooLarge,
                            "the headers take more than " +
                                std::to_string(settings_.max_header_bytes) +
                                " bytes")});
      return restinio::request_accepted();
    }
    if (request->body().size() > settings_.max_body_bytes) {
      SendResponse(
          request,
          {413, RefusalBody(ResultCode::kRequestTooLarge,
                            "the body takes more than " +
                                std::to_string(settings_.max_body_bytes) +
                                " bytes")});
      return restinio::request_accepted();
    }
    ServerRequest parsed;
    parsed.connection = request->connection_id();
    parsed.method = header.method().c_str();
    parsed.path = std::string(header.path());
    parsed.query = std::string(header.query());
    parsed.target = header.request_target();
    parsed.headers.reserve(header.fields_count());
    for (const auto& field : header)
      parsed.headers.push_back({field.name(), field.value()});
    parsed.bearer_token = BearerToken(header);
    parsed.body = request->body();
    handler_(std::move(parsed), [request](ServerResponse response) {
      SendResponse(request, std::move(response));
    });
    return restinio::request_accepted();
  }

  HttpServerSettings settings_;
  Handler handler_;
  std::shared_ptr<ConnectionWatcher> watcher_;
  std::unique_ptr<Server> server_;
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

void HttpServer::StopAccepting() {
  impl_->StopAccepting();
}

void HttpServer::Stop() {
  impl_->Stop();
}

}  // namespace limpetrudder
