// Stand-ins and helpers for the cases of this review: the platform's store,
// servers, clients, and processes of limpetrudder, all on loopback addresses.
// Blocking sockets, one thread for each connection.

#ifndef REVIEW_COMMON_3_RIG_H_
#define REVIEW_COMMON_3_RIG_H_

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdarg>
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
#include <string>
#include <thread>
#include <vector>

#include <nlohmann/json.hpp>

namespace rig {

using Json = nlohmann::json;
using Clock = std::chrono::steady_clock;

inline Clock::time_point& Began() {
  static Clock::time_point began = Clock::now();
  return began;
}

// Milliseconds since the start of the case.
inline double Now() {
  return std::chrono::duration<double, std::milli>(Clock::now() - Began())
      .count();
}

inline void Sleep(double ms) {
  if (ms > 0)
    std::this_thread::sleep_for(std::chrono::duration<double, std::milli>(ms));
}

inline void SleepUntil(double at) {
  Sleep(at - Now());
}

// Lines of record.txt, with the time in milliseconds.
class Record {
 public:
  static Record& Get() {
    static Record record;
    return record;
  }
  void Open(const std::string& path) { file_ = std::fopen(path.c_str(), "w"); }
  void Line(const char* format, ...) __attribute__((format(printf, 2, 3))) {
    std::lock_guard lock(mutex_);
    va_list args;
    va_start(args, format);
    char text[2000];
    std::vsnprintf(text, sizeof(text), format, args);
    va_end(args);
    if (file_ != nullptr) {
      std::fprintf(file_, "%9.1f %s\n", Now(), text);
      std::fflush(file_);
    }
  }

 private:
  std::mutex mutex_;
  std::FILE* file_ = nullptr;
};

#define RECORD(...) ::rig::Record::Get().Line(__VA_ARGS__)

// The program to test, and the temporary folder.
inline std::string& Binary() {
  static std::string binary;
  return binary;
}
inline std::string& Folder() {
  static std::string folder;
  return folder;
}

inline void RemoveFolder() {
  std::error_code ignored;
  if (!Folder().empty())
    std::filesystem::remove_all(Folder(), ignored);
}

[[noreturn]] inline void CannotRun(const std::string& why) {
  RECORD("the case can't run: %s", why.c_str());
  std::fprintf(stderr, "the case can't run: %s\n", why.c_str());
  RemoveFolder();
  std::_Exit(2);
}

inline std::string Base64(const std::string& text) {
  static const char kDigits[] =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string out;
  for (std::size_t i = 0; i < text.size(); i += 3) {
    unsigned v = static_cast<unsigned char>(text[i]) << 16;
    if (i + 1 < text.size())
      v |= static_cast<unsigned char>(text[i + 1]) << 8;
    if (i + 2 < text.size())
      v |= static_cast<unsigned char>(text[i + 2]);
    out += kDigits[v >> 18];
    out += kDigits[(v >> 12) & 63];
    out += i + 1 < text.size() ? kDigits[(v >> 6) & 63] : '=';
    out += i + 2 < text.size() ? kDigits[v & 63] : '=';
  }
  return out;
}

inline bool Same(std::string_view a, std::string_view b) {
  return a.size() == b.size() && strncasecmp(a.data(), b.data(), a.size()) == 0;
}

struct Message {
  std::string first;  // Request line or status line.
  std::vector<std::pair<std::string, std::string>> headers;
  std::string body;
  bool whole = false;  // It was read to its end.
  bool any = false;    // Any byte was read.

  std::string Header(std::string_view name) const {
    for (const auto& [n, v] : headers) {
      if (Same(n, name))
        return v;
    }
    return {};
  }
  bool Has(std::string_view name) const {
    for (const auto& [n, v] : headers) {
      if (Same(n, name))
        return true;
    }
    return false;
  }
  std::string Method() const { return first.substr(0, first.find(' ')); }
  std::string Target() const {
    const auto a = first.find(' ');
    const auto b = first.find(' ', a + 1);
    return first.substr(a + 1, b - a - 1);
  }
  int Status() const {
    return first.size() > 12 ? std::atoi(first.c_str() + 9) : 0;
  }
};

// One connection. Closes it at its end.
class Conn {
 public:
  explicit Conn(int fd) : fd_(fd) {
    const int one = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
  }
  ~Conn() { Close(); }
  Conn(const Conn&) = delete;
  Conn& operator=(const Conn&) = delete;

  int fd() const { return fd_; }
  void Close() {
    if (fd_ >= 0)
      close(fd_);
    fd_ = -1;
  }
  void Reset() {
    const linger l{1, 0};
    setsockopt(fd_, SOL_SOCKET, SO_LINGER, &l, sizeof(l));
    Close();
  }
  bool Write(std::string_view bytes) {
    while (!bytes.empty()) {
      const ssize_t n = send(fd_, bytes.data(), bytes.size(), MSG_NOSIGNAL);
      if (n <= 0)
        return false;
      bytes.remove_prefix(static_cast<std::size_t>(n));
    }
    return true;
  }
  // Reads at most `most` further bytes into the buffer, until `deadline`.
  // Returns the number; 0 at the end, -1 for a failure or the deadline.
  ssize_t Fill(double deadline, std::size_t most = 65536) {
    while (true) {
      const double left = deadline - Now();
      if (left <= 0)
        return -1;
      pollfd p{fd_, POLLIN, 0};
      const int ready = poll(&p, 1, static_cast<int>(left) + 1);
      if (ready <= 0)
        continue;
      const std::size_t before = buffer_.size();
      buffer_.resize(before + most);
      const ssize_t n = recv(fd_, buffer_.data() + before, most, 0);
      buffer_.resize(before + (n > 0 ? static_cast<std::size_t>(n) : 0));
      return n;
    }
  }
  // Reads a message. `rate`: bytes a second at most, 0 for any.
  Message Read(double deadline, bool response, double rate = 0) {
    Message m;
    std::size_t end = std::string::npos;
    while ((end = buffer_.find("\r\n\r\n")) == std::string::npos) {
      m.any = m.any || !buffer_.empty();
      if (Fill(deadline, 4096) <= 0)
        return m;
    }
    m.any = true;
    std::string head = buffer_.substr(0, end);
    buffer_.erase(0, end + 4);
    std::size_t at = head.find("\r\n");
    m.first = head.substr(0, at);
    while (at != std::string::npos) {
      const std::size_t next = head.find("\r\n", at + 2);
      const std::string line = head.substr(
          at + 2, next == std::string::npos ? next : next - at - 2);
      const std::size_t colon = line.find(':');
      if (colon != std::string::npos) {
        std::size_t v = colon + 1;
        while (v < line.size() && line[v] == ' ')
          ++v;
        m.headers.push_back({line.substr(0, colon), line.substr(v)});
      }
      at = next;
    }
    if (Same(m.Header("Transfer-Encoding"), "chunked")) {
      while (true) {
        std::size_t nl;
        while ((nl = buffer_.find("\r\n")) == std::string::npos) {
          if (Fill(deadline) <= 0)
            return m;
        }
        const std::size_t size =
            std::strtoul(buffer_.substr(0, nl).c_str(), nullptr, 16);
        while (buffer_.size() < nl + 2 + size + 2) {
          if (Fill(deadline) <= 0)
            return m;
        }
        m.body += buffer_.substr(nl + 2, size);
        buffer_.erase(0, nl + 2 + size + 2);
        if (size == 0)
          break;
      }
      m.whole = true;
      return m;
    }
    if (!m.Has("Content-Length")) {
      m.whole = true;
      return m;
    }
    const std::size_t size = std::strtoul(
        m.Header("Content-Length").c_str(), nullptr, 10);
    const double began = Now();
    static_cast<void>(response);
    while (buffer_.size() < size) {
      if (rate > 0)
        SleepUntil(began + 1000.0 * static_cast<double>(buffer_.size()) / rate);
      if (Fill(deadline, rate > 0 ? 16384 : 65536) <= 0) {
        m.body = buffer_;
        return m;
      }
    }
    m.body = buffer_.substr(0, size);
    buffer_.erase(0, size);
    m.whole = true;
    return m;
  }
  // Whether the peer has closed the connection (nothing is read).
  bool Ended() {
    char c;
    const ssize_t n = recv(fd_, &c, 1, MSG_PEEK | MSG_DONTWAIT);
    return n == 0 || (n < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
  }
  std::string& buffer() { return buffer_; }

 private:
  int fd_;
  std::string buffer_;
};

inline sockaddr_in Loopback(int port) {
  sockaddr_in a{};
  a.sin_family = AF_INET;
  a.sin_port = htons(static_cast<std::uint16_t>(port));
  a.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return a;
}

// Opens a connection; null if it is refused. `mss`, `receive_bytes`: of the
// socket, 0 for the system's.
inline std::unique_ptr<Conn> Connect(int port,
                                     int mss = 0,
                                     int receive_bytes = 0) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (mss > 0)
    setsockopt(fd, IPPROTO_TCP, TCP_MAXSEG, &mss, sizeof(mss));
  if (receive_bytes > 0)
    setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &receive_bytes,
               sizeof(receive_bytes));
  const sockaddr_in a = Loopback(port);
  if (connect(fd, reinterpret_cast<const sockaddr*>(&a), sizeof(a)) != 0) {
    close(fd);
    return nullptr;
  }
  return std::make_unique<Conn>(fd);
}

inline int FreePort() {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in a = Loopback(0);
  socklen_t size = sizeof(a);
  if (bind(fd, reinterpret_cast<sockaddr*>(&a), size) != 0)
    CannotRun("no free port");
  getsockname(fd, reinterpret_cast<sockaddr*>(&a), &size);
  close(fd);
  return ntohs(a.sin_port);
}

// Accepts connections and hands each request to a handler, which returns
// whether the connection stays open.
class Listener {
 public:
  using Handler = std::function<bool(Conn&, Message&)>;

  // Port 0: a free one.
  Listener(int port, Handler handler) : handler_(std::move(handler)) {
    fd_ = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int one = 1;
    setsockopt(fd_, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
    sockaddr_in a = Loopback(port);
    socklen_t size = sizeof(a);
    if (bind(fd_, reinterpret_cast<sockaddr*>(&a), size) != 0 ||
        listen(fd_, 512) != 0)
      CannotRun("can't listen");
    getsockname(fd_, reinterpret_cast<sockaddr*>(&a), &size);
    port_ = ntohs(a.sin_port);
    std::thread([this] { Run(); }).detach();
  }
  int port() const { return port_; }
  std::atomic<int> open{0};

 private:
  void Run() {
    while (true) {
      const int fd = accept4(fd_, nullptr, nullptr, SOCK_CLOEXEC);
      if (fd < 0)
        continue;
      std::thread([this, fd] {
        ++open;
        Conn conn(fd);
        while (true) {
          Message m = conn.Read(Now() + 3600e3, false);
          if (!m.whole || !handler_(conn, m))
            break;
        }
        --open;
      }).detach();
    }
  }
  const Handler handler_;
  int fd_ = -1;
  int port_ = 0;
};

inline std::string Answer(int status,
                          const std::string& headers,
                          const std::string& body) {
  return "HTTP/1.1 " + std::to_string(status) + " X\r\n" + headers +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

// The platform's store. Pages hold 500 items or 1 MB at most, and the history
// HistoryS.
class Store {
 public:
  static constexpr double kHistoryMs = 20000;

  struct Item {
    std::string value;
    std::uint64_t revision = 0;
    std::uint64_t created = 0;
    std::uint64_t lease = 0;
  };
  struct Event {
    std::string key;
    std::optional<Item> item;
    std::uint64_t revision = 0;
    double at = 0;
  };

  Store() : listener_(0, [this](Conn& c, Message& m) { return Serve(c, m); }) {}

  int port() const { return listener_.port(); }

  std::uint64_t Put(const std::string& key,
                    const std::string& value,
                    std::uint64_t lease = 0) {
    std::lock_guard lock(mutex_);
    return PutLocked(key, value, lease);
  }
  void Erase(const std::string& key) {
    std::lock_guard lock(mutex_);
    EraseLocked(key);
  }
  bool Has(const std::string& key) {
    std::lock_guard lock(mutex_);
    return items_.count(key) > 0;
  }

  // How old a stale read of the page that begins behind `after` may be, in
  // milliseconds, and where a page has to end. Set before the start.
  std::function<double(const std::string& after)> stale_age;
  std::function<bool(const std::string& last, const std::string& next)>
      ends_page;
  std::function<void(const Message&)> on_call;

 private:
  static std::string Field(const std::string& target, const std::string& name) {
    const std::size_t q = target.find('?');
    std::size_t at = q;
    while (at != std::string::npos) {
      const std::size_t next = target.find('&', at + 1);
      const std::string field = target.substr(
          at + 1, next == std::string::npos ? next : next - at - 1);
      if (field.compare(0, name.size() + 1, name + "=") == 0) {
        std::string out;
        const std::string raw = field.substr(name.size() + 1);
        for (std::size_t i = 0; i < raw.size(); ++i) {
          if (raw[i] == '%' && i + 2 < raw.size()) {
            out += static_cast<char>(
                std::strtol(raw.substr(i + 1, 2).c_str(), nullptr, 16));
            i += 2;
          } else {
            out += raw[i];
          }
        }
        return out;
      }
      at = next;
    }
    return {};
  }

  std::uint64_t PutLocked(const std::string& key,
                          const std::string& value,
                          std::uint64_t lease) {
    Item& item = items_[key];
    item.value = value;
    item.revision = ++revision_;
    if (item.created == 0)
      item.created = revision_;
    item.lease = lease;
    history_.push_back({key, item, revision_, Now()});
    return revision_;
  }
  void EraseLocked(const std::string& key) {
    if (items_.erase(key) == 0)
      return;
    ++revision_;
    history_.push_back({key, std::nullopt, revision_, Now()});
  }
  void ExpireLocked() {
    std::vector<std::string> gone;
    for (const auto& [key, item] : items_) {
      if (item.lease != 0 && leases_[item.lease].second < Now())
        gone.push_back(key);
    }
    for (const auto& key : gone)
      EraseLocked(key);
  }
  static Json Row(const std::string& key, const Item& item) {
    return {{"Key", key},
            {"Value", Base64(item.value)},
            {"Revision", item.revision},
            {"Created", item.created},
            {"Lease", item.lease}};
  }

  bool Serve(Conn& conn, Message& m) {
    int status = 200;
    Json body = Json::object();
    {
      std::lock_guard lock(mutex_);
      if (on_call)
        on_call(m);
      ExpireLocked();
      Handle(m, &status, &body);
    }
    return conn.Write(Answer(status,
                             "Content-Type: application/json\r\n"
                             "Store-Era: 1\r\n",
                             body.dump()));
  }

  void Handle(const Message& m, int* status, Json* body) {
    const std::string target = m.Target();
    const std::string path = target.substr(0, target.find('?'));
    if (path == "/limpetrudder/kv-range")
      return List(target, body);
    if (path == "/limpetrudder/kv-watch")
      return Watch(target, status, body);
    if (path == "/limpetrudder/kv-lease") {
      const double ttl = Json::parse(m.body)["TtlMs"];
      const std::uint64_t lease = ++last_lease_;
      leases_[lease] = {ttl, Now() + ttl};
      *body = {{"Lease", lease}, {"TtlMs", ttl}};
      return;
    }
    if (path.compare(0, 22, "/limpetrudder/kv-keep/") == 0) {
      const auto found = leases_.find(std::stoull(path.substr(22)));
      if (found == leases_.end() || found->second.second < Now()) {
        *status = 404;
        return;
      }
      found->second.second = Now() + found->second.first;
      *body = {{"TtlMs", found->second.first}};
      return;
    }
    if (path == "/limpetrudder/kv-txn")
      return Commit(Json::parse(m.body), status, body);
    *status = 404;
  }

  void List(const std::string& target, Json* body) {
    const std::string prefix = Field(target, "Prefix");
    const std::string after = Field(target, "after");
    std::map<std::string, Item> view = items_;
    std::uint64_t revision = revision_;
    if (Field(target, "AllowStale") == "1" && stale_age) {
      const double age = stale_age(after);
      if (age > 0) {
        view.clear();
        revision = first_revision_;
        for (const Event& e : history_) {
          if (e.at > Now() - age)
            break;
          revision = e.revision;
          if (e.item)
            view[e.key] = *e.item;
          else
            view.erase(e.key);
        }
      }
    }
    Json items = Json::array();
    std::size_t bytes = 0;
    bool more = false;
    std::string last;
    for (auto i = after.empty() ? view.begin() : view.upper_bound(after);
         i != view.end(); ++i) {
      if (i->first.compare(0, prefix.size(), prefix) != 0)
        continue;
      if (!items.empty() &&
          (items.size() >= 500 || bytes + i->second.value.size() * 4 / 3 > 1e6 ||
           (ends_page && ends_page(last, i->first)))) {
        more = true;
        break;
      }
      items.push_back(Row(i->first, i->second));
      bytes += i->second.value.size() * 4 / 3 + 100;
      last = i->first;
    }
    *body = {{"items", items}, {"HasMore", more}, {"StoreRevision", revision}};
  }

  void Watch(const std::string& target, int* status, Json* body) {
    const std::uint64_t after = std::stoull("0" + Field(target, "after"));
    if (after > revision_) {
      *status = 410;
      return;
    }
    Json events = Json::array();
    for (const Event& e : history_) {
      if (e.at < Now() - kHistoryMs && e.revision > after) {
        *status = 410;
        return;
      }
      if (e.revision <= after)
        continue;
      events.push_back(e.item ? Row(e.key, *e.item)
                              : Json{{"Key", e.key},
                                     {"Revision", e.revision},
                                     {"Deleted", true}});
    }
    *body = {{"events", events}, {"StoreRevision", revision_}};
  }

  void Commit(const Json& txn, int* status, Json* body) {
    for (const Json& row : txn.value("ExpectRev", Json::array())) {
      const auto found = items_.find(row["Key"].get<std::string>());
      const std::uint64_t current =
          found == items_.end() ? 0 : found->second.revision;
      if (current != row["Revision"].get<std::uint64_t>()) {
        *status = 412;
        *body = {{"items", Json::array()}};
        return;
      }
    }
    for (const Json& row : txn.value("Writes", Json::array())) {
      const std::uint64_t lease = row.value("Lease", std::uint64_t{0});
      if (lease != 0 &&
          (leases_.count(lease) == 0 || leases_[lease].second < Now())) {
        *status = 404;
        return;
      }
      PutLocked(row["Key"], Decode(row["Value"].get<std::string>()), lease);
    }
    for (const Json& key : txn.value("Deletes", Json::array()))
      EraseLocked(key.get<std::string>());
    *body = {{"Revision", revision_}};
  }

  static std::string Decode(const std::string& text) {
    std::string out;
    unsigned v = 0;
    int bits = 0;
    for (const char c : text) {
      int d = -1;
      if (c >= 'A' && c <= 'Z')
        d = c - 'A';
      else if (c >= 'a' && c <= 'z')
        d = c - 'a' + 26;
      else if (c >= '0' && c <= '9')
        d = c - '0' + 52;
      else if (c == '+')
        d = 62;
      else if (c == '/')
        d = 63;
      if (d < 0)
        break;
      v = (v << 6) | static_cast<unsigned>(d);
      bits += 6;
      if (bits >= 8) {
        bits -= 8;
        out += static_cast<char>((v >> bits) & 255);
      }
    }
    return out;
  }

  std::mutex mutex_;
  std::map<std::string, Item> items_;
  std::deque<Event> history_;
  std::map<std::uint64_t, std::pair<double, double>> leases_;
  std::uint64_t last_lease_ = 1000;
  const std::uint64_t first_revision_ = 100;
  std::uint64_t revision_ = first_revision_;
  Listener listener_;
};

// A machine's link: connections to a port that together carry so many bytes a
// second from there.
class SlowLink {
 public:
  SlowLink(int target, double bytes_per_second)
      : target_(target), rate_(bytes_per_second) {
    fd_ = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in a = Loopback(0);
    socklen_t size = sizeof(a);
    if (bind(fd_, reinterpret_cast<sockaddr*>(&a), size) != 0 ||
        listen(fd_, 512) != 0)
      CannotRun("can't listen");
    getsockname(fd_, reinterpret_cast<sockaddr*>(&a), &size);
    port_ = ntohs(a.sin_port);
    std::thread([this] {
      while (true) {
        const int fd = accept4(fd_, nullptr, nullptr, SOCK_CLOEXEC);
        if (fd >= 0)
          std::thread([this, fd] { Carry(fd); }).detach();
      }
    }).detach();
  }
  int port() const { return port_; }

 private:
  void Carry(int fd) {
    const auto client = std::make_shared<Conn>(fd);
    const std::shared_ptr<Conn> server = Connect(target_);
    if (!server)
      return;
    const auto end = [client, server] {
      shutdown(client->fd(), SHUT_RDWR);
      shutdown(server->fd(), SHUT_RDWR);
    };
    std::thread([client, server, end] {
      char buffer[8192];
      while (true) {
        const ssize_t n = recv(client->fd(), buffer, sizeof(buffer), 0);
        if (n <= 0 ||
            !server->Write({buffer, static_cast<std::size_t>(n)}))
          return end();
      }
    }).detach();
    char buffer[8192];
    while (true) {
      const ssize_t n = recv(server->fd(), buffer, sizeof(buffer), 0);
      if (n <= 0)
        return end();
      double at = 0;
      {
        std::lock_guard lock(mutex_);
        free_at_ = std::max(free_at_, Now()) +
                   1000.0 * static_cast<double>(n) / rate_;
        at = free_at_;
      }
      SleepUntil(at);
      if (!client->Write({buffer, static_cast<std::size_t>(n)}))
        return end();
    }
  }
  const int target_;
  const double rate_;
  int fd_ = -1;
  int port_ = 0;
  std::mutex mutex_;
  double free_at_ = 0;
};

// A server of a service. Runs `slots` requests at a time and lets `queue` more
// wait; others are turned away.
class Server {
 public:
  struct Run {
    double at = 0;
    std::string request_id;
    Message request;  // Without its body.
  };
  // Answers a request that is for this server; the default one answers 200.
  using Work = std::function<bool(Server&, Conn&, Message&)>;

  Server(Store* store,
         std::string id,
         std::string service,
         std::string zone,
         Work work = nullptr)
      : store_(store),
        id_(std::move(id)),
        service_(std::move(service)),
        zone_(std::move(zone)),
        work_(std::move(work)),
        born_(std::chrono::duration_cast<std::chrono::milliseconds>(
                  std::chrono::system_clock::now().time_since_epoch())
                  .count()),
        listener_(0, [this](Conn& c, Message& m) { return Serve(c, m); }) {}

  const std::string& id() const { return id_; }
  const std::string& service() const { return service_; }
  int port() const { return listener_.port(); }
  std::atomic<bool> registered{true};
  std::atomic<bool> draining{false};
  int slots = 4;
  int queue = 12;

  void Beat() {
    if (!registered)
      return;
    store_->Put("servers/" + id_,
                Json({{"Service", service_},
                      {"Address", "127.0.0.1:" + std::to_string(port())},
                      {"Zone", zone_},
                      {"Version", "v1"},
                      {"Slots", slots},
                      {"State", draining ? "draining" : "ready"},
                      {"WarmupLeftMs", 0},
                      {"Sequence", ++sequence_},
                      {"born", born_}})
                    .dump());
  }

  std::string Stamp(const Message& m) {
    return service_ + "." + id_ + "." + m.Header("Request-Id");
  }
  std::string Headers(const Message& m) {
    return "Request-Id: " + m.Header("Request-Id") +
           "\r\nServer-Stamp: " + Stamp(m) + "\r\n" + Load() +
           (draining ? "Server-Leaving: 1\r\n" : "");
  }

  std::vector<Run> runs() {
    std::lock_guard lock(mutex_);
    return runs_;
  }

 private:
  bool Serve(Conn& conn, Message& m) {
    if (m.Target() == "/healthz")
      return conn.Write(Answer(draining ? 503 : 200,
                               "Instance-Id: " + id_ + "\r\n", ""));
    const std::string wanted = m.Header("Target-Instance");
    if (!wanted.empty() && wanted != id_)
      return conn.Write(Answer(421, "Instance-Id: " + id_ + "\r\n", ""));
    if (m.Header("Request-Id").empty())
      return conn.Write(Answer(400, "Not-Executed: 1\r\n", ""));
    {
      std::unique_lock lock(mutex_);
      if (running_ >= slots && waiting_ >= queue) {
        lock.unlock();
        return conn.Write(Answer(503,
                                 "Request-Id: " + m.Header("Request-Id") +
                                     "\r\nNot-Executed: 1\r\n" + Load(),
                                 ""));
      }
      ++waiting_;
      free_.wait(lock, [this] { return running_ < slots; });
      --waiting_;
      ++running_;
      runs_.push_back({Now(), m.Header("Request-Id"), Head(m)});
    }
    const bool open =
        work_ ? work_(*this, conn, m)
              : conn.Write(Answer(200, Headers(m), "body of " + Stamp(m)));
    {
      std::lock_guard lock(mutex_);
      --running_;
    }
    free_.notify_one();
    return open;
  }
  static Message Head(const Message& m) {
    Message head;
    head.first = m.first;
    head.headers = m.headers;
    return head;
  }
  std::string Load() {
    std::lock_guard lock(mutex_);
    return "Server-Load: " + std::to_string(running_) + "," +
           std::to_string(waiting_) + "," + std::to_string(slots) + "\r\n";
  }

  Store* const store_;
  const std::string id_;
  const std::string service_;
  const std::string zone_;
  const Work work_;
  const std::int64_t born_;
  std::uint64_t sequence_ = 0;
  std::mutex mutex_;
  std::condition_variable free_;
  int running_ = 0;
  int waiting_ = 0;
  std::vector<Run> runs_;
  Listener listener_;
};

// Writes the entries of servers each 1,200 ms, as HeartbeatMs says.
class Beats {
 public:
  explicit Beats(std::vector<Server*> servers) : servers_(std::move(servers)) {
    for (Server* server : servers_)
      server->Beat();
    std::thread([this] {
      while (true) {
        Sleep(1200);
        for (Server* server : servers_)
          server->Beat();
      }
    }).detach();
  }

 private:
  std::vector<Server*> servers_;
};

// A process of limpetrudder, started with the command of the deploy file.
class Entry {
 public:
  Entry(std::string folder, std::string name, std::string zone, int store_port)
      : folder_(std::move(folder)),
        name_(std::move(name)),
        caller_port(FreePort()),
        ready_port(FreePort()),
        peer_port(FreePort()) {
    const auto address = [](int port) {
      return "127.0.0.1:" + std::to_string(port);
    };
    settings = {{"instance", name_},
                {"data_centre", zone},
                {"regions", {{zone, "r-" + zone}}},
                {"caller_address", address(caller_port)},
                {"ready_address", address(ready_port)},
                {"peer_address", address(peer_port)},
                {"store_address", address(store_port)},
                {"cores", 0.25},
                {"link_mbps", 1000.0},
                {"memory_mb", 260},
                {"max_descriptors", 4100},
                {"retry_budget", {{"ratio", 0.2}, {"slack", 56}}},
                {"stop_bound_ms", 6000}};
  }
  ~Entry() { Kill(); }

  void Start() {
    const std::string file = folder_ + "/" + name_ + ".json";
    std::ofstream(file) << settings.dump(2);
    pid = fork();
    if (pid == 0) {
      // The process ends with the case, however that ends.
      prctl(PR_SET_PDEATHSIG, SIGKILL);
      const int log = open((folder_ + "/" + name_ + ".log").c_str(),
                           O_CREAT | O_WRONLY | O_APPEND, 0644);
      dup2(log, 1);
      dup2(log, 2);
      execl(Binary().c_str(), "limpetrudder", "entry", "--settings",
            file.c_str(), static_cast<char*>(nullptr));
      std::_Exit(127);
    }
    RECORD("%s started", name_.c_str());
  }
  // Waits until it reports itself ready.
  void AwaitReady(double ms = 15000) {
    const double until = Now() + ms;
    while (Now() < until) {
      if (IsReady())
        return RECORD("%s is ready", name_.c_str());
      Sleep(50);
    }
    Kill();
    CannotRun(name_ + " isn't ready");
  }
  bool IsReady() {
    const auto conn = Connect(ready_port);
    if (!conn ||
        !conn->Write("GET /limpetrudder/readyz HTTP/1.1\r\nHost: x\r\n\r\n"))
      return false;
    return conn->Read(Now() + 500, true).Status() == 200;
  }
  void Signal(int number) {
    RECORD("signal %d to %s", number, name_.c_str());
    if (pid > 0)
      kill(pid, number);
  }
  // Returns the wait status once the process has ended; nothing after `ms`.
  std::optional<int> Wait(double ms) {
    const double until = Now() + ms;
    while (pid > 0) {
      int status = 0;
      if (waitpid(pid, &status, WNOHANG) == pid) {
        pid = -1;
        RECORD("%s has ended, status 0x%x", name_.c_str(), status);
        return status;
      }
      if (Now() >= until)
        return std::nullopt;
      Sleep(5);
    }
    return std::nullopt;
  }
  void Kill() {
    if (pid <= 0)
      return;
    kill(pid, SIGCONT);
    kill(pid, SIGKILL);
    waitpid(pid, nullptr, 0);
    pid = -1;
  }
  // Resident memory in MB.
  double MemoryMb() const {
    std::ifstream file("/proc/" + std::to_string(pid) + "/status");
    for (std::string line; std::getline(file, line);) {
      if (line.compare(0, 6, "VmRSS:") == 0)
        return std::atof(line.c_str() + 6) / 1024;
    }
    return 0;
  }

  Json settings;

 private:
  const std::string folder_;
  const std::string name_;

 public:
  const int caller_port;
  const int ready_port;
  const int peer_port;
  pid_t pid = -1;
};

// A request as a client sends it.
inline std::string Request(const std::string& method,
                           const std::string& host,
                           const std::string& path,
                           const std::string& id,
                           int timeout_ms,
                           const std::string& body = "",
                           const std::string& more = "") {
  std::string text = method + " " + path + " HTTP/1.1\r\nHost: " + host +
                     "\r\nRequest-Id: " + id +
                     "\r\nTimeout-Ms: " + std::to_string(timeout_ms) + "\r\n" +
                     more;
  if (!body.empty() || method == "POST")
    text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
  return text + "\r\n" + body;
}

inline Json Limits() {
  return {{"MaxHeaderBytes", 16384},
          {"MaxBodyBytes", 262144},
          {"HeaderTimeoutMs", 3000},
          {"IdleTimeoutMs", 15000}};
}

inline Json Service(const std::string& name, int max_conns) {
  return {{"Name", name},
          {"HealthPath", "/healthz"},
          {"MaxConns", max_conns},
          {"Protocol", "h1"},
          {"Tls", false}};
}

inline bool Trouble() {
  const char* value = std::getenv("TROUBLE");
  return value == nullptr || std::string(value) != "0";
}

// Reads the arguments of review/common-2/run_case.sh: the program to test and the
// path of record.txt. Returns a temporary folder.
inline std::string Begin(int argc, char** argv) {
  signal(SIGPIPE, SIG_IGN);
  Began();
  if (argc < 3) {
    std::fprintf(stderr, "usage: %s PROGRAM RECORD\n", argv[0]);
    std::_Exit(2);
  }
  Binary() = argv[1];
  Record::Get().Open(argv[2]);
  RECORD("TROUBLE=%d", Trouble() ? 1 : 0);
  std::string name =
      (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
  if (mkdtemp(name.data()) == nullptr)
    CannotRun("no temporary folder");
  return Folder() = name;
}

// Ends the case. Entries have to be killed before.
[[noreturn]] inline void End(bool broken, const std::string& what) {
  RECORD("%s: %s", broken ? "BROKEN" : "held", what.c_str());
  std::printf("%s: %s\n", broken ? "broken" : "held", what.c_str());
  std::fflush(nullptr);
  RemoveFolder();
  std::_Exit(broken ? 1 : 0);
}

}  // namespace rig

#endif  // REVIEW_COMMON_3_RIG_H_
