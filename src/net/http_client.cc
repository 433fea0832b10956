#include "net/http_client.h"

#include <atomic>
#include <thread>
#include <unordered_map>
#include <utility>

#include <curl/curl.h>

#include "framework/bounded_queue.h"
#include "framework/clock.h"
#include "framework/http_status.h"
#include "framework/logger.h"
#include "framework/result_code.h"

namespace limpetrudder {
namespace {

constexpr long kIdleConnectionSeconds = 10;
constexpr long kMaxCachedConnections = 4096;
constexpr Duration kMaxConnectTime = Millis(500);
constexpr int kPollMillis = 1000;
constexpr std::size_t kMaxIdleHandles = 256;

// How long after an abort older connections to the same address aren't reused,
// since they may be dead too.
constexpr Duration kAbortRetention = Seconds(60);

struct Transfer {
  HttpRequest request;
  HttpClient::Handler handler;
  HttpResponse response;
  CURL* easy = nullptr;
  curl_slist* headers = nullptr;
  std::size_t head_bytes = 0;  // Including informational responses.
  bool too_large = false;
};

std::size_t OnBody(char* data,
                   std::size_t size,
                   std::size_t count,
                   void* user) {
  auto* transfer = static_cast<Transfer*>(user);
  std::string& body = transfer->response.body;
  transfer->too_large =
      size * count > transfer->request.max_body_bytes - body.size();
  if (transfer->too_large)
    return 0;
  body.append(data, size * count);
  return size * count;
}

std::size_t OnHeader(char*, std::size_t size, std::size_t count, void* user) {
  auto* transfer = static_cast<Transfer*>(user);
  transfer->head_bytes += size * count;
  transfer->too_large = transfer->head_bytes > kMaxHeadBytes;
  return transfer->too_large ? 0 : size * count;
}

int OnBeforeSend(void* user, char*, char*, int, int) {
  const auto* transfer = static_cast<Transfer*>(user);
  const auto& may_send = transfer->request.may_send;
  return !may_send || may_send() ? CURL_PREREQFUNC_OK : CURL_PREREQFUNC_ABORT;
}

TransferStatus StatusOf(CURL* easy, CURLcode code) {
  if (code == CURLE_OK)
    return TransferStatus::kAnswered;
  if (code == CURLE_ABORTED_BY_CALLBACK)
    return TransferStatus::kNotSent;
  if (code == CURLE_COULDNT_CONNECT)
    return TransferStatus::kConnectFailed;
  long sent_bytes = 0;
  curl_easy_getinfo(easy, CURLINFO_REQUEST_SIZE, &sent_bytes);
  if (sent_bytes == 0)
    return TransferStatus::kConnectFailed;
  return code == CURLE_OPERATION_TIMEDOUT ? TransferStatus::kTimedOut
                                          : TransferStatus::kFailed;
}

}  // namespace

class HttpClient::Impl {
 public:
  explicit Impl(std::size_t capacity) : commands_(capacity) {
    curl_global_init(CURL_GLOBAL_DEFAULT);
    multi_ = curl_multi_init();
    curl_multi_setopt(multi_, CURLMOPT_MAXCONNECTS, kMaxCachedConnections);
  }

  ~Impl() {
    Stop();
    for (auto& [tag, transfer] : transfers_)
      Release(transfer.get());
    for (CURL* easy : idle_handles_)
      curl_easy_cleanup(easy);
    curl_multi_cleanup(multi_);
  }

  void Start() {
    thread_ = std::thread([this] { Run(); });
  }

  void Stop() {
    stopping_ = true;
    curl_multi_wakeup(multi_);
    if (thread_.joinable())
      thread_.join();
  }

  bool Send(HttpRequest request, Handler handler) {
    bool was_empty = false;
    if (!commands_.TryPush({std::move(request), std::move(handler), false},
                           &was_empty)) {
      return false;
    }
    if (was_empty)
      curl_multi_wakeup(multi_);
    return true;
  }

  void SetConnectionLimit(std::uint32_t limit) {
    connection_limit_ = limit;
    curl_multi_wakeup(multi_);
  }

  void Abort(std::uint64_t tag, const std::string& address) {
    HttpRequest request;
    request.tag = tag;
    request.address = address;
    bool was_empty = false;
    // NOTE If the queue is full, the abort is lost and the transfer ends by its
    // own timeout.
    commands_.TryPush({std::move(request), nullptr, true}, &was_empty);
    curl_multi_wakeup(multi_);
  }

 private:
  struct Command {
    HttpRequest request;
    Handler handler;
    bool abort = false;
  };

  void Run() {
    std::vector<Command> batch;
    std::uint32_t limit = 0;
    while (!stopping_) {
      if (connection_limit_ != limit) {
        limit = connection_limit_;
        curl_multi_setopt(multi_, CURLMOPT_MAX_HOST_CONNECTIONS,
                          static_cast<long>(limit));
      }
      commands_.Drain(&batch);
      for (auto& command : batch)
        Execute(std::move(command));
      int running = 0;
      curl_multi_perform(multi_, &running);
      CollectFinished();
      curl_multi_poll(multi_, nullptr, 0, kPollMillis, nullptr);
    }
  }

  void Execute(Command command) {
    if (!command.abort)
      return StartTransfer(std::move(command));
    last_abort_[command.request.address] = SteadyNow();
    const auto found = transfers_.find(command.request.tag);
    if (found == transfers_.end())
      return;
    Release(found->second.get());
    transfers_.erase(found);
  }

  void StartTransfer(Command command) {
    auto transfer = std::make_unique<Transfer>();
    transfer->request = std::move(command.request);
    transfer->handler = std::move(command.handler);
    transfer->response.tag = transfer->request.tag;
    transfer->easy = TakeHandle();
    Configure(transfer.get());
    curl_multi_add_handle(multi_, transfer->easy);
    transfers_[transfer->request.tag] = std::move(transfer);
  }

  CURL* TakeHandle() {
    if (idle_handles_.empty())
      return curl_easy_init();
    CURL* easy = idle_handles_.back();
    idle_handles_.pop_back();
    return easy;
  }

  void Configure(Transfer* transfer) {
    const HttpRequest& request = transfer->request;
    CURL* easy = transfer->easy;
    const std::string url = "http://" + request.address + request.path;
    curl_easy_setopt(easy, CURLOPT_URL, url.c_str());
    curl_easy_setopt(easy, CURLOPT_PRIVATE, transfer);
    curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(easy, CURLOPT_PROXY, "");
    curl_easy_setopt(easy, CURLOPT_PROTOCOLS_STR, "http");
    curl_easy_setopt(easy, CURLOPT_FOLLOWLOCATION, 0L);
    curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, OnBody);
    curl_easy_setopt(easy, CURLOPT_WRITEDATA, transfer);
    curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, OnHeader);
    curl_easy_setopt(easy, CURLOPT_HEADERDATA, transfer);
    curl_easy_setopt(easy, CURLOPT_PREREQFUNCTION, OnBeforeSend);
    curl_easy_setopt(easy, CURLOPT_PREREQDATA, transfer);
    curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS,
                     static_cast<long>(WholeMillis(request.timeout)));
    curl_easy_setopt(easy, CURLOPT_CONNECTTIMEOUT_MS,
                     static_cast<long>(WholeMillis(
                         std::min(request.timeout, kMaxConnectTime))));
    curl_easy_setopt(easy, CURLOPT_MAXAGE_CONN, kIdleConnectionSeconds);
    curl_easy_setopt(easy, CURLOPT_MAXLIFETIME_CONN,
                     MaxConnectionAge(request.address));
    curl_easy_setopt(easy, CURLOPT_FRESH_CONNECT,
                     request.own_connection ? 1L : 0L);
    curl_easy_setopt(easy, CURLOPT_FORBID_REUSE,
                     request.own_connection ? 1L : 0L);
    curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, request.method.c_str());
    if (!request.body.empty() || request.method == "POST") {
      curl_easy_setopt(easy, CURLOPT_POST, 1L);
      curl_easy_setopt(easy, CURLOPT_POSTFIELDS, request.body.data());
      curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE_LARGE,
                       static_cast<curl_off_t>(request.body.size()));
    }
    transfer->headers = curl_slist_append(transfer->headers, "Expect:");
    transfer->headers =
        curl_slist_append(transfer->headers, "Content-Type: application/json");
    for (const auto& header : request.headers)
      transfer->headers = curl_slist_append(transfer->headers, header.c_str());
    curl_easy_setopt(easy, CURLOPT_HTTPHEADER, transfer->headers);
  }

  // Returns the maximum age in seconds of a connection to `address` that may be
  // reused: older ones existed when a request was aborted. 0 means no limit.
  long MaxConnectionAge(const std::string& address) {
    const auto found = last_abort_.find(address);
    if (found == last_abort_.end())
      return 0;
    const Duration since = SteadyNow() - found->second;
    if (since >= kAbortRetention) {
      last_abort_.erase(found);
      return 0;
    }
    return std::max<long>(
        1,
        static_cast<long>(
            std::chrono::duration_cast<std::chrono::seconds>(since).count()));
  }

  void CollectFinished() {
    int left = 0;
    while (CURLMsg* message = curl_multi_info_read(multi_, &left)) {
      if (message->msg != CURLMSG_DONE)
        continue;
      Finish(message->easy_handle, message->data.result);
    }
  }

  void Finish(CURL* easy, CURLcode code) {
    Transfer* raw = nullptr;
    curl_easy_getinfo(easy, CURLINFO_PRIVATE, &raw);
    const auto found = transfers_.find(raw->request.tag);
    auto transfer = std::move(found->second);
    transfers_.erase(found);
    long http_status = 0;
    curl_easy_getinfo(easy, CURLINFO_RESPONSE_CODE, &http_status);
    transfer->response.http_status = static_cast<int>(http_status);
    transfer->response.status =
        transfer->too_large ? TransferStatus::kTooLarge : StatusOf(easy, code);
    ReadWantedHeader(transfer.get());
    if (transfer->too_large)
      DiscardBody(transfer.get());
    else if (transfer->response.status == TransferStatus::kAnswered &&
             !http_status::IsFinal(transfer->response.http_status))
      RejectStatus(transfer.get());
    Release(transfer.get());
    transfer->handler(std::move(transfer->response));
  }

  static void ReadWantedHeader(Transfer* transfer) {
    const std::string& name = transfer->request.wanted_header;
    curl_header* header = nullptr;
    if (!name.empty() &&
        curl_easy_header(transfer->easy, name.c_str(), 0, CURLH_HEADER, -1,
                         &header) == CURLHE_OK) {
      transfer->response.header = header->value;
    }
  }

  static void DiscardBody(Transfer* transfer) {
    Log(LogLevel::kWarning, "answer_too_large",
        {{"code", NumberOf(ResultCode::kAnswerTooLarge)},
         {"address", transfer->request.address},
         {"head_bytes", transfer->head_bytes},
         {"body_bytes", transfer->response.body.size()}});
    transfer->response.body = std::string();
  }

  static void RejectStatus(Transfer* transfer) {
    Log(LogLevel::kWarning, "answer_status_invalid",
        {{"code", NumberOf(ResultCode::kAnswerMalformed)},
         {"address", transfer->request.address},
         {"status", transfer->response.http_status}});
    transfer->response.status = TransferStatus::kFailed;
    transfer->response.body = std::string();
  }

  void Release(Transfer* transfer) {
    curl_multi_remove_handle(multi_, transfer->easy);
    curl_slist_free_all(transfer->headers);
    transfer->headers = nullptr;
    if (idle_handles_.size() < kMaxIdleHandles) {
      curl_easy_reset(transfer->easy);
      idle_handles_.push_back(transfer->easy);
    } else {
      curl_easy_cleanup(transfer->easy);
    }
    transfer->easy = nullptr;
  }

  CURLM* multi_ = nullptr;
  BoundedQueue<Command> commands_;
  std::unordered_map<std::uint64_t, std::unique_ptr<Transfer>> transfers_;
  std::unordered_map<std::string, Time> last_abort_;
  std::vector<CURL*> idle_handles_;
  std::atomic<bool> stopping_{false};
  std::atomic<std::uint32_t> connection_limit_{0};
  std::thread thread_;
};

HttpClient::HttpClient(std::size_t capacity)
    : impl_(std::make_unique<Impl>(capacity)) {}
HttpClient::~HttpClient() = default;

void HttpClient::Start() {
  impl_->Start();
}

void HttpClient::Stop() {
  impl_->Stop();
}

bool HttpClient::Send(HttpRequest request, Handler handler) {
  return impl_->Send(std::move(request), std::move(handler));
}

void HttpClient::SetConnectionLimit(std::uint32_t limit) {
  impl_->SetConnectionLimit(limit);
}

void HttpClient::Abort(std::uint64_t tag, const std::string& address) {
  impl_->Abort(tag, address);
}

}  // namespace limpetrudder
