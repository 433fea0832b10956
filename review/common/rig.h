// A small rig for the review's scripts: stand-ins for the platform's store, for
// servers and for clients, and the entry processes of the project. Single
// threaded; everything is on loopback addresses.
#ifndef REVIEW_COMMON_RIG_H_
#define REVIEW_COMMON_RIG_H_

#include <fcntl.h>
#include <signal.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <chrono>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <deque>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <stdexcept>
#include <string>
#include <vector>

#include <asio.hpp>
#include <nlohmann/json.hpp>

extern char** environ;

namespace rig {

using Json = nlohmann::json;
using Tcp = asio::ip::tcp;
using Clock = std::chrono::steady_clock;
using Millis = std::chrono::milliseconds;

// ---------------------------------------------------------------- record

// Writes one line for each event to record.txt, with the time since the start.
class Record {
 public:
  explicit Record(const std::string& path)
      : file_(path), start_(Clock::now()) {}
  void Line(const std::string& text) {
    char time[32];
    std::snprintf(time, sizeof(time), "%9.3f ", Now());
    file_ << time << text << "\n";
    file_.flush();
  }
  double Now() const {
    return std::chrono::duration<double>(Clock::now() - start_).count();
  }

 private:
  std::ofstream file_;
  const Clock::time_point start_;
};

// ------------------------------------------------------------------ HTTP

inline std::string Lower(std::string text) {
  for (char& c : text)
    c = static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
  return text;
}

struct Message {
  std::string first_line;
  std::map<std::string, std::string> headers;  // Names in lower case.
  std::string body;

  std::string Header(const std::string& name) const {
    const auto found = headers.find(name);
    return found == headers.end() ? "" : found->second;
  }
  int status() const {
    return first_line.size() > 12 ? std::atoi(first_line.c_str() + 9) : 0;
  }
  std::string method() const {
    return first_line.substr(0, first_line.find(' '));
  }
  std::string target() const {
    const auto from = first_line.find(' ');
    const auto to = first_line.rfind(' ');
    return from == std::string::npos ? ""
                                     : first_line.substr(from + 1, to - from - 1);
  }
};

// Takes one message with a length (or without a body) from the front of
// `buffer`. Returns nothing if it isn't complete yet.
inline std::optional<Message> TakeMessage(std::string* buffer,
                                          bool has_body = true) {
  const auto end = buffer->find("\r\n\r\n");
  if (end == std::string::npos)
    return std::nullopt;
  Message message;
  std::size_t at = buffer->find("\r\n");
  message.first_line = buffer->substr(0, at);
  while (at < end) {
    const auto next = buffer->find("\r\n", at + 2);
    const std::string line = buffer->substr(at + 2, next - at - 2);
    const auto colon = line.find(':');
    if (colon != std::string::npos) {
      auto value = line.substr(colon + 1);
      value.erase(0, value.find_first_not_of(' '));
      message.headers[Lower(line.substr(0, colon))] = value;
    }
    at = next;
  }
  std::size_t length = 0;
  if (has_body && !message.Header("content-length").empty())
    length = std::stoul(message.Header("content-length"));
  if (buffer->size() < end + 4 + length)
    return std::nullopt;
  message.body = buffer->substr(end + 4, length);
  buffer->erase(0, end + 4 + length);
  return message;
}

// A connection that a stand-in has accepted.
class ServerConnection
    : public std::enable_shared_from_this<ServerConnection> {
 public:
  using Handler =
      std::function<void(std::shared_ptr<ServerConnection>, Message)>;
  ServerConnection(Tcp::socket socket, Handler handler)
      : socket_(std::move(socket)), handler_(std::move(handler)) {
    asio::error_code ignored;
    socket_.set_option(Tcp::no_delay(true), ignored);
  }
  void Read() {
    socket_.async_read_some(
        asio::buffer(chunk_),
        [self = shared_from_this()](const asio::error_code& error,
                                    std::size_t size) {
          if (error) {
            self->closed_ = true;
            if (self->on_close)
              self->on_close();
            return;
          }
          self->buffer_.append(self->chunk_, size);
          while (auto message = TakeMessage(&self->buffer_))
            self->handler_(self, std::move(*message));
          self->Read();
        });
  }
  void Write(std::string bytes) {
    if (closed_)
      return;
    auto kept = std::make_shared<std::string>(std::move(bytes));
    asio::async_write(socket_, asio::buffer(*kept),
                      [self = shared_from_this(), kept](const asio::error_code&,
                                                        std::size_t) {});
  }
  void Close() {
    closed_ = true;
    asio::error_code ignored;
    socket_.close(ignored);
  }
  bool closed() const { return closed_; }
  std::function<void()> on_close;

 private:
  Tcp::socket socket_;
  Handler handler_;
  std::string buffer_;
  char chunk_[16384];
  bool closed_ = false;
};

class Listener {
 public:
  Listener(asio::io_context* context,
           std::uint16_t port,
           ServerConnection::Handler handler)
      : context_(context), acceptor_(*context), handler_(std::move(handler)) {
    const Tcp::endpoint endpoint(asio::ip::make_address("127.0.0.1"), port);
    acceptor_.open(Tcp::v4());
    acceptor_.set_option(asio::socket_base::reuse_address(true));
    acceptor_.bind(endpoint);
    acceptor_.listen();
    Accept();
  }
  std::uint16_t port() const { return acceptor_.local_endpoint().port(); }
  // Stops listening and closes all connections.
  void Shut() {
    asio::error_code ignored;
    acceptor_.close(ignored);
    for (auto& weak : connections_) {
      if (auto connection = weak.lock())
        connection->Close();
    }
    connections_.clear();
  }

 private:
  void Accept() {
    acceptor_.async_accept([this](const asio::error_code& error,
                                  Tcp::socket socket) {
      if (error)
        return;
      auto connection =
          std::make_shared<ServerConnection>(std::move(socket), handler_);
      connections_.push_back(connection);
      connection->Read();
      Accept();
    });
  }
  asio::io_context* context_;
  Tcp::acceptor acceptor_;
  ServerConnection::Handler handler_;
  std::vector<std::weak_ptr<ServerConnection>> connections_;
};

inline std::string Response(int status,
                            const std::string& headers,
                            const std::string& body) {
  return "HTTP/1.1 " + std::to_string(status) +
         (status < 400 ? " OK\r\n" : " No\r\n") + headers +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

inline void After(asio::io_context* context,
                  Millis delay,
                  std::function<void()> run) {
  auto timer = std::make_shared<asio::steady_timer>(*context, delay);
  timer->async_wait([timer, run = std::move(run)](const asio::error_code& e) {
    if (!e)
      run();
  });
}

// ----------------------------------------------------------------- store

inline std::string Base64(const std::string& bytes) {
  static const char kSigns[] =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string text;
  std::size_t i = 0;
  for (; i + 2 < bytes.size(); i += 3) {
    const unsigned n = (static_cast<unsigned char>(bytes[i]) << 16) |
                       (static_cast<unsigned char>(bytes[i + 1]) << 8) |
                       static_cast<unsigned char>(bytes[i + 2]);
    text += kSigns[n >> 18];
    text += kSigns[(n >> 12) & 63];
    text += kSigns[(n >> 6) & 63];
    text += kSigns[n & 63];
  }
  if (i + 1 == bytes.size()) {
    const unsigned n = static_cast<unsigned char>(bytes[i]) << 16;
    text += kSigns[n >> 18];
    text += kSigns[(n >> 12) & 63];
    text += "==";
  } else if (i + 2 == bytes.size()) {
    const unsigned n = (static_cast<unsigned char>(bytes[i]) << 16) |
                       (static_cast<unsigned char>(bytes[i + 1]) << 8);
    text += kSigns[n >> 18];
    text += kSigns[(n >> 12) & 63];
    text += kSigns[(n >> 6) & 63];
    text += '=';
  }
  return text;
}

inline std::string Unbase64(const std::string& text) {
  std::string bytes;
  unsigned value = 0;
  int bits = 0;
  for (const char c : text) {
    int sign = -1;
    if (c >= 'A' && c <= 'Z') sign = c - 'A';
    else if (c >= 'a' && c <= 'z') sign = c - 'a' + 26;
    else if (c >= '0' && c <= '9') sign = c - '0' + 52;
    else if (c == '+') sign = 62;
    else if (c == '/') sign = 63;
    if (sign < 0)
      continue;
    value = (value << 6) | static_cast<unsigned>(sign);
    bits += 6;
    if (bits >= 8) {
      bits -= 8;
      bytes += static_cast<char>((value >> bits) & 255);
    }
  }
  return bytes;
}

// The platform's store, as PROTOCOL.md describes it. Keeps its history for 20 s.
class Store {
 public:
  Store(asio::io_context* context)
      : context_(context),
        listener_(context, 0, [this](auto connection, Message message) {
          Handle(connection, message);
        }) {}
  std::uint16_t port() const { return listener_.port(); }

  void Put(const std::string& key, const std::string& value,
           std::uint64_t lease = 0) {
    ++revision_;
    if (items_.count(key) == 0)
      items_[key].created = revision_;
    Item& item = items_[key];
    item.value = value;
    item.revision = revision_;
    item.lease = lease;
    history_.push_back({Clock::now(), revision_,
                        {{"Key", key},
                         {"Value", Base64(value)},
                         {"Revision", revision_},
                         {"Created", item.created},
                         {"Lease", lease}}});
  }
  void Delete(const std::string& key) {
    if (items_.erase(key) == 0)
      return;
    ++revision_;
    history_.push_back(
        {Clock::now(), revision_,
         {{"Key", key}, {"Revision", revision_}, {"Deleted", true}}});
  }
  int Count(const std::string& prefix) const {
    int count = 0;
    for (const auto& [key, item] : items_)
      count += key.compare(0, prefix.size(), prefix) == 0 ? 1 : 0;
    return count;
  }
  std::function<void(const Message&)> on_call;

 private:
  struct Item {
    std::string value;
    std::uint64_t revision = 0;
    std::uint64_t created = 0;
    std::uint64_t lease = 0;
  };
  struct Event {
    Clock::time_point at;
    std::uint64_t revision;
    Json json;
  };
  struct Lease {
    Millis ttl;
    Clock::time_point until;
  };

  static std::string Query(const std::string& target, const std::string& name) {
    const auto at = target.find('?');
    std::string query = at == std::string::npos ? "" : target.substr(at + 1);
    while (!query.empty()) {
      const auto end = query.find('&');
      const std::string field = query.substr(0, end);
      if (field.compare(0, name.size() + 1, name + "=") == 0)
        return Decoded(field.substr(name.size() + 1));
      if (end == std::string::npos)
        break;
      query.erase(0, end + 1);
    }
    return "";
  }
  static std::string Decoded(const std::string& text) {
    std::string out;
    for (std::size_t i = 0; i < text.size(); ++i) {
      if (text[i] == '%' && i + 2 < text.size()) {
        out += static_cast<char>(std::stoi(text.substr(i + 1, 2), nullptr, 16));
        i += 2;
      } else {
        out += text[i];
      }
    }
    return out;
  }
  void Expire() {
    const auto now = Clock::now();
    std::vector<std::uint64_t> ended;
    for (const auto& [id, lease] : leases_) {
      if (lease.until <= now)
        ended.push_back(id);
    }
    for (const auto id : ended)
      End(id);
    while (!history_.empty() &&
           now - history_.front().at > std::chrono::seconds(20)) {
      compacted_ = history_.front().revision;
      history_.pop_front();
    }
  }
  void End(std::uint64_t id) {
    leases_.erase(id);
    std::vector<std::string> keys;
    for (const auto& [key, item] : items_) {
      if (item.lease == id)
        keys.push_back(key);
    }
    for (const auto& key : keys)
      Delete(key);
  }
  void Handle(const std::shared_ptr<ServerConnection>& connection,
              const Message& call) {
    Expire();
    if (on_call)
      on_call(call);
    int status = 200;
    const Json body = Answer(call, &status);
    connection->Write(Response(status,
                               "Content-Type: application/json\r\n"
                               "Store-Era: 1\r\n",
                               body.dump()));
  }
  Json Answer(const Message& call, int* status) {
    const std::string target = call.target();
    const std::string path = target.substr(0, target.find('?'));
    if (path == "/limpetrudder/kv-range") {
      const std::string prefix = Query(target, "Prefix");
      const std::string after = Query(target, "after");
      Json items = Json::array();
      bool more = false;
      std::size_t bytes = 0;
      for (auto item = items_.upper_bound(after); item != items_.end();
           ++item) {
        if (item->first.compare(0, prefix.size(), prefix) != 0)
          continue;
        if (items.size() >= 500 || (bytes > 0 && bytes + item->second.value.size() > 1000000)) {
          more = true;
          break;
        }
        bytes += item->second.value.size();
        items.push_back({{"Key", item->first},
                         {"Value", Base64(item->second.value)},
                         {"Revision", item->second.revision},
                         {"Created", item->second.created},
                         {"Lease", item->second.lease}});
      }
      return {{"items", items}, {"HasMore", more},
              {"StoreRevision", revision_}};
    }
    if (path == "/limpetrudder/kv-watch") {
      const std::uint64_t after = std::stoull("0" + Query(target, "after"));
      if (after < compacted_ || after > revision_) {
        *status = 410;
        return Json::object();
      }
      Json events = Json::array();
      for (const auto& event : history_) {
        if (event.revision > after)
          events.push_back(event.json);
      }
      return {{"events", events}, {"StoreRevision", revision_}};
    }
    if (path.rfind("/limpetrudder/kv-keep/", 0) == 0) {
      const auto found = leases_.find(std::stoull(path.substr(22)));
      if (found == leases_.end()) {
        *status = 404;
        return Json::object();
      }
      found->second.until = Clock::now() + found->second.ttl;
      return {{"TtlMs", found->second.ttl.count()}};
    }
    const Json body = Json::parse(call.body, nullptr, false);
    if (path == "/limpetrudder/kv-lease" && body.is_object()) {
      const Millis ttl(body.value("TtlMs", 1000));
      leases_[++last_lease_] = {ttl, Clock::now() + ttl};
      return {{"Lease", last_lease_}, {"TtlMs", ttl.count()}};
    }
    if (path == "/limpetrudder/kv-txn" && body.is_object()) {
      for (const auto& row : body["ExpectRev"]) {
        const auto found = items_.find(row["Key"].get<std::string>());
        const std::uint64_t now =
            found == items_.end() ? 0 : found->second.revision;
        if (now != row["Revision"].get<std::uint64_t>()) {
          *status = 412;
          return {{"items", Json::array()}};
        }
      }
      for (const auto& row : body["Writes"]) {
        const std::uint64_t lease = row.value("Lease", std::uint64_t{0});
        if (lease != 0 && leases_.count(lease) == 0) {
          *status = 404;
          return Json::object();
        }
        Put(row["Key"], Unbase64(row["Value"]), lease);
      }
      for (const auto& key : body["Deletes"])
        Delete(key);
      return {{"Revision", revision_}};
    }
    *status = 404;
    return Json::object();
  }

  asio::io_context* context_;
  std::map<std::string, Item> items_;
  std::deque<Event> history_;
  std::map<std::uint64_t, Lease> leases_;
  std::uint64_t revision_ = 100;
  std::uint64_t compacted_ = 0;
  std::uint64_t last_lease_ = 7000;
  Listener listener_;
};

// ---------------------------------------------------------------- server

// One server of a service. A request that is run is answered after `work`.
class Server {
 public:
  Server(asio::io_context* context, Store* store, Record* record,
         std::string id, std::string service, std::string zone, int slots)
      : context_(context), store_(store), record_(record), id_(std::move(id)),
        service_(std::move(service)), zone_(std::move(zone)), slots_(slots) {
    born_ = std::chrono::duration_cast<Millis>(
                std::chrono::system_clock::now().time_since_epoch()).count();
    Start();
    Beat();
  }
  const std::string& id() const { return id_; }
  const std::string& service() const { return service_; }
  std::string address() const { return "127.0.0.1:" + std::to_string(port_); }

  // Crashes: closes all connections; the port refuses new ones. Its entry
  // lapses after three beats.
  void Crash() {
    up_ = false;
    ++incarnation_;
    running_ = 0;
    waiting_.clear();
    listener_->Shut();
    record_->Line("server " + id_ + " crashes");
    After(context_, Millis(3 * kBeatMs), [this, at = incarnation_] {
      if (!up_ && at == incarnation_)
        store_->Delete("servers/" + id_);
    });
  }
  void Restart() {
    up_ = true;
    ++incarnation_;
    sequence_ = 0;
    born_ = std::chrono::duration_cast<Millis>(
                std::chrono::system_clock::now().time_since_epoch()).count();
    Start();
    record_->Line("server " + id_ + " is back");
    Beat();
  }

  Millis work{20};
  std::size_t queue = 16;
  std::size_t body_bytes = 64;
  // What each request finds; may change the answer.
  std::function<bool(const Message&, std::shared_ptr<ServerConnection>)> hook;
  std::map<std::string, int> runs;  // By request id.
  std::map<std::string, double> first_run;

  static constexpr int kBeatMs = 1200;

 private:
  struct Job {
    Message message;
    std::shared_ptr<ServerConnection> connection;
  };
  void Start() {
    listener_ = std::make_unique<Listener>(
        context_, port_, [this](auto connection, Message message) {
          OnRequest(connection, std::move(message));
        });
    port_ = listener_->port();
  }
  void Beat() {
    if (!up_)
      return;
    store_->Put("servers/" + id_,
                Json({{"Service", service_}, {"Address", address()},
                      {"Zone", zone_}, {"Version", "v1"}, {"Slots", slots_},
                      {"State", "ready"}, {"WarmupLeftMs", 0},
                      {"Sequence", ++sequence_}, {"born", born_}})
                    .dump());
    After(context_, Millis(kBeatMs), [this, at = incarnation_] {
      if (at == incarnation_)
        Beat();
    });
  }
  void OnRequest(const std::shared_ptr<ServerConnection>& connection,
                 Message message) {
    const std::string request = message.Header("request-id");
    if (message.target() == "/healthz") {
      connection->Write(Response(200, "Instance-Id: " + id_ + "\r\n" + Load(), ""));
      return;
    }
    if (request.empty()) {
      connection->Write(Response(400, "Not-Executed: 1\r\n", ""));
      return;
    }
    const std::string echo = "Request-Id: " + request + "\r\n";
    if (!message.Header("target-instance").empty() &&
        message.Header("target-instance") != id_) {
      connection->Write(
          Response(421, echo + "Instance-Id: " + id_ + "\r\n", ""));
      return;
    }
    if (running_ >= slots_ && waiting_.size() >= queue) {
      connection->Write(Response(503, echo + "Not-Executed: 1\r\n" + Load(), ""));
      return;
    }
    waiting_.push_back({std::move(message), connection});
    StartJobs();
  }
  void StartJobs() {
    while (running_ < slots_ && !waiting_.empty()) {
      Job job = std::move(waiting_.front());
      waiting_.pop_front();
      if (job.connection->closed())
        continue;  // The request is dropped with its connection.
      ++running_;
      const std::string request = job.message.Header("request-id");
      ++runs[request];
      first_run.try_emplace(request, record_->Now());
      record_->Line("server " + id_ + " runs " + request + " " +
                    job.message.method() + " " + job.message.target());
      if (hook && hook(job.message, job.connection)) {
        --running_;
        continue;
      }
      After(context_, work, [this, job, request, at = incarnation_] {
        if (at != incarnation_)
          return;
        --running_;
        const std::string body(body_bytes, 'b');
        std::string answer =
            Response(200, "Request-Id: " + request + "\r\nServer-Stamp: " +
                              Stamp(request) + "\r\n" + Load(), body);
        if (job.message.method() == "HEAD")
          answer.resize(answer.find("\r\n\r\n") + 4);
        job.connection->Write(std::move(answer));
        StartJobs();
      });
    }
  }
  std::string Load() const {
    return "Server-Load: " + std::to_string(running_) + "," +
           std::to_string(waiting_.size()) + "," + std::to_string(slots_) +
           "\r\n";
  }

 public:
  std::string Stamp(const std::string& request) const {
    return id_ + "." + request;
  }

 private:
  asio::io_context* context_;
  Store* store_;
  Record* record_;
  const std::string id_;
  const std::string service_;
  const std::string zone_;
  const int slots_;
  std::uint16_t port_ = 0;
  std::unique_ptr<Listener> listener_;
  bool up_ = true;
  int incarnation_ = 0;
  int running_ = 0;
  std::deque<Job> waiting_;
  std::uint64_t sequence_ = 0;
  std::int64_t born_ = 0;
};

// ---------------------------------------------------------------- client

struct Outcome {
  std::string request;
  int status = 0;        // 0: no complete answer.
  std::string end;       // "answer", "closed", "reset", "refused", "deadline".
  Message message;
  std::string extra;     // Bytes after the answer.
  bool close = false;    // The answer says Connection: close.
  double sent = 0;
  double ended = 0;
  std::size_t got_bytes = 0;
};

// One client connection; one request at a time.
class Client : public std::enable_shared_from_this<Client> {
 public:
  using Done = std::function<void(Outcome)>;
  Client(asio::io_context* context, Record* record, std::uint16_t port)
      : context_(context), record_(record), port_(port), socket_(*context) {}

  // At most this many bytes a second are read, in steps of 20 ms; 0: all.
  std::size_t read_per_s = 0;

  void Send(const std::string& request, const std::string& method,
            const std::string& path, const std::string& host,
            int timeout_ms, const std::string& body, Done done) {
    outcome_ = Outcome();
    outcome_.request = request;
    outcome_.sent = record_->Now();
    done_ = std::move(done);
    head_ = method == "HEAD";
    busy_ = true;
    const int at = ++sends_;
    bytes_ = method + " " + path + " HTTP/1.1\r\nHost: " + host +
             "\r\nRequest-Id: " + request +
             "\r\nTimeout-Ms: " + std::to_string(timeout_ms) + "\r\n";
    if (!body.empty() || method == "POST")
      bytes_ += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    bytes_ += "\r\n" + body;
    After(context_, Millis(timeout_ms), [self = shared_from_this(), at] {
      if (self->busy_ && self->sends_ == at)
        self->End("deadline");
    });
    if (open_)
      return Write();
    if (read_per_s > 0) {
      socket_.open(Tcp::v4());
      socket_.set_option(asio::socket_base::receive_buffer_size(65536));
    }
    socket_.async_connect(
        {asio::ip::make_address("127.0.0.1"), port_},
        [self = shared_from_this()](const asio::error_code& error) {
          if (error)
            return self->End("refused");
          self->open_ = true;
          asio::error_code ignored;
          self->socket_.set_option(Tcp::no_delay(true), ignored);
          self->Read();
          self->Write();
        });
  }
  bool open() const { return open_; }
  bool busy() const { return busy_; }
  std::string unasked;  // Bytes that came with no request waiting.
  void Close() {
    open_ = false;
    asio::error_code ignored;
    socket_.close(ignored);
  }

 private:
  void Write() {
    asio::async_write(socket_, asio::buffer(bytes_),
                      [self = shared_from_this()](const asio::error_code&,
                                                  std::size_t) {});
    Take();
  }
  void Read() {
    const std::size_t most =
        read_per_s > 0 ? std::min(sizeof(chunk_), read_per_s / 50)
                       : sizeof(chunk_);
    socket_.async_read_some(
        asio::buffer(chunk_, most),
        [self = shared_from_this()](const asio::error_code& error,
                                    std::size_t size) {
          if (error) {
            self->open_ = false;
            if (self->busy_)
              self->End(error == asio::error::eof ? "closed" : "reset");
            return;
          }
          self->buffer_.append(self->chunk_, size);
          self->outcome_.got_bytes += size;
          if (!self->busy_) {
            self->unasked += self->buffer_;
            self->buffer_.clear();
          } else {
            self->Take();
          }
          if (!self->open_)
            return;
          if (self->read_per_s > 0)
            After(self->context_, Millis(20), [self] {
              if (self->open_)
                self->Read();
            });
          else
            self->Read();
        });
  }
  void Take() {
    if (!busy_)
      return;
    auto message = TakeMessage(&buffer_, !head_);
    if (!message)
      return;
    outcome_.status = message->status();
    outcome_.close = Lower(message->Header("connection")) == "close";
    outcome_.message = std::move(*message);
    outcome_.extra = std::exchange(buffer_, "");
    if (outcome_.close)
      Close();
    End("answer");
  }
  void End(const std::string& end) {
    busy_ = false;
    outcome_.end = end;
    outcome_.ended = record_->Now();
    if (end != "answer")
      Close();
    const Done done = std::exchange(done_, nullptr);
    done(outcome_);
  }

  asio::io_context* context_;
  Record* record_;
  const std::uint16_t port_;
  Tcp::socket socket_;
  std::string bytes_;
  std::string buffer_;
  char chunk_[65536];
  bool open_ = false;
  bool busy_ = false;
  bool head_ = false;
  int sends_ = 0;
  Outcome outcome_;
  Done done_;
};

// ----------------------------------------------------------------- entry

inline std::uint16_t FreePort() {
  asio::io_context context;
  Tcp::acceptor acceptor(context,
                         {asio::ip::make_address("127.0.0.1"), 0});
  return acceptor.local_endpoint().port();
}

// The running entry processes. They end with the rig, also if it is stopped or
// fails.
inline pid_t running_entries[16] = {};

inline void EndEntries(int) {
  for (const pid_t pid : running_entries) {
    if (pid > 0)
      kill(pid, SIGKILL);
  }
  _exit(2);
}

inline void Track(pid_t before, pid_t now) {
  static const bool installed = [] {
    for (const int signal : {SIGTERM, SIGINT, SIGABRT, SIGSEGV})
      ::signal(signal, EndEntries);
    return true;
  }();
  static_cast<void>(installed);
  for (pid_t& pid : running_entries) {
    if (pid == before) {
      pid = now;
      return;
    }
  }
}

// One entry process of the project, as the platform starts it.
class Entry {
 public:
  Entry(std::string binary, std::string folder, Record* record,
        std::string name, std::string zone, Json regions,
        std::uint16_t store_port, double cores = 0.25)
      : binary_(std::move(binary)), folder_(std::move(folder)),
        record_(record), name_(std::move(name)), front_(FreePort()),
        ready_(FreePort()), peer_(FreePort()) {
    const auto address = [](std::uint16_t port) {
      return "127.0.0.1:" + std::to_string(port);
    };
    std::ofstream(folder_ + "/" + name_ + ".json")
        << Json({{"instance", name_}, {"data_centre", zone},
                 {"regions", regions},
                 {"caller_address", address(front_)},
                 {"ready_address", address(ready_)},
                 {"peer_address", address(peer_)},
                 {"store_address", address(store_port)},
                 {"cores", cores}, {"link_mbps", 1000.0},
                 {"memory_mb", 260},
                 {"retry_budget", {{"ratio", 0.2}, {"slack", 56}}},
                 {"stop_bound_ms", 6000}})
               .dump();
    Start();
  }
  ~Entry() {
    if (pid_ > 0) {
      kill(pid_, SIGKILL);
      waitpid(pid_, nullptr, 0);
      Track(pid_, 0);
    }
  }
  void Start() {
    const std::string settings = folder_ + "/" + name_ + ".json";
    const std::string log = folder_ + "/" + name_ + ".log";
    posix_spawn_file_actions_t files;
    posix_spawn_file_actions_init(&files);
    posix_spawn_file_actions_addopen(&files, 1, log.c_str(),
                                     O_WRONLY | O_CREAT | O_APPEND, 0644);
    posix_spawn_file_actions_adddup2(&files, 1, 2);
    posix_spawn_file_actions_addclosefrom_np(&files, 3);
    const char* arguments[] = {binary_.c_str(), "entry", "--settings",
                               settings.c_str(), nullptr};
    if (posix_spawn(&pid_, binary_.c_str(), &files, nullptr,
                    const_cast<char* const*>(arguments), environ) != 0)
      throw std::runtime_error("can't start " + binary_);
    posix_spawn_file_actions_destroy(&files);
    Track(0, pid_);
    record_->Line("start " + name_);
  }
  void Signal(int signal, const char* name) {
    record_->Line(std::string(name) + " to " + name_);
    if (pid_ > 0)
      kill(pid_, signal);
  }
  // Whether the process has ended; takes its exit status.
  bool Ended() {
    if (pid_ > 0 && waitpid(pid_, &status_, WNOHANG) == pid_) {
      Track(pid_, 0);
      pid_ = 0;
      record_->Line(name_ + " ended, wait status " + std::to_string(status_));
    }
    return pid_ == 0;
  }
  std::size_t ResidentBytes() const {
    std::ifstream pages("/proc/" + std::to_string(pid_) + "/statm");
    std::size_t total = 0, resident = 0;
    pages >> total >> resident;
    return resident * static_cast<std::size_t>(sysconf(_SC_PAGESIZE));
  }
  const std::string& name() const { return name_; }
  std::uint16_t front() const { return front_; }
  std::uint16_t ready() const { return ready_; }
  pid_t pid() const { return pid_; }
  int status() const { return status_; }

 private:
  const std::string binary_;
  const std::string folder_;
  Record* const record_;
  const std::string name_;
  const std::uint16_t front_, ready_, peer_;
  pid_t pid_ = 0;
  int status_ = 0;
};

// ------------------------------------------------------------- scenarios

inline Json Service(const std::string& name, int connections) {
  return {{"Name", name}, {"HealthPath", "/healthz"},
          {"MaxConns", connections}, {"Protocol", "h1"}, {"Tls", false}};
}

inline Json Limits() {
  return {{"MaxHeaderBytes", 16384}, {"MaxBodyBytes", 262144},
          {"HeaderTimeoutMs", 3000}, {"IdleTimeoutMs", 15000}};
}

inline void RunFor(asio::io_context* context, Millis time) {
  const auto end = Clock::now() + time;
  while (Clock::now() < end) {
    context->restart();
    context->run_for(std::min<Millis>(
        Millis(50),
        std::chrono::duration_cast<Millis>(end - Clock::now()) + Millis(1)));
  }
}

// Asks for readiness until the entry answers 200. Returns false after 10 s.
inline bool WaitReady(asio::io_context* context, Record* record,
                      std::uint16_t port) {
  for (int i = 0; i < 100; ++i) {
    bool ready = false;
    auto client = std::make_shared<Client>(context, record, port);
    client->Send("ready", "GET", "/limpetrudder/readyz", "x", 500, "",
                 [&ready](Outcome outcome) { ready = outcome.status == 200; });
    while (client->busy())
      RunFor(context, Millis(10));
    client->Close();
    if (ready)
      return true;
    RunFor(context, Millis(100));
  }
  return false;
}

}  // namespace rig

#endif  // REVIEW_COMMON_RIG_H_
