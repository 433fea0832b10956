// A server breaks off an answer without a length by a reset, while the request
// with its long body is still being sent to it. The caller must not get what
// came of the answer as a whole one. Every second request is short, for
// comparison: its answers are broken off in the same way.

#include "../common-2/harness.h"

namespace {

using namespace review;

constexpr int kRequests = 1500;
// One of the two servers breaks off one in this many of its answers.
constexpr int kBrokenShare = 50;
constexpr std::size_t kLongBody = 260'000;  // MaxBodyBytes is 262,144.
constexpr std::size_t kShortBody = 200;
constexpr std::size_t kAnswerBytes = 12'000;

std::mutex answers_mutex;
std::map<std::string, std::string> whole_answers;  // By their Server-Stamp.
int broken_off[2] = {0, 0};  // Of short requests and of long ones.
int answers_of_first[2] = {0, 0};

bool IsLong(std::size_t bytes) {
  return bytes > kShortBody;
}

}  // namespace

int main(int count, char** arguments) {
  return Main(count, arguments, [](const std::string& binary, Record* record) {
    const bool has_trouble = HasTrouble();
    const Folder folder;
    Store store(/*page_items=*/50);
    store.Put("op/config", ConfigOf(7, Json::array({RouteOf("notes", "/notes/",
                                                            "idempotent",
                                                            "notes")}),
                                    Json::array({ServiceOf("notes")}))
                               .dump());
    // Answers before it has read the whole body, and ends the answer with its
    // connection.
    const auto run = [&](Server* server, Request* request, Socket* socket) {
      const std::string id = HeaderOf(request->headers, "request-id");
      std::string read;
      if (!ReadBytes(socket, std::min<std::size_t>(request->content_length, 1000),
                     5, &read)) {
        return false;
      }
      bool breaks_off = false;
      std::string stamp;
      const std::string body(kAnswerBytes, static_cast<char>('a' + id.size() % 26));
      {
        const std::lock_guard lock(answers_mutex);
        stamp = "stamp." + server->id() + "." + id;
        whole_answers[stamp] = body;
        const bool is_long = IsLong(request->content_length);
        if (server->id() == "i-1" &&
            ++answers_of_first[is_long] % kBrokenShare == 0) {
          breaks_off = has_trouble;
          broken_off[is_long] += breaks_off ? 1 : 0;
        }
      }
      const std::string head = StatusLine(200) + "\r\nRequest-Id: " + id +
                               "\r\nServer-Stamp: " + stamp +
                               "\r\nConnection: close\r\n\r\n";
      socket->Write(head + body.substr(0, kAnswerBytes / 2));
      Sleep(0.03);
      if (breaks_off) {
        record->Line("server " + server->id() + " runs " + id + " with " +
                     std::to_string(request->content_length) +
                     " bytes, breaks off its answer after " +
                     std::to_string(kAnswerBytes / 2) + " of " +
                     std::to_string(kAnswerBytes) + " bytes");
        socket->Reset();
        return false;
      }
      socket->Write(body.substr(kAnswerBytes / 2));
      // Reads on, so that closing doesn't reset the connection.
      shutdown(socket->fd(), SHUT_WR);
      while (socket->Fill(1)) {
      }
      return false;
    };
    // A link with segments as on Ethernet and small windows.
    const Listener::Options link{.max_segment = 1448, .receive_buffer = 4096};
    Server first(&store, "i-1", "notes", run, /*early=*/true, link);
    Server second(&store, "i-2", "notes", run, /*early=*/true, link);
    Entry entry(binary, folder.path(), "frontend-here-1", store.port());
    entry.Start();
    if (!entry.AwaitReady(10))
      throw std::runtime_error("the instance isn't ready");
    Sleep(0.5);
    const std::string long_body(kLongBody, 'q');
    const std::string short_body(kShortBody, 'q');
    std::atomic<int> next{0};
    std::atomic<int> successes{0};
    std::atomic<int> failures{0};
    int wrong[2] = {0, 0};
    std::vector<std::thread> clients;
    for (int i = 0; i < 4; ++i) {
      clients.emplace_back([&] {
        for (int number = ++next; number <= kRequests; number = ++next) {
          const std::string id = "r" + std::to_string(number);
          const std::string& body = number % 2 == 0 ? long_body : short_body;
          const Answer answer = Ask(
              entry.front(), ClientRequest("POST", "/notes/find", id, body), 8);
          if (!answer.answered || answer.status >= 300) {
            ++failures;
            record->Line("client " + id + ": no success, status " +
                         std::to_string(answer.status));
            continue;
          }
          ++successes;
          const std::string stamp = HeaderOf(answer.headers, "server-stamp");
          const std::lock_guard lock(answers_mutex);
          const auto whole = whole_answers.find(stamp);
          if (whole != whole_answers.end() && whole->second == answer.body)
            continue;
          ++wrong[IsLong(body.size())];
          record->Line("client " + id + ": status " +
                       std::to_string(answer.status) + " with " + stamp +
                       " and Content-Length " +
                       HeaderOf(answer.headers, "content-length") +
                       ", a complete answer of " +
                       std::to_string(answer.body.size()) + " bytes; the " +
                       "server's whole body has " +
                       std::to_string(kAnswerBytes));
        }
      });
    }
    for (auto& client : clients)
      client.join();
    record->Line(std::to_string(kRequests) + " requests: " +
                 std::to_string(successes) + " successes, " +
                 std::to_string(failures) + " failures; " +
                 std::to_string(broken_off[1]) + " answers to long and " +
                 std::to_string(broken_off[0]) +
                 " to short requests broken off; " + std::to_string(wrong[1]) +
                 " and " + std::to_string(wrong[0]) +
                 " successes with a body that isn't the server's whole body");
    if (successes < kRequests / 2)
      throw std::runtime_error("too few requests were served");
    return wrong[0] + wrong[1] == 0;
  });
}
