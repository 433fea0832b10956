#include "net/internal/server_connection.h"

#include <algorithm>
#include <array>
#include <string_view>
#include <utility>

#include <asio/dispatch.hpp>

#include "framework/http_status.h"
#include "framework/logger.h"
#include "net/http_text.h"

namespace limpetrudder::detail {
namespace {

constexpr std::size_t kBufferBytes = 2 << 10;
constexpr std::size_t kBodyBufferBytes = 16 << 10;

// Memory of a connection beside its buffers: the object, its socket and its
// entries in tables.
constexpr std::size_t kConnectionBytes = 2 << 10;

// The memory of a body that is being served, as a multiple of its size: the
// request's and that of the message to a server.
constexpr std::size_t kServedBodyCopies = 2;

constexpr int kHeadTooLarge = 431;
constexpr int kBodyTooLarge = 413;

constexpr std::string_view kBearerPrefix = "Bearer ";

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

void FillTarget(const std::string& target, ServerRequest* request) {
  const std::string_view text(target);
  const std::size_t fragment = std::min(text.find('#'), text.size());
  const std::size_t query = std::min(text.find('?'), fragment);
  request->target = target;
  request->path = text.substr(0, query);
  if (query < fragment)
    request->query = text.substr(query + 1, fragment - query - 1);
}

}  // namespace

ServerConnection::ServerConnection(std::uint64_t id,
                                   asio::ip::tcp::socket socket,
                                   Owner* owner)
    : id_(id), socket_(std::move(socket)), owner_(owner) {}

void ServerConnection::Start() {
  asio::error_code error;
  socket_.non_blocking(true, error);
  if (error)
    return Close(ConnectionEnd::kClient);
  buffer_.resize(kBufferBytes);
  UpdateBytes();
  if (!is_closed())
    Receive();
}

bool ServerConnection::HasUnreadBytes() const {
  asio::error_code error;
  return socket_.available(error) > 0;
}

void ServerConnection::Receive() {
  if (receiving_ || is_closed())
    return;
  if (phase_ == ConnectionPhase::kClosing)
    return Discard();
  if (buffer_begin_ == buffer_end_) {
    buffer_begin_ = 0;
    buffer_end_ = 0;
    const std::size_t size =
        phase_ == ConnectionPhase::kBody ? kBodyBufferBytes : kBufferBytes;
    if (buffer_.size() != size) {
      buffer_ = std::vector<char>(size);
      UpdateBytes();
      if (is_closed())
        return;
    }
  }
  // A full buffer is read from once the request before it has its response.
  if (buffer_end_ == buffer_.size())
    return;
  receiving_ = true;
  socket_.async_read_some(
      asio::buffer(buffer_.data() + buffer_end_, buffer_.size() - buffer_end_),
      [self = shared_from_this()](const asio::error_code& error,
                                  std::size_t size) {
        self->receiving_ = false;
        if (!self->is_closed())
          self->OnReceived(error, size);
      });
}

void ServerConnection::Discard() {
  receiving_ = true;
  socket_.async_read_some(
      owner_->discard_buffer(),
      [self = shared_from_this()](const asio::error_code& error, std::size_t) {
        self->receiving_ = false;
        if (self->is_closed())
          return;
        if (error)
          self->Close(ConnectionEnd::kClient);
        else
          self->Discard();
      });
}

void ServerConnection::OnReceived(const asio::error_code& error,
                                  std::size_t size) {
  if (error)
    return Close(ConnectionEnd::kClient);
  buffer_end_ += size;
  ReadBuffer();
}

void ServerConnection::ReadBuffer() {
  // Responses that are sent at once bring the next request here.
  if (reading_buffer_)
    return;
  reading_buffer_ = true;
  const auto self = shared_from_this();
  while (!is_closed() && buffer_begin_ < buffer_end_ &&
         phase_ != ConnectionPhase::kServing &&
         phase_ != ConnectionPhase::kSending &&
         phase_ != ConnectionPhase::kClosing) {
    const std::size_t used =
        reader_.Read(buffer_.data() + buffer_begin_,
                     buffer_end_ - buffer_begin_, owner_->size_limits());
    buffer_begin_ += used;
    OnReaderState(used);
  }
  reading_buffer_ = false;
  Receive();
}

void ServerConnection::OnReaderState(std::size_t used) {
  switch (reader_.state()) {
    case RequestReader::State::kEmpty:
      return;
    case RequestReader::State::kHead:
    case RequestReader::State::kBody: {
      const ConnectionPhase phase =
          reader_.state() == RequestReader::State::kHead
              ? ConnectionPhase::kHead
              : ConnectionPhase::kBody;
      if (phase_ == phase)
        owner_->OnProgress(id_, used);
      else
        SetPhase(phase);
      return UpdateBytes();
    }
    case RequestReader::State::kComplete:
      return ServeRequest();
    case RequestReader::State::kMalformed:
      return Close(ConnectionEnd::kMalformed);
    case RequestReader::State::kHeadTooLarge:
      return Refuse(kHeadTooLarge, ResultCode::kHeadersTooLarge,
                    "the headers take more than " +
                        std::to_string(owner_->size_limits().head) + " bytes",
                    ConnectionEnd::kHeadTooLarge);
    case RequestReader::State::kBodyTooLarge:
      return Refuse(kBodyTooLarge, ResultCode::kRequestTooLarge,
                    "the body takes more than " +
                        std::to_string(owner_->size_limits().body) + " bytes",
                    ConnectionEnd::kBodyTooLarge);
  }
}

void ServerConnection::ServeRequest() {
  ServerRequest request;
  request.connection = id_;
  request.method = reader_.method();
  FillTarget(reader_.target(), &request);
  request.headers = reader_.TakeHeaders();
  request.body = reader_.TakeBody();
  if (const HeaderField* field = FindHeader(request.headers, "Authorization");
      field != nullptr && field->value.starts_with(kBearerPrefix))
    request.bearer_token = field->value.substr(kBearerPrefix.size());
  is_head_request_ = request.method == "HEAD";
  keep_alive_ = reader_.keep_alive();
  is_http_1_0_ = reader_.is_http_1_0();
  served_bytes_ =
      reader_.held_bytes() + kServedBodyCopies * request.body.capacity();
  reader_.Begin();
  // A large request may be refused for its memory, a small one not any more.
  if (served_bytes_ > kBufferBytes) {
    SetPhase(ConnectionPhase::kBody);
    UpdateBytes();
    if (is_closed() || phase_ != ConnectionPhase::kBody)
      return;
    SetPhase(ConnectionPhase::kServing);
  } else {
    SetPhase(ConnectionPhase::kServing);
    UpdateBytes();
  }
  const std::uint64_t number = ++request_;
  owner_->OnRequest(std::move(request), [self = shared_from_this(),
                                         number](ServerResponse response) {
    asio::dispatch(self->socket_.get_executor(),
                   [self, number, response = std::move(response)]() mutable {
                     self->Respond(number, std::move(response));
                   });
  });
}

void ServerConnection::Respond(std::uint64_t request, ServerResponse response) {
  if (is_closed() || request != request_ || phase_ != ConnectionPhase::kServing)
    return;
  if (!http_status::IsFinal(response.status))
    response = InvalidStatusResponse(response.status);
  keep_alive_ = keep_alive_ && !response.close;
  end_after_sending_ = ConnectionEnd::kResponded;
  Send(std::move(response), is_head_request_);
}

void ServerConnection::Refuse(int status,
                              ResultCode code,
                              const std::string& message,
                              ConnectionEnd end) {
  ServerResponse response;
  response.status = status;
  response.body = RefusalBody(code, message);
  keep_alive_ = false;
  end_after_sending_ = end;
  const bool is_head_request = std::string_view(reader_.method()) == "HEAD";
  reader_.Begin();
  Send(std::move(response), is_head_request);
}

void ServerConnection::Shed(ConnectionEnd end) {
  if (phase_ != ConnectionPhase::kHead && phase_ != ConnectionPhase::kBody)
    return Close(end);
  Refuse(http_status::kUnavailable, ResultCode::kConnectionBudget,
         "the connections of all clients take too much memory", end);
}

void ServerConnection::Send(ServerResponse response, bool is_head_request) {
  if (!http_status::AllowsBody(response.status))
    response.body.clear();
  sending_head_ =
      "HTTP/1.1 " + std::to_string(response.status) +
      (response.status < http_status::kBadRequest ? " OK\r\n" : " Refused\r\n");
  if (!response.content_type.empty())
    AppendHeader(&sending_head_, "Content-Type", response.content_type);
  if (response.retry_after_seconds > 0) {
    AppendHeader(&sending_head_, "Retry-After",
                 std::to_string(response.retry_after_seconds));
  }
  AppendHeaders(&sending_head_, response.headers);
  const bool has_body =
      !is_head_request && http_status::AllowsBody(response.status);
  if (has_body || !response.body.empty()) {
    AppendHeader(&sending_head_, "Content-Length",
                 std::to_string(response.body.size()));
  }
  // NOTE A body in the response to HEAD would stand where the next one is due.
  if (has_body)
    sending_body_ = std::move(response.body);
  if (!keep_alive_)
    AppendHeader(&sending_head_, "Connection", "close");
  else if (is_http_1_0_)
    AppendHeader(&sending_head_, "Connection", "keep-alive");
  sending_head_ += "\r\n";
  sent_ = 0;
  served_bytes_ = 0;
  SetPhase(ConnectionPhase::kSending);
  ContinueSending();
}

void ServerConnection::ContinueSending() {
  const std::size_t head_sent = std::min(sent_, sending_head_.size());
  const std::size_t body_sent = sent_ - head_sent;
  const std::array<asio::const_buffer, 2> rest = {
      asio::buffer(sending_head_) + head_sent,
      asio::buffer(sending_body_) + body_sent};
  if (asio::buffer_size(rest) == 0)
    return OnSent();
  asio::error_code error;
  const std::size_t sent = socket_.write_some(rest, error);
  if (error && error != asio::error::would_block)
    return Close(ConnectionEnd::kClient);
  sent_ += sent;
  if (sent == asio::buffer_size(rest))
    return OnSent();
  owner_->OnProgress(id_, sent);
  UpdateBytes();
  if (is_closed())
    return;
  socket_.async_wait(asio::ip::tcp::socket::wait_write,
                     [self = shared_from_this()](const asio::error_code& e) {
                       if (self->is_closed())
                         return;
                       if (e)
                         self->Close(ConnectionEnd::kClient);
                       else
                         self->ContinueSending();
                     });
}

void ServerConnection::OnSent() {
  sending_head_ = std::string();
  sending_body_ = std::string();
  if (keep_alive_) {
    SetPhase(ConnectionPhase::kIdle);
    UpdateBytes();
    return ReadBuffer();
  }
  if (end_after_sending_ == ConnectionEnd::kResponded)
    return Close(end_after_sending_);
  // NOTE Closing with unread bytes would reset the connection, and the client
  // might lose the refusal.
  asio::error_code ignored;
  socket_.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
  SetPhase(ConnectionPhase::kClosing);
  UpdateBytes();
  Receive();
}

void ServerConnection::Close(ConnectionEnd end) {
  if (is_closed())
    return;
  Owner* const owner = owner_;
  const auto self = shared_from_this();
  Detach();
  owner->OnClosed(
      id_, phase_ == ConnectionPhase::kClosing ? end_after_sending_ : end);
}

void ServerConnection::Detach() {
  owner_ = nullptr;
  asio::error_code ignored;
  socket_.close(ignored);
  reader_.Begin();
  // NOTE An aborted read may still refer to the buffer, but writes nothing.
  buffer_ = std::vector<char>();
  sending_head_ = std::string();
  sending_body_ = std::string();
}

void ServerConnection::SetPhase(ConnectionPhase phase) {
  phase_ = phase;
  owner_->OnPhase(id_, phase);
}

void ServerConnection::UpdateBytes() {
  owner_->OnBytes(id_, kConnectionBytes + buffer_.capacity() +
                           reader_.held_bytes() + served_bytes_ +
                           sending_head_.capacity() + sending_body_.capacity());
}

}  // namespace limpetrudder::detail
