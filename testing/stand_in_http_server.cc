#include "testing/stand_in_http_server.h"

#include <algorithm>
#include <set>
#include <utility>

#include <restinio/all.hpp>

namespace limpetrudder::testbed {
namespace {

class ConnectionCounter {
 public:
  void state_changed(
      const restinio::connection_state::notice_t& notice) noexcept {
    const auto cause = notice.cause();
    if (restinio::holds_alternative<restinio::connection_state::accepted_t>(
            cause)) {
      ++open;
      max_open = std::max(max_open, open);
    } else {
      --open;
    }
  }

  int open = 0;
  int max_open = 0;
};

struct Traits : public restinio::default_single_thread_traits_t {
  using connection_state_listener_t = ConnectionCounter;
};
using Server = restinio::http_server_t<Traits>;

}  // namespace

class StandInHttpServer::Impl {
 public:
  Impl(asio::io_context* context, std::string address, Handler handler)
      : context_(context),
        address_(std::move(address)),
        handler_(std::move(handler)),
        counter_(std::make_shared<ConnectionCounter>()) {}

  void Open() {
    const std::size_t colon = address_.find(':');
    server_ = std::make_unique<Server>(
        restinio::external_io_context(*context_),
        restinio::server_settings_t<Traits>{}
            .address(address_.substr(0, colon))
            .port(static_cast<std::uint16_t>(
                std::stoi(address_.substr(colon + 1))))
            .max_pipelined_requests(2)
            .read_next_http_message_timelimit(std::chrono::seconds(120))
            .handle_request_timeout(std::chrono::seconds(120))
            .connection_state_listener(counter_)
            .request_handler([this](restinio::request_handle_t request) {
              return OnRequest(std::move(request));
            }));
    server_->open_sync();
  }

  void Close() {
    if (server_)
      server_->close_sync();
    server_.reset();
  }

  const ConnectionCounter& counter() const { return *counter_; }

 private:
  restinio::request_handling_status_t OnRequest(
      restinio::request_handle_t request) {
    ServerRequest parsed;
    parsed.connection = request->connection_id();
    parsed.method = request->header().method().c_str();
    parsed.path = std::string(request->header().path());
    parsed.query = std::string(request->header().query());
    parsed.body = request->body();
    handler_(std::move(parsed), [request](ServerResponse response) {
      request
          ->create_response(restinio::http_status_line_t{
              restinio::http_status_code_t{
                  static_cast<std::uint16_t>(response.status)},
              "-"})
          .append_header(restinio::http_field_t::content_type,
                         response.content_type)
          .set_body(std::move(response.body))
          .done();
    });
    return restinio::request_accepted();
  }

  asio::io_context* const context_;
  const std::string address_;
  const Handler handler_;
  std::shared_ptr<ConnectionCounter> counter_;
  std::unique_ptr<Server> server_;
};

StandInHttpServer::StandInHttpServer(asio::io_context* context,
                                     const std::string& address,
                                     Handler handler)
    : impl_(std::make_unique<Impl>(context, address, std::move(handler))) {}

StandInHttpServer::~StandInHttpServer() {
  Close();
}

void StandInHttpServer::Open() {
  impl_->Open();
}

void StandInHttpServer::Close() {
  impl_->Close();
}

int StandInHttpServer::connections() const {
  return impl_->counter().open;
}

int StandInHttpServer::max_connections() const {
  return impl_->counter().max_open;
}

}  // namespace limpetrudder::testbed
