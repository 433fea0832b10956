#include <future>

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

#include "framework/clock.h"
#include "net/http_client.h"
#include "net/http_server.h"
#include "net/target_client.h"
#include "net/tests/free_port.h"
#include "net/tests/raw_server.h"

namespace limpetrudder {
namespace {

// An HttpClient with a blocking call.
class Client {
 public:
  Client() : http(64) { http.Start(); }

  HttpResponse Call(HttpRequest request) {
    request.tag = ++last_tag_;
    if (request.timeout.count() == 0)
      request.timeout = Seconds(20);
    std::promise<HttpResponse> answer;
    REQUIRE(http.Send(std::move(request), [&](HttpResponse response) {
      answer.set_value(std::move(response));
    }));
    return answer.get_future().get();
  }

  HttpClient http;

 private:
  std::uint64_t last_tag_ = 0;
};

HttpRequest Post(const std::string& address, const std::string& body) {
  HttpRequest request;
  request.method = "POST";
  request.address = address;
  request.path = "/v1/write";
  request.body = body;
  return request;
}

TEST_SUITE("promise-5") {
  TEST_CASE("A server closes a reused connection without a response") {
    RawServer server([](int request) {
      return request == 1 ? HttpOkResponse("{}") : std::string();
    });
    Client client;
    REQUIRE(client.Call(Post(server.address(), "{}")).status ==
            TransferStatus::kAnswered);

    SUBCASE("libcurl repeats the request") {
      client.Call(Post(server.address(), "{}"));
      CHECK(server.requests() == 3);
    }
    SUBCASE("a write on its own connection is sent once") {
      HttpRequest write = Post(server.address(), "{}");
      write.own_connection = true;
      CHECK(client.Call(write).status == TransferStatus::kAnswered);
      CHECK(server.requests() == 2);
      CHECK(server.connections() == 2);
    }
  }

  TEST_CASE("A write whose connection breaks is reported as failed") {
    RawServer server([](int) { return std::string(); });
    Client client;
    HttpRequest write = Post(server.address(), "{}");
    write.own_connection = true;
    CHECK(client.Call(write).status == TransferStatus::kFailed);
    CHECK(server.requests() == 1);
  }

  TEST_CASE("HttpClient doesn't follow redirects") {
    RawServer redirect_target([](int) { return HttpOkResponse("{}"); });
    RawServer server([&](int) {
      return "HTTP/1.1 307 -\r\nLocation: http://" + redirect_target.address() +
             "/v1/write\r\nContent-Length: 0\r\n\r\n";
    });
    Client client;
    const auto response = client.Call(Post(server.address(), "{}"));
    CHECK(response.http_status == 307);
    CHECK(redirect_target.connections() == 0);
  }

  TEST_CASE("HttpClient sends nothing if may_send returns false") {
    RawServer server([](int) { return HttpOkResponse("{}"); });
    Client client;
    HttpRequest write = Post(server.address(), "{}");
    write.own_connection = true;
    write.may_send = [] { return false; };
    CHECK(client.Call(write).status == TransferStatus::kNotSent);
    CHECK(server.requests() == 0);
  }

  TEST_CASE("A refused connection means that nothing was sent") {
    Client client;
    const std::string address = "127.0.0.1:" + std::to_string(FreePort());
    CHECK(client.Call(Post(address, "{}")).status ==
          TransferStatus::kConnectFailed);
  }

  TEST_CASE("TargetClient reports whether a write may have run") {
    RawServer broken([](int) { return std::string(); });
    Client client;
    TargetClient targets("kingston-1", &client.http);
    std::promise<WriteRunResult> ended;
    targets.SetHandlers(nullptr, nullptr, [&](WriteRunResult result) {
      ended.set_value(std::move(result));
    });
    WriteRequest write;
    write.key = "k";
    write.deadline = SteadyNow() + Seconds(20);
    SUBCASE("a write without a response is reported as lost") {
      targets.RunWrite(write, "shard", broken.address(), SteadyNow());
      CHECK(ended.get_future().get().result == RunResult::kNoReply);
    }
    SUBCASE("a write past its deadline is reported as never sent") {
      RawServer reachable([](int) { return HttpOkResponse("{}"); });
      WriteRequest late = write;
      late.deadline = SteadyNow() - Millis(1);
      targets.RunWrite(late, "shard", reachable.address(),
                       late.deadline - Seconds(5));
      CHECK(ended.get_future().get().result == RunResult::kNeverSent);
      CHECK(reachable.requests() == 0);
    }
  }
}

TEST_CASE("HttpClient doesn't reuse connections after an abort") {
  RawServer server([](int request) {
    return request == 1 ? HttpOkResponse("{}")
                        : "HTTP/1.1 100 Continue\r\n\r\n";
  });
  Client client;
  client.Call(Post(server.address(), "{}"));
  HttpRequest silent = Post(server.address(), "{}");
  silent.tag = 1000;
  silent.timeout = Seconds(60);
  bool called = false;
  client.http.Send(silent, [&](const HttpResponse&) { called = true; });
  while (server.requests() < 2)
    std::this_thread::yield();
  client.http.Abort(1000, server.address());
  CHECK(client.Call(Post(server.address(), "{}")).status ==
        TransferStatus::kAnswered);
  CHECK(server.connections() == 2);
  client.http.Stop();
  CHECK_FALSE(called);
}

TEST_CASE("HttpServer rejects messages above its limits") {
  const std::uint16_t port = FreePort();
  const std::string address = "127.0.0.1:" + std::to_string(port);
  HttpServer server(
      {"127.0.0.1", port, 1 << 20, 16 << 10},
      [](ServerRequest request, Responder respond) {
        respond({200, "\"" + request.path + "\""});
      },
      nullptr);
  REQUIRE(server.Start());
  Client client;
  const auto number = [](const HttpResponse& response) {
    return nlohmann::json::parse(response.body)["code"]["number"].get<int>();
  };

  SUBCASE("a body of ten megabytes gets status 413") {
    const auto response =
        client.Call(Post(address, std::string(10 << 20, 'x')));
    CHECK(response.http_status == 413);
    CHECK(number(response) == NumberOf(ResultCode::kRequestTooLarge));
  }
  SUBCASE("headers of forty kilobytes get status 431") {
    HttpRequest request = Post(address, "{}");
    request.headers.push_back("X-Long: " + std::string(40 << 10, 'x'));
    const auto response = client.Call(request);
    CHECK(response.http_status == 431);
    CHECK(number(response) == NumberOf(ResultCode::kHeadersTooLarge));
  }
  SUBCASE("a body limit changed at runtime applies to new requests") {
    const std::string body(3000, 'x');
    CHECK(client.Call(Post(address, body)).http_status == 200);
    server.SetMessageLimits(16 << 10, 2000);
    CHECK(client.Call(Post(address, body)).http_status == 413);
    server.SetMessageLimits(16 << 10, 1 << 20);
    CHECK(client.Call(Post(address, body)).http_status == 200);
  }
  CHECK(client.Call(Post(address, "{}")).http_status == 200);
}

TEST_CASE("HttpServer reports a connection that the caller closed") {
  const std::uint16_t port = FreePort();
  std::promise<std::uint64_t> closed;
  std::uint64_t connection = 0;
  Responder held;
  std::promise<void> arrived;
  HttpServer server(
      {"127.0.0.1", port},
      [&](ServerRequest request, Responder respond) {
        connection = request.connection;
        held = std::move(respond);
        arrived.set_value();
      },
      [&](std::uint64_t id) { closed.set_value(id); });
  REQUIRE(server.Start());
  {
    asio::io_context context;
    asio::ip::tcp::socket socket(context);
    socket.connect(
        asio::ip::tcp::endpoint(asio::ip::make_address("127.0.0.1"), port));
    asio::write(socket,
                asio::buffer(std::string("GET / HTTP/1.1\r\nHost: a\r\n\r\n")));
    arrived.get_future().get();
  }
  CHECK(closed.get_future().get() == connection);
}

}  // namespace
}  // namespace limpetrudder
