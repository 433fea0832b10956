// Stand-ins and helpers for the scripts of this review: a store, servers,
// clients and entry processes, on loopback addresses and the real clock.
// Blocking sockets, one thread for each connection.

#ifndef REVIEW_COMMON_2_HARNESS_H_
#define REVIEW_COMMON_2_HARNESS_H_

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <spawn.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <cerrno>
#include <chrono>
#include <condition_variable>
#include <csignal>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <deque>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <stdexcept>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

#include <nlohmann/json.hpp>

extern char** environ;

namespace review {

using Json = nlohmann::json;
using Clock = std::chrono::steady_clock;

inline double Seconds() {
  static const Clock::time_point start = Clock::now();
  return std::chrono::duration<double>(Clock::now() - start).count();
}

inline void Sleep(double seconds) {
  if (seconds > 0)
    std::this_thread::sleep_for(std::chrono::duration<double>(seconds));
}

inline bool HasTrouble() {
  const char* value = std::getenv("TROUBLE");
  return value == nullptr || std::string_view(value) != "0";
}

// The record of a run: what was sent, answered and run.
class Record {
 public:
  explicit Record(const std::string& path) : file_(path) {}

  void Line(const std::string& text) {
    const std::lock_guard lock(mutex_);
    char time[32];
    std::snprintf(time, sizeof(time), "%8.3f ", Seconds());
    file_ << time << text << "\n" << std::flush;
  }

 private:
  std::mutex mutex_;
  std::ofstream file_;
};

inline std::string ToLower(std::string text) {
  for (char& c : text)
    c = static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
  return text;
}

inline std::string Trim(std::string_view text) {
  const auto begin = text.find_first_not_of(" \t");
  if (begin == std::string_view::npos)
    return "";
  return std::string(
      text.substr(begin, text.find_last_not_of(" \t") - begin + 1));
}

// Header names in lower case.
using Headers = std::multimap<std::string, std::string>;

inline std::string HeaderOf(const Headers& headers, const std::string& name) {
  const auto found = headers.find(name);
  return found == headers.end() ? "" : found->second;
}

// One connection, with a buffer for what was read from it.
class Socket {
 public:
  Socket() = default;
  explicit Socket(int fd) : fd_(fd) {}
  Socket(const Socket&) = delete;
  Socket& operator=(const Socket&) = delete;
  ~Socket() { Close(); }

  int fd() const { return fd_; }
  bool open() const { return fd_ >= 0; }

  bool Connect(std::uint16_t port) {
    Close();
    fd_ = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    if (connect(fd_, reinterpret_cast<sockaddr*>(&address), sizeof(address)) ==
        0) {
      return true;
    }
    Close();
    return false;
  }

  void Close() {
    if (fd_ >= 0)
      close(fd_);
    fd_ = -1;
    buffer_.clear();
  }

  // Closes the connection with a reset.
  void Reset() {
    const linger at_once{1, 0};
    setsockopt(fd_, SOL_SOCKET, SO_LINGER, &at_once, sizeof(at_once));
    Close();
  }

  bool Write(std::string_view bytes) {
    while (!bytes.empty()) {
      const ssize_t sent =
          send(fd_, bytes.data(), bytes.size(), MSG_NOSIGNAL);
      if (sent <= 0)
        return false;
      bytes.remove_prefix(static_cast<std::size_t>(sent));
    }
    return true;
  }

  // Returns false at the end of the connection or after `timeout` seconds.
  bool Fill(double timeout) {
    pollfd poll_fd{fd_, POLLIN, 0};
    const int ready =
        poll(&poll_fd, 1, std::max(0, static_cast<int>(timeout * 1000)));
    if (ready <= 0)
      return false;
    char bytes[16384];
    const ssize_t size = recv(fd_, bytes, sizeof(bytes), 0);
    if (size <= 0) {
      ended_ = true;
      orderly_ = size == 0;
      return false;
    }
    buffer_.append(bytes, static_cast<std::size_t>(size));
    return true;
  }

  bool ended() const { return ended_; }
  // Whether it ended with a close and not with a reset.
  bool orderly() const { return orderly_; }
  std::string& buffer() { return buffer_; }

 private:
  int fd_ = -1;
  bool ended_ = false;
  bool orderly_ = false;
  std::string buffer_;
};

struct Head {
  std::string first_line;
  Headers headers;
};

// Reads a message head. A folded header line is read as RFC 9112, section 5.2
// allows: the fold counts as a space.
inline std::optional<Head> ReadHead(Socket* socket, double timeout) {
  const double until = Seconds() + timeout;
  std::size_t end = 0;
  while ((end = socket->buffer().find("\r\n\r\n")) == std::string::npos) {
    if (!socket->Fill(until - Seconds()))
      return std::nullopt;
  }
  const std::string text = socket->buffer().substr(0, end + 2);
  socket->buffer().erase(0, end + 4);
  std::vector<std::string> lines;
  for (std::size_t at = 0; at < text.size();) {
    const std::size_t line_end = text.find("\r\n", at);
    const std::string line = text.substr(at, line_end - at);
    if (!lines.empty() && !line.empty() &&
        (line.front() == ' ' || line.front() == '\t')) {
      lines.back() += " " + Trim(line);
    } else {
      lines.push_back(line);
    }
    at = line_end + 2;
  }
  Head head;
  head.first_line = lines.front();
  for (std::size_t i = 1; i < lines.size(); ++i) {
    const std::size_t colon = lines[i].find(':');
    if (colon == std::string::npos)
      return std::nullopt;
    head.headers.emplace(ToLower(lines[i].substr(0, colon)),
                         Trim(std::string_view(lines[i]).substr(colon + 1)));
  }
  return head;
}

// Reads `size` bytes of a body; returns false if they don't come.
inline bool ReadBytes(Socket* socket,
                      std::size_t size,
                      double timeout,
                      std::string* body) {
  const double until = Seconds() + timeout;
  while (socket->buffer().size() < size) {
    if (!socket->Fill(until - Seconds()))
      return false;
  }
  body->append(socket->buffer(), 0, size);
  socket->buffer().erase(0, size);
  return true;
}

struct Request {
  std::string method;
  std::string target;
  std::string path;
  std::map<std::string, std::string> query;
  Headers headers;
  std::size_t content_length = 0;
  std::string body;
};

inline std::string PercentDecoded(std::string_view text) {
  std::string decoded;
  for (std::size_t i = 0; i < text.size(); ++i) {
    if (text[i] == '%' && i + 2 < text.size()) {
      decoded += static_cast<char>(
          std::stoi(std::string(text.substr(i + 1, 2)), nullptr, 16));
      i += 2;
    } else {
      decoded += text[i];
    }
  }
  return decoded;
}

// Reads the head of a request; its body is still to be read.
inline std::optional<Request> ReadRequestHead(Socket* socket, double timeout) {
  auto head = ReadHead(socket, timeout);
  if (!head)
    return std::nullopt;
  Request request;
  const std::string& line = head->first_line;
  const std::size_t first = line.find(' ');
  const std::size_t last = line.rfind(' ');
  if (first == std::string::npos || first == last)
    return std::nullopt;
  request.method = line.substr(0, first);
  request.target = line.substr(first + 1, last - first - 1);
  request.path = request.target.substr(0, request.target.find('?'));
  if (request.path.size() < request.target.size()) {
    std::string_view query(request.target);
    query.remove_prefix(request.path.size() + 1);
    while (!query.empty()) {
      const std::string_view field = query.substr(0, query.find('&'));
      const std::size_t equals = field.find('=');
      if (equals != std::string_view::npos)
        request.query[std::string(field.substr(0, equals))] =
            PercentDecoded(field.substr(equals + 1));
      query.remove_prefix(std::min(query.size(), field.size() + 1));
    }
  }
  request.headers = std::move(head->headers);
  const std::string length = HeaderOf(request.headers, "content-length");
  if (!length.empty())
    request.content_length = std::stoull(length);
  return request;
}

inline std::string Message(const std::string& first_line,
                           const std::vector<std::string>& headers,
                           const std::string& body) {
  std::string bytes = first_line + "\r\n";
  for (const auto& header : headers)
    bytes += header + "\r\n";
  bytes += "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
  return bytes;
}

inline std::string StatusLine(int status) {
  return "HTTP/1.1 " + std::to_string(status) +
         (status < 300 ? " OK" : " Refused");
}

// A free loopback port that stays reserved for a process that this one starts:
// it is bound here, but not listened on, so that a socket that reuses addresses
// can take it, and nobody else gets it.
class ReservedPort {
 public:
  ReservedPort() {
    fd_ = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof(address);
    if (bind(fd_, reinterpret_cast<sockaddr*>(&address), size) != 0 ||
        getsockname(fd_, reinterpret_cast<sockaddr*>(&address), &size) != 0) {
      throw std::runtime_error("no free port");
    }
    const int on = 1;
    setsockopt(fd_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    port_ = ntohs(address.sin_port);
  }
  ReservedPort(const ReservedPort&) = delete;
  ReservedPort& operator=(const ReservedPort&) = delete;
  ~ReservedPort() { close(fd_); }

  std::uint16_t port() const { return port_; }

 private:
  int fd_ = -1;
  std::uint16_t port_ = 0;
};

// Accepts connections on a loopback port and calls `handler` for each, on a
// thread of its own.
class Listener {
 public:
  using Handler = std::function<void(Socket*)>;

  struct Options {
    int max_segment = 0;     // 0: as the system has it.
    int receive_buffer = 0;  // Likewise.
  };

  Listener(Handler handler, Options options) : handler_(std::move(handler)) {
    fd_ = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (options.max_segment > 0)
      setsockopt(fd_, IPPROTO_TCP, TCP_MAXSEG, &options.max_segment,
                 sizeof(options.max_segment));
    if (options.receive_buffer > 0)
      setsockopt(fd_, SOL_SOCKET, SO_RCVBUF, &options.receive_buffer,
                 sizeof(options.receive_buffer));
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof(address);
    if (bind(fd_, reinterpret_cast<sockaddr*>(&address), size) != 0 ||
        listen(fd_, 512) != 0 ||
        getsockname(fd_, reinterpret_cast<sockaddr*>(&address), &size) != 0) {
      throw std::runtime_error("can't listen");
    }
    port_ = ntohs(address.sin_port);
    thread_ = std::thread([this] { Run(); });
  }
  explicit Listener(Handler handler) : Listener(std::move(handler), {}) {}

  ~Listener() { Stop(); }

  // Stops listening and ends all connections.
  void Stop() {
    if (stopping_.exchange(true))
      return;
    shutdown(fd_, SHUT_RDWR);
    thread_.join();
    close(fd_);
    {
      const std::lock_guard lock(mutex_);
      for (const int fd : connections_)
        shutdown(fd, SHUT_RDWR);
    }
    std::unique_lock lock(mutex_);
    ended_.wait(lock, [this] { return running_ == 0; });
  }

  std::uint16_t port() const { return port_; }

 private:
  void Run() {
    while (!stopping_) {
      const int fd = accept4(fd_, nullptr, nullptr, SOCK_CLOEXEC);
      if (fd < 0)
        continue;
      const int on = 1;
      setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
      {
        const std::lock_guard lock(mutex_);
        connections_.insert(fd);
        ++running_;
      }
      std::thread([this, fd] {
        {
          Socket socket(fd);
          handler_(&socket);
          const std::lock_guard lock(mutex_);
          connections_.erase(fd);
        }
        const std::lock_guard lock(mutex_);
        --running_;
        ended_.notify_all();
      }).detach();
    }
  }

  const Handler handler_;
  int fd_ = -1;
  std::uint16_t port_ = 0;
  std::atomic<bool> stopping_{false};
  std::mutex mutex_;
  std::condition_variable ended_;
  int running_ = 0;  // Threads of connections.
  std::set<int> connections_;
  std::thread thread_;
};

inline std::string Base64(std::string_view bytes) {
  static constexpr char kDigits[] =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string text;
  for (std::size_t i = 0; i < bytes.size(); i += 3) {
    std::uint32_t group = 0;
    const std::size_t count = std::min<std::size_t>(3, bytes.size() - i);
    for (std::size_t j = 0; j < 3; ++j) {
      group <<= 8;
      if (j < count)
        group |= static_cast<unsigned char>(bytes[i + j]);
    }
    for (std::size_t j = 0; j < 4; ++j)
      text += j <= count ? kDigits[(group >> (18 - 6 * j)) & 63] : '=';
  }
  return text;
}

// The platform's store: items, pages, watches, transactions and leases. A read
// with AllowStale is answered by one of its copies in turn, each with an age of
// its own; without copies it is answered like any other.
class Store {
 public:
  // Besides, a page takes 1 MB at most, but one item at least.
  explicit Store(std::size_t page_items) : page_items_(page_items) {
    listener_ = std::make_unique<Listener>(
        [this](Socket* socket) { Serve(socket); });
  }

  std::uint16_t port() const { return listener_->port(); }

  std::uint64_t Put(const std::string& key, const std::string& value) {
    const std::lock_guard lock(mutex_);
    Write(key, Base64(value), 0);
    return revision_;
  }

  std::uint64_t Erase(const std::string& key) {
    const std::lock_guard lock(mutex_);
    Delete(key);
    return revision_;
  }

  // Ages in seconds of the copies that answer stale reads, in turn.
  void SetStaleAges(std::vector<double> ages) {
    const std::lock_guard lock(mutex_);
    stale_ages_ = std::move(ages);
    next_copy_ = 0;
  }

  // Called with each read of a page: its key to begin after, whether it may be
  // stale, the age with which it was answered, and the revision that it told.
  std::function<void(const std::string&, bool, double, std::uint64_t)> on_page;

 private:
  static constexpr std::size_t kPageBytes = 1'000'000;
  static constexpr std::size_t kRowBytes = 100;  // Of a row besides its value.

  struct Item {
    std::string value;  // As base64 text.
    std::uint64_t revision = 0;
    std::uint64_t created = 0;
    std::uint64_t lease = 0;
  };
  struct Lease {
    std::int64_t ttl_ms = 0;
    double expiry = 0;
  };
  struct Change {
    double at = 0;
    std::uint64_t revision = 0;
    std::string key;
    std::optional<Item> item;  // Not set: deleted.
  };

  static Json RowOf(const std::string& key, const Item& item) {
    return {{"Key", key},
            {"Value", item.value},
            {"Revision", item.revision},
            {"Created", item.created},
            {"Lease", item.lease}};
  }

  void Serve(Socket* socket) {
    while (auto request = ReadRequestHead(socket, 60)) {
      if (!ReadBytes(socket, request->content_length, 5, &request->body))
        return;
      const auto [status, body] = Handle(*request);
      if (!socket->Write(Message(StatusLine(status),
                                 {"Content-Type: application/json",
                                  "Store-Era: 1"},
                                 body.dump()))) {
        return;
      }
    }
  }

  std::pair<int, Json> Handle(const Request& request) {
    const std::string& path = request.path;
    const auto field = [&request](const char* name) {
      const auto found = request.query.find(name);
      return found == request.query.end() ? std::string() : found->second;
    };
    std::unique_lock lock(mutex_);
    ExpireLeases();
    if (path == "/limpetrudder/kv-range")
      return List(field("Prefix"), field("after"), field("AllowStale") == "1");
    if (path == "/limpetrudder/kv-watch") {
      return Watch(&lock, field("Prefix"), std::stoull(field("after")),
                   std::stoll(field("WaitMs")));
    }
    static const std::string kKeep = "/limpetrudder/kv-keep/";
    if (path.starts_with(kKeep)) {
      const auto lease = leases_.find(std::stoull(path.substr(kKeep.size())));
      if (lease == leases_.end())
        return {404, Json::object()};
      lease->second.expiry = Seconds() + lease->second.ttl_ms / 1000.0;
      return {200, {{"TtlMs", lease->second.ttl_ms}}};
    }
    const Json body = Json::parse(request.body, nullptr, false);
    if (!body.is_object())
      return {400, Json::object()};
    if (path == "/limpetrudder/kv-lease") {
      const std::int64_t ttl_ms = body.at("TtlMs");
      leases_[++last_lease_] = {ttl_ms, Seconds() + ttl_ms / 1000.0};
      return {200, {{"Lease", last_lease_}, {"TtlMs", ttl_ms}}};
    }
    if (path == "/limpetrudder/kv-txn")
      return Commit(body);
    return {404, Json::object()};
  }

  std::pair<int, Json> List(const std::string& prefix,
                            const std::string& after,
                            bool allow_stale) {
    double age = 0;
    if (allow_stale && !stale_ages_.empty())
      age = stale_ages_[next_copy_++ % stale_ages_.size()];
    // The state that long ago, by undoing what was written since.
    std::map<std::string, Item> items = items_;
    std::uint64_t revision = revision_;
    if (age > 0) {
      items.clear();
      revision = 1;
      for (const Change& change : changes_) {
        if (change.at > Seconds() - age)
          break;
        revision = change.revision;
        if (change.item)
          items[change.key] = *change.item;
        else
          items.erase(change.key);
      }
    }
    Json rows = Json::array();
    auto item = after.empty() ? items.begin() : items.upper_bound(after);
    std::size_t bytes = 0;
    for (; item != items.end() && rows.size() < page_items_; ++item) {
      const std::size_t row_bytes = item->second.value.size() + kRowBytes;
      if (!rows.empty() && bytes + row_bytes > kPageBytes)
        break;
      bytes += row_bytes;
      if (item->first.starts_with(prefix))
        rows.push_back(RowOf(item->first, item->second));
    }
    if (on_page)
      on_page(after, allow_stale, age, revision);
    return {200,
            {{"items", rows},
             {"HasMore", item != items.end()},
             {"StoreRevision", revision}}};
  }

  std::pair<int, Json> Watch(std::unique_lock<std::mutex>* lock,
                             const std::string& prefix,
                             std::uint64_t after,
                             std::int64_t wait_ms) {
    if (after > revision_)
      return {410, Json::object()};
    const auto has_news = [&] {
      return std::any_of(changes_.begin(), changes_.end(),
                         [&](const Change& change) {
                           return change.revision > after &&
                                  change.key.starts_with(prefix);
                         });
    };
    changed_.wait_for(*lock, std::chrono::milliseconds(wait_ms), has_news);
    Json events = Json::array();
    for (const Change& change : changes_) {
      if (change.revision <= after || !change.key.starts_with(prefix))
        continue;
      if (change.item)
        events.push_back(RowOf(change.key, *change.item));
      else
        events.push_back({{"Key", change.key},
                          {"Revision", change.revision},
                          {"Deleted", true}});
    }
    return {200, {{"events", events}, {"StoreRevision", revision_}}};
  }

  std::pair<int, Json> Commit(const Json& body) {
    for (const auto& row : body.value("ExpectRev", Json::array())) {
      const auto found = items_.find(row.at("Key"));
      const std::uint64_t revision =
          found == items_.end() ? 0 : found->second.revision;
      if (revision != row.at("Revision").get<std::uint64_t>())
        return {412, {{"items", Json::array()}}};
    }
    for (const auto& row : body.value("Writes", Json::array())) {
      const std::uint64_t lease = row.value("Lease", std::uint64_t{0});
      if (lease != 0 && leases_.count(lease) == 0)
        return {404, Json::object()};
      Write(row.at("Key"), row.at("Value"), lease);
    }
    for (const auto& key : body.value("Deletes", Json::array()))
      Delete(key);
    return {200, {{"Revision", revision_}}};
  }

  void Write(const std::string& key, std::string value, std::uint64_t lease) {
    Item& item = items_[key];
    item.value = std::move(value);
    item.revision = ++revision_;
    if (item.created == 0)
      item.created = revision_;
    item.lease = lease;
    changes_.push_back({Seconds(), revision_, key, item});
    changed_.notify_all();
  }

  void Delete(const std::string& key) {
    if (items_.erase(key) == 0)
      return;
    changes_.push_back({Seconds(), ++revision_, key, std::nullopt});
    changed_.notify_all();
  }

  void ExpireLeases() {
    for (auto lease = leases_.begin(); lease != leases_.end();) {
      if (lease->second.expiry > Seconds()) {
        ++lease;
        continue;
      }
      std::vector<std::string> keys;
      for (const auto& [key, item] : items_) {
        if (item.lease == lease->first)
          keys.push_back(key);
      }
      for (const auto& key : keys)
        Delete(key);
      lease = leases_.erase(lease);
    }
  }

  const std::size_t page_items_;
  std::mutex mutex_;
  std::condition_variable changed_;
  std::map<std::string, Item> items_;
  std::deque<Change> changes_;
  std::map<std::uint64_t, Lease> leases_;
  std::uint64_t revision_ = 1;
  std::uint64_t last_lease_ = 0;
  std::vector<double> stale_ages_;
  std::size_t next_copy_ = 0;
  std::unique_ptr<Listener> listener_;
};

// A server of a service. It writes its entry into the store at each heartbeat,
// and answers health checks, requests for other servers and requests without an
// id itself; `run` answers the rest.
class Server {
 public:
  // Runs a request whose head was read, and its body unless `early`. Returns
  // whether the connection goes on.
  using Run = std::function<bool(Server*, Request*, Socket*)>;

  Server(Store* store,
         std::string id,
         std::string service,
         Run run,
         bool early = false,
         Listener::Options options = {},
         std::string zone = "here")
      : store_(store),
        id_(std::move(id)),
        service_(std::move(service)),
        run_(std::move(run)),
        early_(early),
        zone_(std::move(zone)),
        born_(std::chrono::duration_cast<std::chrono::milliseconds>(
                  std::chrono::system_clock::now().time_since_epoch())
                  .count()) {
    listener_ = std::make_unique<Listener>(
        [this](Socket* socket) { Serve(socket); }, options);
    Beat();
    beats_ = std::thread([this] {
      std::unique_lock lock(mutex_);
      while (!wake_.wait_for(lock, std::chrono::milliseconds(1200),
                             [this] { return !registered_; })) {
        Beat();
      }
    });
  }

  ~Server() {
    EndHeartbeats();
    Stop();
  }

  // Ends the heartbeats; the entry stays.
  void EndHeartbeats() {
    {
      const std::lock_guard lock(mutex_);
      registered_ = false;
    }
    wake_.notify_all();
    if (beats_.joinable())
      beats_.join();
  }

  // Removes the entry, as a server does that leaves without being draining.
  void Deregister() {
    EndHeartbeats();
    store_->Erase("servers/" + id_);
  }

  // Ends the process: connections break off, and nothing listens any more.
  void Stop() { listener_->Stop(); }

  const std::string& id() const { return id_; }
  const std::string& service() const { return service_; }
  std::uint16_t port() const { return listener_->port(); }
  // Requests that were answered 421.
  int misdirected() const { return misdirected_; }

 private:
  void Beat() {
    const Json entry = {
        {"Service", service_},
        {"Address", "127.0.0.1:" + std::to_string(listener_->port())},
        {"Zone", zone_},
        {"Version", "v1"},
        {"Slots", 4},
        {"State", "ready"},
        {"WarmupLeftMs", 0},
        {"Sequence", ++sequence_},
        {"born", born_}};
    store_->Put("servers/" + id_, entry.dump());
  }

  void Serve(Socket* socket) {
    while (auto request = ReadRequestHead(socket, 60)) {
      const auto echo = "Request-Id: " + HeaderOf(request->headers, "request-id");
      const std::string target = HeaderOf(request->headers, "target-instance");
      if (!early_ &&
          !ReadBytes(socket, request->content_length, 10, &request->body)) {
        return;
      }
      bool goes_on = true;
      if (request->path == "/healthz") {
        goes_on = socket->Write(Message(
            StatusLine(200), {"Instance-Id: " + id_, "Server-Load: 0,0,4"}, ""));
      } else if (!target.empty() && target != id_) {
        ++misdirected_;
        goes_on = socket->Write(
            Message(StatusLine(421), {echo, "Instance-Id: " + id_}, ""));
      } else if (HeaderOf(request->headers, "request-id").empty()) {
        goes_on =
            socket->Write(Message(StatusLine(400), {"Not-Executed: 1"}, ""));
      } else {
        goes_on = run_(this, &*request, socket);
      }
      if (!goes_on || !socket->open())
        return;
    }
  }

  Store* const store_;
  const std::string id_;
  const std::string service_;
  const Run run_;
  const bool early_;
  const std::string zone_;
  const std::int64_t born_;
  std::uint64_t sequence_ = 0;
  std::atomic<int> misdirected_{0};
  std::mutex mutex_;
  std::condition_variable wake_;
  bool registered_ = true;
  std::unique_ptr<Listener> listener_;
  std::thread beats_;
};

struct Answer {
  bool answered = false;  // A complete answer came.
  int status = 0;
  Headers headers;
  std::string body;
};

// Sends one request on an open connection and reads its answer.
inline Answer Exchange(Socket* socket, const std::string& bytes, double timeout) {
  Answer answer;
  if (!socket->Write(bytes))
    return answer;
  const double until = Seconds() + timeout;
  auto head = ReadHead(socket, timeout);
  if (!head || head->first_line.size() < 12)
    return answer;
  answer.status = std::atoi(head->first_line.c_str() + 9);
  answer.headers = std::move(head->headers);
  const std::string length = HeaderOf(answer.headers, "content-length");
  if (!length.empty()) {
    answer.answered = ReadBytes(socket, std::stoull(length),
                                until - Seconds(), &answer.body);
  } else {
    while (socket->Fill(until - Seconds())) {
    }
    answer.body = socket->buffer();
    answer.answered = socket->ended() && socket->orderly();
  }
  return answer;
}

// One request on a new connection.
inline Answer Ask(std::uint16_t port, const std::string& bytes, double timeout) {
  Socket socket;
  if (!socket.Connect(port))
    return {};
  return Exchange(&socket, bytes, timeout);
}

// The processes that run, so that an end of this program from outside or by a
// fault ends them too.
inline std::atomic<pid_t> running_processes[16];

inline void KillProcesses() {
  for (auto& pid : running_processes) {
    if (const pid_t running = pid.exchange(0); running > 0)
      kill(running, SIGKILL);
  }
}

inline void Remember(pid_t pid) {
  for (auto& slot : running_processes) {
    pid_t free = 0;
    if (slot.compare_exchange_strong(free, pid))
      return;
  }
}

inline void Forget(pid_t pid) {
  for (auto& slot : running_processes) {
    pid_t known = pid;
    if (slot.compare_exchange_strong(known, 0))
      return;
  }
}

// An entry instance: a process of the deployed program.
class Entry {
 public:
  // `binary`: target/bin/limpetrudder. The settings are those of the template
  // deploy/settings.json for a machine of a small deployment.
  // `data_centre`: one of `regions`, which holds the region of each.
  Entry(std::string binary,
        std::string folder,
        std::string name,
        std::uint16_t store_port,
        const std::string& data_centre = "here",
        const std::map<std::string, std::string>& regions = {{"here",
                                                              "region"}})
      : binary_(std::move(binary)),
        folder_(std::move(folder)),
        name_(std::move(name)) {
    const auto address = [](std::uint16_t port) {
      return "127.0.0.1:" + std::to_string(port);
    };
    const Json settings = {{"instance", name_},
                           {"data_centre", data_centre},
                           {"regions", regions},
                           {"caller_address", address(front())},
                           {"ready_address", address(ready_.port())},
                           {"peer_address", address(peer())},
                           {"store_address", address(store_port)},
                           {"cores", 0.25},
                           {"link_mbps", 1000.0},
                           {"memory_mb", 260},
                           {"max_descriptors", 4100},
                           {"retry_budget", {{"ratio", 0.2}, {"slack", 56}}},
                           {"stop_bound_ms", 6000}};
    std::ofstream(SettingsPath()) << settings.dump(1);
  }

  ~Entry() { Kill(); }

  void Start() {
    posix_spawn_file_actions_t files;
    posix_spawn_file_actions_init(&files);
    const std::string log = folder_ + "/" + name_ + ".log";
    posix_spawn_file_actions_addopen(&files, STDOUT_FILENO, log.c_str(),
                                     O_WRONLY | O_CREAT | O_APPEND, 0644);
    posix_spawn_file_actions_adddup2(&files, STDOUT_FILENO, STDERR_FILENO);
    const std::string settings = SettingsPath();
    const char* arguments[] = {binary_.c_str(), "entry", "--settings",
                               settings.c_str(), nullptr};
    const int error =
        posix_spawn(&pid_, binary_.c_str(), &files, nullptr,
                    const_cast<char* const*>(arguments), environ);
    posix_spawn_file_actions_destroy(&files);
    if (error != 0)
      throw std::runtime_error("can't start " + binary_);
    Remember(pid_);
  }

  bool IsReady() const {
    return Ask(ready_.port(),
               "GET /limpetrudder/readyz HTTP/1.1\r\nHost: here\r\n\r\n", 1)
               .status == 200;
  }

  bool AwaitReady(double timeout) const {
    for (const double until = Seconds() + timeout; Seconds() < until;
         Sleep(0.02)) {
      if (IsReady())
        return true;
    }
    return false;
  }

  // Whether the process still runs.
  bool IsRunning() {
    if (pid_ > 0 && waitpid(pid_, &exit_status_, WNOHANG) == pid_) {
      Forget(pid_);
      pid_ = 0;
    }
    return pid_ > 0;
  }

  void Signal(int signal) const {
    if (pid_ > 0)
      kill(pid_, signal);
  }

  void Kill() {
    if (pid_ <= 0)
      return;
    kill(pid_, SIGKILL);
    waitpid(pid_, &exit_status_, 0);
    Forget(pid_);
    pid_ = 0;
  }

  pid_t pid() const { return pid_; }
  std::uint16_t front() const { return front_.port(); }
  std::uint16_t peer() const { return peer_.port(); }
  const std::string& name() const { return name_; }

 private:
  std::string SettingsPath() const { return folder_ + "/" + name_ + ".json"; }

  const std::string binary_;
  const std::string folder_;
  const std::string name_;
  const ReservedPort front_;
  const ReservedPort ready_;
  const ReservedPort peer_;
  pid_t pid_ = 0;
  int exit_status_ = 0;
};

// A temporary folder, removed at the end.
class Folder {
 public:
  Folder() {
    std::string name =
        (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
    if (mkdtemp(name.data()) == nullptr)
      throw std::runtime_error("no temporary folder");
    path_ = name;
  }
  ~Folder() {
    std::error_code ignored;
    if (std::getenv("KEEP") == nullptr)
      std::filesystem::remove_all(path_, ignored);
    else
      std::fprintf(stderr, "kept %s\n", path_.c_str());
  }
  const std::string& path() const { return path_; }

 private:
  std::string path_;
};

inline Json RouteOf(const std::string& name,
                    const std::string& prefix,
                    const std::string& kind,
                    const std::string& service) {
  return {{"Name", name},          {"Host", "shop.example"},
          {"Prefix", prefix},      {"Kind", kind},
          {"TimeoutMs", 6000},     {"LatencyTargetMs", 600},
          {"Priority", 1},         {"Service", service},
          {"MaxAttempts", 2}};
}

inline Json ServiceOf(const std::string& name) {
  return {{"Name", name},
          {"HealthPath", "/healthz"},
          {"MaxConns", 110},
          {"Protocol", "h1"},
          {"Tls", false}};
}

inline Json ConfigOf(std::uint64_t version, Json routes, Json services) {
  return {{"Version", version},
          {"Routes", std::move(routes)},
          {"Services", std::move(services)},
          {"Limits",
           {{"MaxHeaderBytes", 16384},
            {"MaxBodyBytes", 262144},
            {"HeaderTimeoutMs", 3000},
            {"IdleTimeoutMs", 15000}}}};
}

// A request of a client, as PROTOCOL.md has it.
inline std::string ClientRequest(const std::string& method,
                                 const std::string& target,
                                 const std::string& id,
                                 const std::string& body = {},
                                 const std::string& first_header = {}) {
  std::string bytes = method + " " + target + " HTTP/1.1\r\n";
  if (!first_header.empty())
    bytes += first_header + "\r\n";
  bytes += "Host: shop.example\r\nRequest-Id: " + id +
           "\r\nTimeout-Ms: 6000\r\n";
  if (!body.empty())
    bytes += "Content-Length: " + std::to_string(body.size()) + "\r\n";
  return bytes + "\r\n" + body;
}

// Runs a case: `run` returns whether the rule held. Returns the exit status of
// the script: 0 if it held, 1 if it was broken, 2 if the case couldn't run.
inline int Main(int count,
                char** arguments,
                const std::function<bool(const std::string& binary,
                                         Record* record)>& run) {
  if (count != 3) {
    std::fprintf(stderr, "usage: %s BINARY RECORD\n", arguments[0]);
    return 2;
  }
  std::signal(SIGPIPE, SIG_IGN);
  for (const int signal : {SIGTERM, SIGINT, SIGABRT}) {
    std::signal(signal, [](int) {
      KillProcesses();
      _exit(2);
    });
  }
  Seconds();
  try {
    Record record(arguments[2]);
    record.Line(HasTrouble() ? "with the disruption" : "without the disruption");
    const bool held = run(arguments[1], &record);
    record.Line(held ? "the rule held" : "the rule was broken");
    std::printf("%s\n", held ? "held" : "broken");
    return held ? 0 : 1;
  } catch (const std::exception& error) {
    std::fprintf(stderr, "the case couldn't run: %s\n", error.what());
    return 2;
  }
}

}  // namespace review

#endif  // REVIEW_COMMON_2_HARNESS_H_
