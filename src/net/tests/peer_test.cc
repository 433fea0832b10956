#include <atomic>
#include <future>
#include <thread>

#include <doctest/doctest.h>
#include <asio.hpp>

#include "framework/random.h"
#include "net/internal/peer_codec.h"
#include "net/peer_client.h"
#include "net/peer_server.h"
#include "net/tests/tcp_relay.h"

namespace limpetrudder {
namespace {

constexpr Duration kProbeTimeout = Seconds(20);

std::string FreeAddress() {
  asio::io_context context;
  asio::ip::tcp::acceptor acceptor(
      context, asio::ip::tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0));
  return "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port());
}

std::optional<PeerProbeReply> Probe(PeerClient* client,
                                    const std::string& address,
                                    Duration timeout = kProbeTimeout) {
  std::promise<std::optional<PeerProbeReply>> reply;
  PeerProbe probe;
  probe.message.from = {"kingston-1", "kingston", "a", 3, MemberState::kAlive};
  client->Probe(address, probe, timeout,
                [&](auto result) { reply.set_value(std::move(result)); });
  return reply.get_future().get();
}

TEST_CASE("A peer client and a peer server") {
  const std::string address = FreeAddress();
  PeerHandlers handlers;
  handlers.probe = [](PeerProbe probe, auto reply) {
    PeerProbeReply answer;
    answer.revision = 9;
    answer.answer.updates = {probe.message.from};
    reply(std::move(answer));
  };
  auto server = std::make_unique<PeerServer>(address, handlers);
  REQUIRE(server->Start());
  PeerClient client;
  const auto first = Probe(&client, address);
  REQUIRE(first);
  CHECK(first->revision == 9);
  CHECK(first->answer.updates[0].incarnation == 3);

  SUBCASE("the client gets no reply after the server stopped") {
    server->Stop(Duration(0));
    CHECK_FALSE(Probe(&client, address, Seconds(1)));

    SUBCASE("and reconnects once the server is back") {
      PeerServer back(address, handlers);
      REQUIRE(back.Start());
      bool replied_again = false;
      for (int i = 0; i < 200 && !replied_again; ++i) {
        replied_again = Probe(&client, address, Seconds(1)).has_value();
        std::this_thread::sleep_for(Millis(50));
      }
      CHECK(replied_again);
    }
  }
  SUBCASE("the server still works after connections that sent garbage") {
    Random random(5);
    for (int i = 0; i < 50; ++i) {
      asio::io_context context;
      asio::ip::tcp::socket socket(context);
      socket.connect(asio::ip::tcp::endpoint(
          asio::ip::make_address("127.0.0.1"),
          static_cast<std::uint16_t>(
              std::stoi(address.substr(address.find(':') + 1)))));
      std::string bytes = "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n";
      bytes.resize(random.Below(bytes.size() + 1));
      for (int n = 0; n < 64; ++n)
        bytes.push_back(static_cast<char>(random.Next()));
      asio::error_code ignored;
      asio::write(socket, asio::buffer(bytes), ignored);
    }
    CHECK(Probe(&client, address));
  }
  client.Stop();
}

TEST_CASE("Corrupt peer messages are rejected or read within bounds") {
  PeerSearch search;
  search.request.request_id = "r1";
  search.request.collection = "catalogue";
  search.request.only_shards = {"a", "b"};
  search.request.deadline = Time() + Seconds(1);
  const std::string bytes = detail::ToWire(search, Time()).SerializeAsString();
  google::protobuf::SetLogHandler(nullptr);
  Random random(1);
  for (int i = 0; i < 20000; ++i) {
    std::string damaged = bytes.substr(0, random.Below(bytes.size() + 1));
    for (int n = 0; n < 3 && !damaged.empty(); ++n) {
      damaged[random.Below(damaged.size())] = static_cast<char>(random.Next());
    }
    wire::SearchCall call;
    if (!call.ParseFromString(damaged))
      continue;
    const PeerSearch read = detail::FromWire(call, Time());
    REQUIRE(read.request.deadline <= Time() + Seconds(3600));
    REQUIRE(read.request.caller_class <= CallerClass::kReport);
  }
}

TEST_SUITE("promise-5") {
  TEST_CASE("gRPC doesn't repeat a write whose connection is cut") {
    const std::string address = FreeAddress();
    std::atomic<int> writes{0};
    std::promise<void> arrived;
    std::function<void(PeerWriteReply)> held;
    PeerHandlers handlers;
    handlers.write = [&](PeerWrite, auto reply) {
      held = reply;
      if (++writes == 1)
        arrived.set_value();
    };
    handlers.probe = [](PeerProbe, auto reply) { reply(PeerProbeReply()); };
    PeerServer server(address, handlers);
    REQUIRE(server.Start());
    TcpRelay relay(static_cast<std::uint16_t>(
        std::stoi(address.substr(address.find(':') + 1))));
    PeerClient client;
    std::promise<bool> replied;
    PeerWrite write;
    write.request.key = "k";
    write.request.deadline = Time() + Seconds(60);
    client.Write(relay.address(), write, Time(),
                 [&](auto reply) { replied.set_value(reply.has_value()); });
    arrived.get_future().get();
    relay.Cut();
    CHECK_FALSE(replied.get_future().get());

    bool replied_again = false;
    for (int i = 0; i < 200 && !replied_again; ++i) {
      replied_again = Probe(&client, relay.address(), Seconds(1)).has_value();
      std::this_thread::sleep_for(Millis(50));
    }
    CHECK(replied_again);
    CHECK(writes == 1);
    held(PeerWriteReply());
    client.Stop();
  }

  TEST_CASE("A peer's write call with an unknown action runs nothing") {
    wire::WriteCall call;
    call.set_action(static_cast<wire::WriteAction>(77));
    CHECK(detail::FromWire(call, Time()).action == WriteAction::kOutcome);
  }
}

}  // namespace
}  // namespace limpetrudder
