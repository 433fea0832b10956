#include "net/target_pool.h"

#include <algorithm>
#include <array>
#include <cerrno>
#include <unordered_map>
#include <utility>

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <asio.hpp>

#include "framework/clock.h"
#include "framework/http_status.h"
#include "framework/logger.h"
#include "framework/read_number.h"
#include "framework/result_code.h"
#include "net/http_text.h"
#include "net/internal/echo_history.h"
#include "net/internal/response_reader.h"
#include "net/internal/stream_end.h"

namespace limpetrudder {
namespace {

using Tcp = asio::ip::tcp;

// The longest round trip is under 30 ms, so a host that takes longer than this
// is down or unreachable.
constexpr Duration kConnectTimeout = Millis(400);

// If sent bytes stay unacknowledged for this long, the peer is unreachable.
constexpr int kUserTimeoutMs = 3000;

// Idle connections expire this long before the end of the idle time that the
// server announces, or after the default time if it announces none.
constexpr Duration kIdleMargin = Millis(700);
constexpr Duration kDefaultIdle = Seconds(20);

// Further idle connections to a server are closed after this time. A server
// accepts few connections, and it keeps those of an instance that lost power
// until it detects that they are dead.
constexpr Duration kExtraIdle = Millis(1000);

// A connection used this recently counts as a fresh one.
constexpr Duration kRecentUse = Millis(300);

// If a server sends nothing for this long, its connections may be dead.
constexpr Duration kSilentTime = Millis(250);

constexpr std::size_t kReadBytes = 8 << 10;

// Servers without connections are forgotten once there are this many.
constexpr std::size_t kMinPurgeSize = 256;

asio::ip::tcp::endpoint EndpointOf(const std::string& address,
                                   asio::error_code* error) {
  const std::size_t colon = address.rfind(':');
  if (colon == std::string::npos) {
    *error = asio::error::invalid_argument;
    return {};
  }
  const auto ip = asio::ip::make_address(address.substr(0, colon), *error);
  std::uint16_t port = 0;
  if (!ReadNumber(std::string_view(address).substr(colon + 1), &port))
    *error = asio::error::invalid_argument;
  return {ip, port};
}

// Returns whether `socket` has received bytes that weren't read yet, or has
// been closed or reset by its peer.
bool HasInput(Tcp::socket* socket) {
  char byte = 0;
  return recv(socket->native_handle(), &byte, sizeof(byte),
              MSG_PEEK | MSG_DONTWAIT) >= 0 ||
         (errno != EAGAIN && errno != EWOULDBLOCK);
}

}  // namespace

class TargetPool::Impl {
 public:
  Impl(asio::io_context* context, TargetPoolSettings settings, Handler handler)
      : context_(context),
        settings_(std::move(settings)),
        handler_(std::move(handler)) {}

  ~Impl() {
    for (auto& [id, connection] : busy_)
      connection->Close();
    for (auto& [server, idle] : idle_) {
      for (auto& connection : idle)
        connection->Close();
    }
  }

  void Send(PoolRequest request) {
    std::shared_ptr<Connection> connection =
        TakeIdle(request.server, request.fresh_connection);
    const bool reused = connection != nullptr;
    if (!reused) {
      connection = std::make_shared<Connection>(context_);
      connection->server = request.server;
      connection->echo_history = EchoHistoryOf(request.server);
    }
    busy_[request.id] = connection;
    connection->request = std::move(request);
    BeginResponse(connection);
    connection->foreign_responses = 0;
    connection->start_time = SteadyNow();
    connection->written = false;
    connection->write_error = asio::error_code();
    connection->sent = false;
    connection->connect_time = Duration(0);
    if (reused)
      Write(connection);
    else
      Connect(connection);
  }

  void Cancel(std::uint64_t id) {
    const auto found = busy_.find(id);
    if (found == busy_.end())
      return;
    const auto connection = std::move(found->second);
    busy_.erase(found);
    ReleaseBufferedBytes(connection);
    const bool silent = !connection->reader.started() &&
                        SteadyNow() - connection->start_time > kSilentTime;
    connection->Close();
    if (silent)
      CloseIdleConnections(connection->server);
  }

  void CloseIdleConnections(const std::string& server) {
    const auto found = idle_.find(server);
    if (found == idle_.end())
      return;
    for (auto& connection : found->second)
      connection->Close();
    idle_.erase(found);
  }

  std::size_t buffered_bytes() const { return buffered_bytes_; }

 private:
  struct Connection {
    explicit Connection(asio::io_context* context)
        : socket(*context), timer(*context) {}

    void Close() {
      closed = true;
      timer.cancel();
      asio::error_code ignored;
      socket.close(ignored);
    }

    Tcp::socket socket;
    asio::steady_timer timer;
    std::string server;
    // Shared by the server's connections; it ends with the last of them, since
    // another process may follow.
    std::shared_ptr<detail::EchoHistory> echo_history;
    PoolRequest request;
    asio::const_buffer unwritten;  // The rest of the request.
    asio::error_code write_error;  // Why the rest can't be written.
    detail::ResponseReader reader;
    std::array<char, kReadBytes> buffer;
    Time start_time{};
    Time idle_since{};
    Time idle_until{};
    Duration connect_time{0};
    std::size_t counted_bytes = 0;  // Its share of buffered_bytes_.
    int foreign_responses = 0;
    bool used = false;     // It has had a response.
    bool sent = false;     // Bytes of the request may have been sent.
    bool written = false;  // The whole request has been written.
    bool idle = false;
    bool closed = false;
  };
  using ConnectionPtr = std::shared_ptr<Connection>;

  void BeginResponse(const ConnectionPtr& connection) {
    connection->reader.Begin(connection->request.head_only,
                             connection->request.max_body_bytes);
  }

  std::shared_ptr<detail::EchoHistory> EchoHistoryOf(
      const std::string& server) {
    std::weak_ptr<detail::EchoHistory>& known = echo_histories_[server];
    std::shared_ptr<detail::EchoHistory> history = known.lock();
    if (history)
      return history;
    history = std::make_shared<detail::EchoHistory>();
    known = history;
    if (echo_histories_.size() >= purge_size_) {
      std::erase_if(echo_histories_,
                    [](const auto& entry) { return entry.second.expired(); });
      purge_size_ = std::max(kMinPurgeSize, 2 * echo_histories_.size());
    }
    return history;
  }

  void UpdateBufferedBytes(const ConnectionPtr& connection) {
    const std::size_t buffered = connection->reader.buffered_bytes();
    buffered_bytes_ += buffered - connection->counted_bytes;
    connection->counted_bytes = buffered;
  }

  void ReleaseBufferedBytes(const ConnectionPtr& connection) {
    buffered_bytes_ -= std::exchange(connection->counted_bytes, 0);
  }

  // Fails the requests with the largest responses until the others fit into the
  // limit.
  void EnforceBufferLimit() {
    while (buffered_bytes_ > settings_.max_buffered_bytes) {
      const auto largest = std::max_element(
          busy_.begin(), busy_.end(), [](const auto& a, const auto& b) {
            return a.second->counted_bytes < b.second->counted_bytes;
          });
      const ConnectionPtr connection = largest->second;
      Fail(connection, AttemptOutcome::kTooLarge);
    }
  }

  ConnectionPtr TakeIdle(const std::string& server, bool fresh) {
    const auto found = idle_.find(server);
    if (found == idle_.end())
      return nullptr;
    auto& list = found->second;
    const Time now = SteadyNow();
    while (!list.empty()) {
      ConnectionPtr connection = std::move(list.back());
      list.pop_back();
      // NOTE What is there already can't be the response to a request that has
      // yet to be sent.
      if (now >= connection->idle_until || HasInput(&connection->socket)) {
        connection->Close();
        continue;
      }
      if (fresh && now - connection->idle_since > kRecentUse) {
        list.push_back(std::move(connection));
        return nullptr;
      }
      connection->idle = false;
      return connection;
    }
    idle_.erase(found);
    return nullptr;
  }

  void Connect(const ConnectionPtr& connection) {
    asio::error_code error;
    const auto endpoint = EndpointOf(connection->request.address, &error);
    if (!error)
      connection->socket.open(Tcp::v4(), error);
    if (error) {
      asio::post(*context_, [this, connection] {
        if (!connection->closed)
          Fail(connection, AttemptOutcome::kNotSent);
      });
      return;
    }
    Configure(&connection->socket);
    connection->timer.expires_after(kConnectTimeout);
    connection->timer.async_wait(
        [this, connection](const asio::error_code& timer_error) {
          if (!timer_error && !connection->closed && !connection->sent)
            Fail(connection, AttemptOutcome::kNotSent);
        });
    connection->socket.async_connect(
        endpoint, [this, connection](const asio::error_code& connect_error) {
          if (connection->closed)
            return;
          connection->timer.cancel();
          if (connect_error)
            return Fail(connection, AttemptOutcome::kNotSent);
          connection->connect_time =
              std::max(SteadyNow() - connection->start_time, Duration(1));
          asio::error_code ignored;
          if (connection->socket.available(ignored) > 0)
            return Fail(connection, AttemptOutcome::kNotSent);
          Write(connection);
          Read(connection);
        });
  }

  static void Configure(Tcp::socket* socket) {
    asio::error_code ignored;
    socket->set_option(Tcp::no_delay(true), ignored);
    socket->non_blocking(true, ignored);
    const int timeout = kUserTimeoutMs;
    // NOTE If the kernel lacks the option, only the request's own time
    // limit applies.
    setsockopt(socket->native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT, &timeout,
               sizeof(timeout));
  }

  void Write(const ConnectionPtr& connection) {
    connection->sent = true;
    connection->unwritten = asio::buffer(connection->request.bytes);
    ContinueWriting(connection);
  }

  // NOTE Writes are made here and not in the event loop, so that an error is
  // known before the next read, which won't see it.
  void ContinueWriting(const ConnectionPtr& connection) {
    asio::error_code error;
    connection->unwritten +=
        connection->socket.write_some(connection->unwritten, error);
    connection->written = connection->unwritten.size() == 0;
    if (connection->written)
      return;
    if (error && error != asio::error::would_block) {
      // The read ends too, possibly with a response that the server sent before
      // it read the whole body.
      connection->write_error = error;
      return;
    }
    connection->socket.async_wait(
        Tcp::socket::wait_write,
        [this, connection](const asio::error_code& wait_error) {
          if (connection->closed)
            return;
          if (wait_error)
            connection->write_error = wait_error;
          else
            ContinueWriting(connection);
        });
  }

  // NOTE Bytes stay in the socket until they are handled, so that those that
  // came while the connection was idle are found there by TakeIdle().
  void Read(const ConnectionPtr& connection) {
    connection->socket.async_wait(
        Tcp::socket::wait_read,
        [this, connection](const asio::error_code& wait_error) {
          if (connection->closed)
            return;
          if (connection->idle)
            return Discard(connection);
          if (wait_error)
            return OnReadFailed(connection, wait_error);
          asio::error_code error;
          const std::size_t size = connection->socket.read_some(
              asio::buffer(connection->buffer), error);
          if (error == asio::error::would_block)
            return Read(connection);
          if (error)
            return OnReadFailed(connection, error);
          OnBytes(connection, size);
        });
  }

  void OnReadFailed(const ConnectionPtr& connection,
                    const asio::error_code& error) {
    const detail::StreamEnd end =
        detail::ClassifyStreamEnd(error, connection->write_error);
    LogResponseEnd(*connection, error, end);
    // NOTE Only an orderly close completes a response without a length; after a
    // reset it may be truncated.
    if (end == detail::StreamEnd::kOrderly) {
      connection->reader.ReadEnd();
      if (connection->reader.state() ==
          detail::ResponseReader::State::kComplete) {
        const detail::ResponseOwner owner = OwnerOf(*connection);
        return owner == detail::ResponseOwner::kOtherRequest
                   ? Fail(connection, AttemptOutcome::kBroken)
                   : Complete(connection, owner, /*extra_bytes=*/false);
      }
    }
    const bool rejected = end == detail::StreamEnd::kReset &&
                          connection->connect_time > Duration::zero() &&
                          !connection->reader.started();
    Fail(connection, rejected ? AttemptOutcome::kConnectionRejected
                              : AttemptOutcome::kBroken);
  }

  // Logs that the connection ended before the response did, or with it.
  static void LogResponseEnd(const Connection& connection,
                             const asio::error_code& read_error,
                             detail::StreamEnd end) {
    if (!connection.reader.started())
      return;
    Log(connection.write_error ? LogLevel::kInfo : LogLevel::kDebug,
        "answer_ended_with_connection",
        {{"server", connection.server},
         {"end", NameOf(detail::kStreamEndNames, end)},
         {"status", connection.reader.status()},
         {"received_bytes", connection.reader.buffered_bytes()},
         {"request_bytes", connection.request.bytes.size()},
         {"written", connection.written},
         {"write_error", connection.write_error.message()},
         {"read_error", read_error.message()}});
  }

  void OnBytes(const ConnectionPtr& connection, std::size_t size) {
    std::size_t used = 0;
    while (true) {
      used += connection->reader.Read(connection->buffer.data() + used,
                                      size - used);
      switch (connection->reader.state()) {
        case detail::ResponseReader::State::kReading:
          UpdateBufferedBytes(connection);
          EnforceBufferLimit();
          if (!connection->closed)
            Read(connection);
          return;
        case detail::ResponseReader::State::kTooLarge:
          return Fail(connection, AttemptOutcome::kTooLarge);
        case detail::ResponseReader::State::kMalformed:
          Log(LogLevel::kInfo, "answer_malformed",
              {{"code", NumberOf(ResultCode::kAnswerMalformed)},
               {"server", connection->server}});
          return Fail(connection, AttemptOutcome::kBroken);
        case detail::ResponseReader::State::kComplete:
          break;
      }
      const detail::ResponseOwner owner = OwnerOf(*connection);
      if (owner != detail::ResponseOwner::kOtherRequest)
        return Complete(connection, owner, used < size);
      Log(LogLevel::kInfo, "answer_foreign",
          {{"server", connection->server},
           {"status", connection->reader.status()}});
      if (!connection->reader.keep_alive())
        return Fail(connection, AttemptOutcome::kBroken);
      // A late response to an earlier request; the expected one follows.
      if (++connection->foreign_responses > kMaxForeignResponses)
        return Fail(connection, AttemptOutcome::kTooLarge);
      BeginResponse(connection);
      if (used == size)
        return Read(connection);
    }
  }

  // Returns whose response was read.
  detail::ResponseOwner OwnerOf(const Connection& connection) const {
    const PoolRequest& request = connection.request;
    return connection.echo_history->OwnerOf(
        FindHeader(connection.reader.headers(), settings_.echo_header),
        {.request_id = request.echo,
         .echoes_all_or_none = request.echoes_all_or_none,
         .first_on_connection =
             !connection.used && connection.foreign_responses == 0});
  }

  // Returns whether the response lacks the signature that is due.
  static bool LacksSignature(const Connection& connection) {
    const std::string& name = connection.request.signature_header;
    return !name.empty() &&
           http_status::IsSuccess(connection.reader.status()) &&
           HeaderValue(connection.reader.headers(), name).empty();
  }

  void Complete(const ConnectionPtr& connection,
                detail::ResponseOwner owner,
                bool extra_bytes) {
    PoolResponse response;
    response.id = connection->request.id;
    response.outcome = AttemptOutcome::kAnswered;
    response.status = connection->reader.status();
    response.connect_time = connection->connect_time;
    response.maybe_foreign = owner == detail::ResponseOwner::kUndecided;
    const bool reusable = connection->reader.keep_alive() && !extra_bytes &&
                          connection->written && !LacksSignature(*connection);
    const Duration announced = connection->reader.idle_timeout();
    response.headers = connection->reader.TakeHeaders();
    response.body = connection->reader.TakeBody();
    busy_.erase(response.id);
    ReleaseBufferedBytes(connection);
    if (reusable)
      KeepIdle(connection, announced);
    else
      connection->Close();
    handler_(std::move(response));
  }

  void KeepIdle(const ConnectionPtr& connection, Duration announced) {
    const Time now = SteadyNow();
    const Duration idle_limit =
        announced > Duration::zero()
            ? std::max(announced - kIdleMargin, Duration(0))
            : kDefaultIdle;
    connection->idle = true;
    connection->used = true;
    connection->idle_since = now;
    connection->idle_until = now + idle_limit;
    connection->request = PoolRequest();
    auto& list = idle_[connection->server];
    list.push_back(connection);
    if (list.size() > 1 && now - list.front()->idle_since > kExtraIdle) {
      list.front()->Close();
      list.erase(list.begin());
    }
    Read(connection);
  }

  // Closes an idle connection that the server closed or sent unexpected bytes
  // on.
  void Discard(const ConnectionPtr& connection) {
    connection->Close();
    const auto found = idle_.find(connection->server);
    if (found != idle_.end())
      std::erase(found->second, connection);
  }

  void Fail(const ConnectionPtr& connection, AttemptOutcome outcome) {
    PoolResponse response;
    response.id = connection->request.id;
    response.outcome = outcome;
    response.connect_time = connection->connect_time;
    if (outcome == AttemptOutcome::kTooLarge) {
      Log(LogLevel::kWarning, "answer_too_large",
          {{"code", NumberOf(ResultCode::kAnswerTooLarge)},
           {"server", connection->server},
           {"buffered_bytes", connection->counted_bytes},
           {"foreign_answers", connection->foreign_responses}});
    }
    busy_.erase(response.id);
    ReleaseBufferedBytes(connection);
    connection->Close();
    handler_(std::move(response));
  }

  asio::io_context* const context_;
  const TargetPoolSettings settings_;
  const Handler handler_;
  std::size_t buffered_bytes_ = 0;
  std::unordered_map<std::uint64_t, ConnectionPtr> busy_;
  std::unordered_map<std::string, std::vector<ConnectionPtr>> idle_;
  std::unordered_map<std::string, std::weak_ptr<detail::EchoHistory>>
      echo_histories_;
  std::size_t purge_size_ = kMinPurgeSize;
};

TargetPool::TargetPool(asio::io_context* context,
                       TargetPoolSettings settings,
                       Handler handler)
    : impl_(std::make_unique<Impl>(context,
                                   std::move(settings),
                                   std::move(handler))) {}

TargetPool::~TargetPool() = default;

void TargetPool::Send(PoolRequest request) {
  impl_->Send(std::move(request));
}

void TargetPool::Cancel(std::uint64_t id) {
  impl_->Cancel(id);
}

void TargetPool::CloseIdleConnections(const std::string& server) {
  impl_->CloseIdleConnections(server);
}

std::size_t TargetPool::buffered_bytes() const {
  return impl_->buffered_bytes();
}

}  // namespace limpetrudder
