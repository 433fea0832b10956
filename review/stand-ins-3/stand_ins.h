// Stand-ins for the cases of the third review: the platform's store, servers,
// clients, and the start and end of real instances. Each follows the pages of
// the users; what a case changes is set by the case. Loopback addresses only.
#ifndef REVIEW_STAND_INS_3_STAND_INS_H_
#define REVIEW_STAND_INS_3_STAND_INS_H_

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>
#include <fcntl.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdarg>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <deque>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include <nlohmann/json.hpp>

namespace review {

using Json = nlohmann::json;
using Clock = std::chrono::steady_clock;

inline const Clock::time_point kBegin = Clock::now();

inline std::int64_t NowMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now() -
                                                               kBegin)
      .count();
}

inline std::int64_t UnixMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

inline void SleepMs(std::int64_t ms) {
  std::this_thread::sleep_for(std::chrono::milliseconds(ms));
}

// Writes the lines of record.txt, each with the milliseconds since the start.
class Record {
 public:
  explicit Record(const std::string& path) : file_(path) {}

  void Line(const char* format, ...) __attribute__((format(printf, 2, 3))) {
    char text[2000];
    va_list arguments;
    va_start(arguments, format);
    std::vsnprintf(text, sizeof(text), format, arguments);
    va_end(arguments);
    std::lock_guard lock(mutex_);
    char line[2100];
    std::snprintf(line, sizeof(line), "%8.3f %s\n",
                  static_cast<double>(NowMs()) / 1000, text);
    file_ << line << std::flush;
  }

 private:
  std::mutex mutex_;
  std::ofstream file_;
};

inline sockaddr_in Loopback(int port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return address;
}

inline std::string AddressOf(int port) {
  return "127.0.0.1:" + std::to_string(port);
}

// Returns ports that nobody has bound. They lie below those that the system gives
// to outgoing connections, so that none of these takes one before its use.
inline std::vector<int> FreePorts(int count) {
  static int next = 15'000 + static_cast<int>((static_cast<unsigned>(getpid()) *
                                                   97U +
                                               static_cast<unsigned>(UnixMs())) %
                                              15'000U);
  std::vector<int> ports;
  for (int tries = 0; static_cast<int>(ports.size()) < count; ++tries) {
    if (tries > 10'000) {
      std::fprintf(stderr, "no free ports\n");
      std::exit(2);
    }
    next = next >= 31'000 ? 15'000 : next + 1;
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const sockaddr_in address = Loopback(next);
    if (bind(fd, reinterpret_cast<const sockaddr*>(&address),
             sizeof(address)) == 0)
      ports.push_back(next);
    close(fd);
  }
  return ports;
}

using Headers = std::vector<std::pair<std::string, std::string>>;

inline bool SameName(const std::string& a, const std::string& b) {
  return strcasecmp(a.c_str(), b.c_str()) == 0;
}

inline std::string HeaderOf(const Headers& headers, const std::string& name) {
  for (const auto& [key, value] : headers) {
    if (SameName(key, name))
      return value;
  }
  return "";
}

struct Message {
  std::string first_line;
  Headers headers;
  std::string body;

  std::string header(const std::string& name) const {
    return HeaderOf(headers, name);
  }
  std::string method() const {
    return first_line.substr(0, first_line.find(' '));
  }
  std::string target() const {
    const auto begin = first_line.find(' ') + 1;
    return first_line.substr(begin, first_line.find(' ', begin) - begin);
  }
  std::string path() const { return target().substr(0, target().find('?')); }
  std::string query(const std::string& name) const {
    const std::string all = target();
    auto at = all.find('?');
    while (at != std::string::npos) {
      const auto begin = at + 1;
      at = all.find('&', begin);
      const std::string field = all.substr(begin, at - begin);
      if (field.rfind(name + "=", 0) == 0)
        return field.substr(name.size() + 1);
    }
    return "";
  }
  int status() const {
    return first_line.size() > 12 ? std::atoi(first_line.c_str() + 9) : 0;
  }
};

// Reads messages from a socket. Returns nothing at its end or after the time.
class Reader {
 public:
  explicit Reader(int fd) : fd_(fd) {}

  std::optional<Message> Next(std::int64_t timeout_ms, bool is_response) {
    const std::int64_t until = NowMs() + timeout_ms;
    std::size_t head = 0;
    while ((head = data_.find("\r\n\r\n")) == std::string::npos) {
      if (!Fill(until))
        return std::nullopt;
    }
    Message message;
    std::size_t at = 0;
    while (at < head) {
      const std::size_t end = std::min(data_.find("\r\n", at), head);
      const std::string line = data_.substr(at, end - at);
      at = end + 2;
      if (message.first_line.empty()) {
        message.first_line = line;
        continue;
      }
      // RFC 9112, 5.2: a folded line belongs to the value before it, and the
      // fold is replaced by a space.
      if (line[0] == ' ' || line[0] == '\t') {
        if (!message.headers.empty())
          message.headers.back().second +=
              " " + line.substr(std::min(line.find_first_not_of(" \t"),
                                         line.size()));
        continue;
      }
      const auto colon = line.find(':');
      const auto value = line.find_first_not_of(" \t", colon + 1);
      message.headers.emplace_back(
          line.substr(0, colon),
          value == std::string::npos ? "" : line.substr(value));
    }
    data_.erase(0, head + 4);
    if (SameName(message.header("Transfer-Encoding"), "chunked")) {
      if (!ReadChunks(&message.body, until))
        return std::nullopt;
    } else if (const std::string length = message.header("Content-Length");
               !length.empty()) {
      const std::size_t size = std::strtoul(length.c_str(), nullptr, 10);
      while (data_.size() < size) {
        if (!Fill(until))
          return std::nullopt;
      }
      message.body = data_.substr(0, size);
      data_.erase(0, size);
    } else if (is_response && message.status() != 204) {
      while (Fill(until)) {
      }
      message.body.swap(data_);
    }
    return message;
  }

  bool has_data() const { return !data_.empty(); }
  // Whether the peer has closed or reset the connection.
  bool ended() const { return ended_; }

 private:
  bool Fill(std::int64_t until) {
    pollfd entry{fd_, POLLIN, 0};
    const std::int64_t left = until - NowMs();
    if (left <= 0 || poll(&entry, 1, static_cast<int>(left)) <= 0)
      return false;
    char buffer[16 << 10];
    const ssize_t size = recv(fd_, buffer, sizeof(buffer), 0);
    if (size <= 0) {
      ended_ = true;
      return false;
    }
    data_.append(buffer, static_cast<std::size_t>(size));
    return true;
  }

  bool ReadChunks(std::string* body, std::int64_t until) {
    while (true) {
      std::size_t end = 0;
      while ((end = data_.find("\r\n")) == std::string::npos) {
        if (!Fill(until))
          return false;
      }
      const std::size_t size = std::strtoul(data_.c_str(), nullptr, 16);
      while (data_.size() < end + 2 + size + 2) {
        if (!Fill(until))
          return false;
      }
      body->append(data_, end + 2, size);
      data_.erase(0, end + 2 + size + 2);
      if (size == 0)
        return true;
    }
  }

  const int fd_;
  std::string data_;
  bool ended_ = false;
};

inline bool SendAll(int fd, const std::string& bytes) {
  std::size_t sent = 0;
  while (sent < bytes.size()) {
    const ssize_t size =
        send(fd, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
    if (size <= 0)
      return false;
    sent += static_cast<std::size_t>(size);
  }
  return true;
}

inline std::string Response(int status,
                            const Headers& headers,
                            const std::string& body) {
  std::string text = "HTTP/1.1 " + std::to_string(status) + " Status\r\n";
  for (const auto& [name, value] : headers)
    text += name + ": " + value + "\r\n";
  return text + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
         body;
}

// Listens on a loopback port; one thread for each connection. The handler
// answers on the socket itself and returns whether the connection stays open.
class Listener {
 public:
  using Handler = std::function<bool(int fd, const Message& request)>;

  Listener(int port, Handler handler) : handler_(std::move(handler)) {
    fd_ = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(fd_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    const sockaddr_in address = Loopback(port);
    if (bind(fd_, reinterpret_cast<const sockaddr*>(&address),
             sizeof(address)) != 0 ||
        listen(fd_, 256) != 0) {
      std::perror("listen");
      std::exit(2);
    }
    thread_ = std::thread([this] { Accept(); });
  }

  // The threads of connections end with the process.
  ~Listener() { Close(); }

  void Close() {
    if (fd_ < 0)
      return;
    shutdown(fd_, SHUT_RDWR);
    thread_.join();
    close(fd_);
    fd_ = -1;
    std::lock_guard lock(*mutex_);
    for (const int fd : *open_)
      shutdown(fd, SHUT_RDWR);
  }

 private:
  void Accept() {
    while (true) {
      const int fd = accept4(fd_, nullptr, nullptr, SOCK_CLOEXEC);
      if (fd < 0)
        return;
      const int on = 1;
      setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
      {
        std::lock_guard lock(*mutex_);
        open_->insert(fd);
      }
      std::thread([fd, handler = handler_, mutex = mutex_, open = open_] {
        Reader reader(fd);
        while (const auto request = reader.Next(60'000, false)) {
          if (!handler(fd, *request))
            break;
        }
        std::lock_guard lock(*mutex);
        open->erase(fd);
        close(fd);
      }).detach();
    }
  }

  const Handler handler_;
  int fd_ = -1;
  std::thread thread_;
  std::shared_ptr<std::mutex> mutex_ = std::make_shared<std::mutex>();
  std::shared_ptr<std::set<int>> open_ = std::make_shared<std::set<int>>();
};

inline std::string Base64(const std::string& text) {
  static const char* const kDigits =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string out;
  for (std::size_t i = 0; i < text.size(); i += 3) {
    unsigned value = 0;
    for (std::size_t j = 0; j < 3; ++j) {
      value <<= 8;
      if (i + j < text.size())
        value |= static_cast<unsigned char>(text[i + j]);
    }
    for (std::size_t j = 0; j < 4; ++j) {
      out += i + j <= text.size() ? kDigits[(value >> (18 - 6 * j)) & 63] : '=';
    }
  }
  return out;
}

inline std::string FromBase64(const std::string& text) {
  std::string out;
  unsigned value = 0;
  int bits = 0;
  for (const char c : text) {
    int digit = 0;
    if (c >= 'A' && c <= 'Z')
      digit = c - 'A';
    else if (c >= 'a' && c <= 'z')
      digit = c - 'a' + 26;
    else if (c >= '0' && c <= '9')
      digit = c - '0' + 52;
    else if (c == '+')
      digit = 62;
    else if (c == '/')
      digit = 63;
    else
      break;
    value = (value << 6) | static_cast<unsigned>(digit);
    bits += 6;
    if (bits >= 8) {
      bits -= 8;
      out += static_cast<char>((value >> bits) & 255);
    }
  }
  return out;
}

// The platform's metadata store. It keeps all that it has acknowledged, and its
// full history.
class Store {
 public:
  struct Item {
    std::string value;
    std::uint64_t revision = 0;
    std::uint64_t created = 0;
    std::uint64_t lease = 0;
  };
  using Items = std::map<std::string, Item>;

  Store(int port, std::size_t page_items, Record* record)
      : page_items_(page_items),
        record_(record),
        listener_(port, [this](int fd, const Message& request) {
          return OnRequest(fd, request);
        }) {}

  // How far behind a read with AllowStale is, in milliseconds; by default 0.
  // `after` is the key after which the page begins, empty for the first page.
  std::function<std::int64_t(const std::string& after)> stale_by_ms;

  // A write of the operator or of a server. Returns its revision.
  std::uint64_t Put(const std::string& key, const std::string& value) {
    std::lock_guard lock(mutex_);
    return Write(key, value, 0);
  }

  void Delete(const std::string& key) {
    std::lock_guard lock(mutex_);
    Erase(key);
  }

  std::optional<std::string> Get(const std::string& key) {
    std::lock_guard lock(mutex_);
    const auto found = items_.find(key);
    if (found == items_.end())
      return std::nullopt;
    return found->second.value;
  }

 private:
  struct State {
    std::int64_t at = 0;  // Since then, until the next state.
    Items items;
    std::uint64_t revision = 0;
  };

  bool OnRequest(int fd, const Message& request) {
    std::string answer;
    {
      std::lock_guard lock(mutex_);
      answer = Answer(request);
    }
    return SendAll(fd, answer);
  }

  static std::string Ok(int status, const Json& body) {
    return Response(status,
                    {{"Content-Type", "application/json"}, {"Store-Era", "1"}},
                    body.dump());
  }

  std::string Answer(const Message& request) {
    ExpireLeases();
    const std::string path = request.path();
    if (path == "/limpetrudder/kv-range")
      return List(request);
    if (path == "/limpetrudder/kv-watch")
      return Changes(request);
    const std::string keep = "/limpetrudder/kv-keep/";
    if (path.rfind(keep, 0) == 0) {
      const auto found =
          leases_.find(std::strtoull(path.c_str() + keep.size(), nullptr, 10));
      if (found == leases_.end())
        return Ok(404, Json::object());
      found->second.until = NowMs() + found->second.ttl;
      return Ok(200, {{"TtlMs", found->second.ttl}});
    }
    const Json body = Json::parse(request.body, nullptr, false);
    if (body.is_discarded())
      return Ok(400, Json::object());
    if (path == "/limpetrudder/kv-lease") {
      const std::int64_t ttl = body["TtlMs"];
      leases_[++last_lease_] = {ttl, NowMs() + ttl};
      return Ok(200, {{"Lease", last_lease_}, {"TtlMs", ttl}});
    }
    if (path == "/limpetrudder/kv-txn")
      return Transact(body);
    return Ok(404, Json::object());
  }

  std::string List(const Message& request) {
    const std::string prefix = Decode(request.query("Prefix"));
    const std::string after = Decode(request.query("after"));
    const bool stale = request.query("AllowStale") == "1";
    const std::int64_t behind = stale && stale_by_ms ? stale_by_ms(after) : 0;
    State now{NowMs(), items_, revision_};
    const State* state = &now;
    if (behind > 0) {
      for (const State& old : states_) {
        if (old.at <= NowMs() - behind)
          state = &old;
      }
      if (state == &now && !states_.empty())
        state = &states_.front();
    }
    Json items = Json::array();
    auto item = after.empty() ? state->items.begin()
                              : state->items.upper_bound(after);
    std::string keys;
    for (; item != state->items.end() && items.size() < page_items_; ++item) {
      if (item->first.rfind(prefix, 0) != 0)
        continue;
      items.push_back({{"Key", item->first},
                       {"Value", Base64(item->second.value)},
                       {"Revision", item->second.revision},
                       {"Created", item->second.created},
                       {"Lease", item->second.lease}});
      keys += (keys.empty() ? "" : " ") + item->first + "@" +
              std::to_string(item->second.revision);
    }
    record_->Line(
        "store: page after \"%s\" AllowStale=%d: %lld ms behind, StoreRevision "
        "%llu: %s",
        after.c_str(), stale ? 1 : 0, static_cast<long long>(behind),
        static_cast<unsigned long long>(state->revision),
        keys.substr(0, 300).c_str());
    return Ok(200, {{"items", items},
                    {"HasMore", item != state->items.end()},
                    {"StoreRevision", state->revision}});
  }

  std::string Changes(const Message& request) {
    const std::uint64_t after =
        std::strtoull(request.query("after").c_str(), nullptr, 10);
    if (after > revision_)
      return Ok(410, Json::object());
    const std::string prefix = Decode(request.query("Prefix"));
    Json events = Json::array();
    for (const Json& event : history_) {
      if (event["Revision"].get<std::uint64_t>() > after &&
          event["Key"].get<std::string>().rfind(prefix, 0) == 0)
        events.push_back(event);
    }
    return Ok(200, {{"events", events}, {"StoreRevision", revision_}});
  }

  std::string Transact(const Json& body) {
    for (const Json& row : body.value("ExpectRev", Json::array())) {
      const auto found = items_.find(row["Key"]);
      const std::uint64_t current =
          found == items_.end() ? 0 : found->second.revision;
      if (current != row["Revision"].get<std::uint64_t>())
        return Ok(412, {{"items", Json::array()}});
    }
    const Json writes = body.value("Writes", Json::array());
    for (const Json& row : writes) {
      const std::uint64_t lease = row.value("Lease", std::uint64_t{0});
      if (lease != 0 && leases_.count(lease) == 0)
        return Ok(404, Json::object());
      const std::string key = row["Key"];
      if (key.rfind("op/", 0) == 0 || key.rfind("servers/", 0) == 0)
        return Ok(403, Json::object());
    }
    for (const Json& row : writes) {
      Write(row["Key"], FromBase64(row["Value"]),
            row.value("Lease", std::uint64_t{0}));
    }
    for (const Json& key : body.value("Deletes", Json::array()))
      Erase(key);
    return Ok(200, {{"Revision", revision_}});
  }

  std::uint64_t Write(const std::string& key,
                      const std::string& value,
                      std::uint64_t lease) {
    Item& item = items_[key];
    ++revision_;
    if (item.created == 0)
      item.created = revision_;
    item.value = value;
    item.revision = revision_;
    item.lease = lease;
    history_.push_back({{"Key", key},
                        {"Value", Base64(value)},
                        {"Revision", revision_},
                        {"Created", item.created},
                        {"Lease", lease}});
    Keep();
    return revision_;
  }

  void Erase(const std::string& key) {
    if (items_.erase(key) == 0)
      return;
    ++revision_;
    history_.push_back(
        {{"Key", key}, {"Revision", revision_}, {"Deleted", true}});
    Keep();
  }

  // Keeps the states of the last 10 s, for reads with AllowStale.
  void Keep() {
    states_.push_back({NowMs(), items_, revision_});
    while (states_.size() > 1 && states_[1].at < NowMs() - 10'000)
      states_.pop_front();
  }

  void ExpireLeases() {
    std::vector<std::uint64_t> ended;
    for (const auto& [id, lease] : leases_) {
      if (lease.until <= NowMs())
        ended.push_back(id);
    }
    for (const std::uint64_t id : ended) {
      leases_.erase(id);
      std::vector<std::string> keys;
      for (const auto& [key, item] : items_) {
        if (item.lease == id)
          keys.push_back(key);
      }
      for (const std::string& key : keys)
        Erase(key);
    }
  }

  static std::string Decode(const std::string& text) {
    std::string out;
    for (std::size_t i = 0; i < text.size(); ++i) {
      if (text[i] == '%' && i + 2 < text.size()) {
        out += static_cast<char>(
            std::strtoul(text.substr(i + 1, 2).c_str(), nullptr, 16));
        i += 2;
      } else {
        out += text[i];
      }
    }
    return out;
  }

  struct Lease {
    std::int64_t ttl = 0;
    std::int64_t until = 0;
  };

  const std::size_t page_items_;
  Record* const record_;
  std::mutex mutex_;
  Items items_;
  std::uint64_t revision_ = 1;
  std::deque<State> states_;
  std::vector<Json> history_;
  std::map<std::uint64_t, Lease> leases_;
  std::uint64_t last_lease_ = 100;
  Listener listener_;
};

// A sound server: registers in the store, answers 421 to what is meant for
// another one, echoes the request's id and signs its answers.
class Server {
 public:
  struct Run {
    std::int64_t at = 0;
    Message request;
  };

  Server(std::string id,
         std::string service,
         std::string zone,
         int port,
         Store* store,
         Record* record)
      : id_(std::move(id)),
        service_(std::move(service)),
        zone_(std::move(zone)),
        port_(port),
        store_(store),
        record_(record),
        born_(UnixMs()),
        listener_(port, [this](int fd, const Message& request) {
          return OnRequest(fd, request);
        }) {}

  ~Server() { StopHeartbeats(); }

  // Replaces the answer to a request that it runs; returns as a handler does.
  std::function<bool(int fd, const Message& request)> on_run;
  std::atomic<int> work_ms{5};
  // What a part's body holds; empty: a text for routes to one server.
  std::string part;
  // Requests that it runs at once and that wait besides; it sheds the others.
  int slots = 4;
  int queue = 16;
  // Whether each run is written to the record.
  bool records_runs = true;

  void StartHeartbeats() {
    Beat();
    beating_ = true;
    beats_ = std::thread([this] {
      std::int64_t next = NowMs() + 1200;
      while (beating_) {
        SleepMs(20);
        if (NowMs() < next)
          continue;
        next += 1200;
        Beat();
      }
    });
  }

  void StopHeartbeats() {
    beating_ = false;
    if (beats_.joinable())
      beats_.join();
  }

  void Beat() {
    std::lock_guard lock(beat_mutex_);
    store_->Put("servers/" + id_,
                Json({{"Service", service_},
                      {"Address", AddressOf(port_)},
                      {"Zone", zone_},
                      {"Version", "v1"},
                      {"Slots", slots},
                      {"State", draining_ ? "draining" : "ready"},
                      {"WarmupLeftMs", 0},
                      {"Sequence", ++sequence_},
                      {"born", born_}})
                    .dump());
  }

  void SetDraining() { draining_ = true; }

  // Ends the process that it stands for.
  void Close() { listener_.Close(); }

  std::vector<Run> runs() {
    std::lock_guard lock(mutex_);
    return runs_;
  }
  const std::string& id() const { return id_; }
  const std::string& service() const { return service_; }

 private:
  bool OnRequest(int fd, const Message& request) {
    Headers headers = {{"Instance-Id", id_}};
    if (draining_)
      headers.emplace_back("Server-Leaving", "1");
    const std::string request_id = request.header("Request-Id");
    if (!request_id.empty())
      headers.emplace_back("Request-Id", request_id);
    const std::string expected = request.header("Target-Instance");
    if (!expected.empty() && expected != id_)
      return SendAll(fd, Response(421, headers, ""));
    if (request.path() == "/healthz")
      return SendAll(fd, Response(draining_ ? 503 : 200, headers, ""));
    if (request_id.empty()) {
      headers.emplace_back("Not-Executed", "1");
      return SendAll(fd, Response(400, headers, ""));
    }
    if (taken_.fetch_add(1) >= slots + queue) {
      --taken_;
      headers.emplace_back("Not-Executed", "1");
      return SendAll(fd, Response(503, headers, ""));
    }
    {
      std::unique_lock lock(slot_mutex_);
      slot_free_.wait(lock, [this] { return running_ < slots; });
      ++running_;
    }
    {
      std::lock_guard lock(mutex_);
      runs_.push_back({NowMs(), request});
      if (!records_runs)
        runs_.back().request.body.clear();
    }
    if (records_runs) {
      record_->Line("server %s (%s) runs %s %s", id_.c_str(), service_.c_str(),
                    request_id.c_str(), request.first_line.c_str());
    }
    bool keep = true;
    if (on_run) {
      keep = on_run(fd, request);
    } else {
      SleepMs(work_ms);
      headers.emplace_back("Server-Stamp", service_ + "." + request_id);
      keep = SendAll(fd, Response(200, headers,
                                  part.empty() ? id_ + " served " + request_id
                                               : part));
    }
    {
      std::lock_guard lock(slot_mutex_);
      --running_;
    }
    slot_free_.notify_one();
    --taken_;
    return keep;
  }

  const std::string id_;
  const std::string service_;
  const std::string zone_;
  const int port_;
  Store* const store_;
  Record* const record_;
  const std::int64_t born_;
  std::mutex beat_mutex_;
  std::uint64_t sequence_ = 0;
  std::atomic<bool> draining_{false};
  std::atomic<bool> beating_{false};
  std::thread beats_;
  std::mutex mutex_;
  std::vector<Run> runs_;
  std::atomic<int> taken_{0};
  std::mutex slot_mutex_;
  std::condition_variable slot_free_;
  int running_ = 0;
  Listener listener_;
};

// One real instance, started with the command of the deploy file.
class Instance {
 public:
  Instance(std::string name, std::string zone, Json regions, int store_port,
           std::string folder, Record* record)
      : name_(std::move(name)), folder_(std::move(folder)), record_(record) {
    const auto ports = FreePorts(3);
    caller_port_ = ports[0];
    ready_port_ = ports[1];
    peer_port_ = ports[2];
    // The template of the deploy file with the figures of a small deployment.
    settings_ = {{"instance", name_},
                 {"data_centre", std::move(zone)},
                 {"regions", std::move(regions)},
                 {"caller_address", AddressOf(caller_port_)},
                 {"ready_address", AddressOf(ready_port_)},
                 {"peer_address", AddressOf(peer_port_)},
                 {"store_address", AddressOf(store_port)},
                 {"cores", 0.25},
                 {"link_mbps", 1000.0},
                 {"memory_mb", 260},
                 {"max_descriptors", 4100},
                 {"retry_budget", {{"ratio", 0.2}, {"slack", 56}}},
                 {"stop_bound_ms", 6000}};
  }

  ~Instance() {
    Signal(SIGKILL);
    Wait(5000);
  }

  Json& settings() { return settings_; }
  int caller_port() const { return caller_port_; }
  int ready_port() const { return ready_port_; }
  const std::string& name() const { return name_; }
  pid_t pid() const { return pid_; }

  void Start() {
    const std::string file = folder_ + "/" + name_ + ".json";
    std::ofstream(file) << settings_.dump(2);
    const char* binary = std::getenv("LIMPETRUDDER");
    const std::string program =
        binary == nullptr ? "target/bin/limpetrudder" : binary;
    const std::string log = folder_ + "/" + name_ + ".log";
    pid_ = fork();
    if (pid_ == 0) {
      // The instance doesn't outlive the case.
      prctl(PR_SET_PDEATHSIG, SIGKILL);
      const int out =
          open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
      dup2(out, 1);
      dup2(out, 2);
      execl(program.c_str(), program.c_str(), "entry", "--settings",
            file.c_str(), nullptr);
      _exit(127);
    }
    record_->Line("instance %s started, process %d", name_.c_str(), pid_);
  }

  void Signal(int signal) {
    if (pid_ <= 0)
      return;
    kill(pid_, signal);
    record_->Line("instance %s gets signal %d", name_.c_str(), signal);
  }

  // The resident memory of the process in MB, as the platform sees it.
  double ResidentMb() const {
    std::ifstream file("/proc/" + std::to_string(pid_) + "/statm");
    double size = 0;
    double resident = 0;
    file >> size >> resident;
    return resident * static_cast<double>(sysconf(_SC_PAGESIZE)) / 0x1p20;
  }

  // Waits for the end of the process. Returns whether it has ended.
  bool Wait(std::int64_t timeout_ms) {
    const std::int64_t until = NowMs() + timeout_ms;
    while (pid_ > 0) {
      int status = 0;
      if (waitpid(pid_, &status, WNOHANG) == pid_) {
        record_->Line("instance %s ended, status 0x%x", name_.c_str(), status);
        pid_ = 0;
        return true;
      }
      if (NowMs() >= until)
        return false;
      SleepMs(5);
    }
    return true;
  }

 private:
  const std::string name_;
  const std::string folder_;
  Record* const record_;
  Json settings_;
  int caller_port_ = 0;
  int ready_port_ = 0;
  int peer_port_ = 0;
  pid_t pid_ = 0;
};

// A client's connection.
class Client {
 public:
  explicit Client(int port) {
    fd_ = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const sockaddr_in address = Loopback(port);
    if (connect(fd_, reinterpret_cast<const sockaddr*>(&address),
                sizeof(address)) != 0) {
      close(fd_);
      fd_ = -1;
      return;
    }
    const int on = 1;
    setsockopt(fd_, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    reader_ = std::make_unique<Reader>(fd_);
  }
  ~Client() { Close(); }

  Client(const Client&) = delete;
  Client& operator=(const Client&) = delete;

  bool connected() const { return fd_ >= 0; }
  bool Send(const std::string& bytes) { return SendAll(fd_, bytes); }
  std::optional<Message> Receive(std::int64_t timeout_ms) {
    return fd_ < 0 ? std::nullopt : reader_->Next(timeout_ms, true);
  }
  // Whether the other side has closed or reset the connection.
  bool ended() const { return reader_ && reader_->ended(); }
  void Close() {
    if (fd_ >= 0)
      close(fd_);
    fd_ = -1;
  }

 private:
  int fd_ = -1;
  std::unique_ptr<Reader> reader_;
};

inline std::string RequestText(const std::string& method,
                               const std::string& path,
                               const std::string& host,
                               const std::string& id,
                               int timeout_ms,
                               const Headers& more = {},
                               const std::string& body = "") {
  std::string text = method + " " + path + " HTTP/1.1\r\nHost: " + host +
                     "\r\nRequest-Id: " + id +
                     "\r\nTimeout-Ms: " + std::to_string(timeout_ms) + "\r\n";
  for (const auto& [name, value] : more)
    text += name + ": " + value + "\r\n";
  if (!body.empty() || method == "POST")
    text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
  return text + "\r\n" + body;
}

// Sends one request on a new connection and waits for its answer.
inline std::optional<Message> Ask(int port,
                                  const std::string& request,
                                  std::int64_t timeout_ms) {
  Client client(port);
  if (!client.connected() || !client.Send(request))
    return std::nullopt;
  return client.Receive(timeout_ms);
}

// Waits until the instance says that it is ready.
inline bool WaitReady(const Instance& instance, std::int64_t timeout_ms) {
  const std::int64_t until = NowMs() + timeout_ms;
  while (NowMs() < until) {
    const auto answer = Ask(instance.ready_port(),
                            "GET /limpetrudder/readyz HTTP/1.1\r\nHost: "
                            "x\r\n\r\n",
                            1000);
    if (answer && answer->status() == 200)
      return true;
    SleepMs(50);
  }
  return false;
}

inline Json RouteTo(const std::string& name,
                    const std::string& prefix,
                    const std::string& kind,
                    const std::string& service,
                    int timeout_ms) {
  return {{"Name", name},
          {"Host", "shop.example"},
          {"Prefix", prefix},
          {"Kind", kind},
          {"TimeoutMs", timeout_ms},
          {"LatencyTargetMs", 600},
          {"Priority", 1},
          {"Service", service},
          {"MaxAttempts", 2}};
}

inline Json GatherRoute(const std::string& name,
                        const std::string& prefix,
                        const std::vector<std::string>& shards,
                        int timeout_ms,
                        int top,
                        double min_ratio) {
  Json route = RouteTo(name, prefix, "idempotent", "", timeout_ms);
  route.erase("Service");
  route["Gather"] = shards;
  route["TopK"] = top;
  route["MinRatio"] = min_ratio;
  route["LatencyTargetMs"] = 200;
  return route;
}

inline Json Config(std::uint64_t version,
                   const std::vector<Json>& routes,
                   const std::vector<std::string>& services,
                   int max_connections = 110) {
  Json config = {{"Version", version},
                 {"Routes", routes},
                 {"Services", Json::array()},
                 {"Limits",
                  {{"MaxHeaderBytes", 16384},
                   {"MaxBodyBytes", 262144},
                   {"HeaderTimeoutMs", 3000},
                   {"IdleTimeoutMs", 15000}}}};
  for (const std::string& service : services) {
    config["Services"].push_back({{"Name", service},
                                  {"HealthPath", "/healthz"},
                                  {"MaxConns", max_connections},
                                  {"Protocol", "h1"},
                                  {"Tls", false}});
  }
  return config;
}

// Folder, record and switch of one case. The arguments of a case's program are
// its folder and a temporary one.
struct Case {
  Case(int argc, char** argv)
      : folder(argc > 2 ? argv[1] : "."),
        temporary(argc > 2 ? argv[2] : "/tmp"),
        record(folder + "/record.txt") {
    const char* value = std::getenv("TROUBLE");
    trouble = value == nullptr || std::string(value) != "0";
    signal(SIGPIPE, SIG_IGN);
    record.Line("TROUBLE=%d", trouble ? 1 : 0);
  }

  std::string folder;
  std::string temporary;
  Record record;
  bool trouble = true;
};

}  // namespace review

#endif  // REVIEW_STAND_INS_3_STAND_INS_H_
