#include <future>

#include <doctest/doctest.h>

#include "net/feed_client.h"
#include "net/feed_encoder.h"
#include "net/forward_codec.h"

namespace limpetrudder {
namespace {

// Parses the bytes of a request as a server does.
ServerRequest ParseRequest(const std::string& bytes) {
  ServerRequest request;
  std::size_t at = bytes.find("\r\n");
  const std::string line = bytes.substr(0, at);
  const std::size_t first = line.find(' ');
  request.method = line.substr(0, first);
  request.target = line.substr(first + 1, line.rfind(' ') - first - 1);
  for (at += 2; bytes[at] != '\r';) {
    const std::size_t end = bytes.find("\r\n", at);
    const std::size_t colon = bytes.find(": ", at);
    request.headers.push_back({bytes.substr(at, colon - at),
                               bytes.substr(colon + 2, end - colon - 2)});
    at = end + 2;
  }
  request.body = bytes.substr(at + 2);
  return request;
}

ForwardCall MakeForward() {
  auto message = std::make_shared<RequestMessage>();
  message->request_id = "r1";
  message->method = "POST";
  message->host = "shop.example";
  message->target = "/all/x?y=1";
  message->headers = {{"Accept", "a/b"}};
  message->body = "body";
  ForwardCall forward;
  forward.attempt = 5;
  forward.coordinator = "b";
  forward.address = "10.0.0.2:7000";
  forward.message = message;
  forward.time_left = Millis(1900);
  forward.target_left = Millis(180);
  forward.routes_version = 12;
  return forward;
}

TEST_CASE("Forwarded calls") {
  ForwardCall forward = MakeForward();
  const auto sent = [&forward] {
    ServerRequest request = ParseRequest(EncodeForward(forward).bytes);
    REQUIRE(IsForwarded(request));
    return request;
  };

  SUBCASE("a forwarded call arrives unchanged, with the remaining times") {
    const auto call = DecodeForward(sent(), 9);
    REQUIRE(call);
    const CallRequest& request = call.assume_value();
    CHECK(request.id == 9);
    CHECK(request.forwarded);
    CHECK(request.caller_timeout == Millis(1900));
    CHECK(request.target_left == Millis(180));
    CHECK(request.routes_version == 12);
    CHECK(request.message->request_id == "r1");
    CHECK(request.message->method == "POST");
    CHECK(request.message->host == "shop.example");
    CHECK(request.message->target == "/all/x?y=1");
    CHECK(request.message->body == "body");
    REQUIRE(request.message->headers.size() == 1);
    CHECK(request.message->headers[0].value == "a/b");
    CHECK(request.only_shards.empty());
  }
  SUBCASE("a forwarded call names the requested shards") {
    forward.shards = {"s1", "s2"};
    forward.max_missing = 1;
    forward.top_records = 50;
    const auto call = DecodeForward(sent(), 9);
    REQUIRE(call);
    CHECK(call.assume_value().only_shards ==
          std::vector<std::string>{"s1", "s2"});
    CHECK(call.assume_value().max_missing == 1);
    CHECK(call.assume_value().top_records == 50);
  }
  SUBCASE("a call to one server is marked so that older builds refuse it") {
    forward.single = true;
    CHECK(EncodeForward(forward).echo == "r1");
    const ServerRequest request = sent();
    CHECK(IsForwarded(request));
    CHECK(std::none_of(request.headers.begin(), request.headers.end(),
                       [](const HeaderField& header) {
                         return header.name == kForwardedHeader;
                       }));
    CHECK(DecodeForward(request, 9).assume_value().target_left == Millis(180));
  }
  SUBCASE("a forwarded call names the allowed regions, unless all are") {
    CHECK(DecodeForward(sent(), 9).assume_value().allowed_regions.any());
    forward.allowed_regions =
        AllowedRegions(std::set<std::string>{"kingston", "north, coast"});
    CHECK(DecodeForward(sent(), 9).assume_value().allowed_regions ==
          forward.allowed_regions);
  }
  SUBCASE(
      "a call whose account was checked names it, and no older build "
      "takes it for a call") {
    forward.account = "east";
    forward.account_checked = true;
    const ServerRequest request = sent();
    CHECK(std::none_of(request.headers.begin(), request.headers.end(),
                       [](const HeaderField& header) {
                         return header.name == kForwardedHeader ||
                                header.name == "Limpet-Single-Target-Left-Ms";
                       }));
    const auto call = DecodeForward(request, 9);
    REQUIRE(call);
    CHECK(call.assume_value().account == "east");
    CHECK(call.assume_value().account_checked);
    CHECK(call.assume_value().target_left == Millis(180));
    CHECK(call.assume_value().message->headers.size() == 1);
  }
  SUBCASE("a call on a public route names no account") {
    forward.account_checked = true;
    const auto call = DecodeForward(sent(), 9);
    CHECK(call.assume_value().account_checked);
    CHECK(call.assume_value().account.empty());
  }
  SUBCASE("a call whose account wasn't checked carries what the caller sent") {
    auto message = std::make_shared<RequestMessage>(*forward.message);
    message->credentials = {{"Authorization", "Bearer k"}};
    forward.message = message;
    const auto call = DecodeForward(sent(), 9);
    CHECK_FALSE(call.assume_value().account_checked);
    REQUIRE(call.assume_value().message->headers.size() == 2);
    CHECK(call.assume_value().message->headers[1].value == "Bearer k");
  }
  SUBCASE("a caller can't speak for an instance") {
    auto message = std::make_shared<RequestMessage>(*forward.message);
    message->headers.push_back({"Limpet-Account", "east"});
    message->headers.push_back({"limpet-account-target-left-ms", "5"});
    message->headers.push_back({"Limpet-Host", "other.example"});
    forward.message = message;
    const auto call = DecodeForward(sent(), 9);
    REQUIRE(call);
    CHECK_FALSE(call.assume_value().account_checked);
    CHECK(call.assume_value().account.empty());
    CHECK(call.assume_value().message->host == "shop.example");
    CHECK(call.assume_value().message->headers.size() == 1);
  }
  SUBCASE("a forwarded call without the remaining time is malformed") {
    ServerRequest request = sent();
    std::erase_if(request.headers, [](const HeaderField& header) {
      return header.name == "Limpet-Time-Left-Ms";
    });
    const auto call = DecodeForward(std::move(request), 9);
    REQUIRE_FALSE(call);
    CHECK(call.error().code == ResultCode::kRequestMalformed);
  }
}

PoolResponse ToPoolResponse(ServerResponse response) {
  PoolResponse pool;
  pool.id = 5;
  pool.outcome = AttemptOutcome::kAnswered;
  pool.status = response.status;
  pool.headers = std::move(response.headers);
  pool.body = std::move(response.body);
  return pool;
}

TEST_CASE("Responses to forwarded calls") {
  SUBCASE("a response has an empty signature for each missing part") {
    CallReply reply;
    reply.part_signatures = {"", "a", "", "b", ""};
    reply.missing_parts = 3;
    reply.body = "records";
    const TargetReply back =
        DecodeForwardReply(ToPoolResponse(EncodeForwardReply(reply, {})));
    CHECK(back.part_signatures == reply.part_signatures);
    CHECK(back.missing_parts == 3);
    CHECK(back.body == "records");
    CHECK(back.outcome == AttemptOutcome::kAnswered);
  }
  SUBCASE("a response says that the call wasn't executed") {
    CallRecord record;
    record.code = ResultCode::kRevisionTooLow;
    const TargetReply back =
        DecodeForwardReply(ToPoolResponse(EncodeForwardReply({}, record)));
    CHECK(back.not_executed);
    CHECK(back.newer_routes == 0);
  }
  SUBCASE("a response to outdated routes gives the newer version") {
    CallReply reply;
    reply.newer_routes = 13;
    CallRecord record;
    record.code = ResultCode::kRoutesOutdated;
    const TargetReply back =
        DecodeForwardReply(ToPoolResponse(EncodeForwardReply(reply, record)));
    CHECK(back.not_executed);
    CHECK(back.newer_routes == 13);
  }
  SUBCASE("an instance refuses a call since it reaches no servers") {
    CallRecord record;
    record.code = ResultCode::kServersUnreachable;
    const TargetReply back =
        DecodeForwardReply(ToPoolResponse(EncodeForwardReply({}, record)));
    CHECK(back.not_executed);
    CHECK(back.servers_unreachable);
  }
  SUBCASE("a response passes on the answer of one server") {
    CallReply reply;
    reply.status = 404;
    reply.from_server = true;
    reply.headers = {{"X-Signature", "s1"},
                     {"Limpet-Not-Taken", "1"},
                     {"Connection", "close"},
                     {"Content-Type", "text/plain"}};
    reply.body = "no such order";
    const TargetReply back =
        DecodeForwardReply(ToPoolResponse(EncodeForwardReply(reply, {})));
    CHECK(back.outcome == AttemptOutcome::kAnswered);
    CHECK(back.from_server);
    CHECK_FALSE(back.not_executed);
    CHECK(back.status == 404);
    CHECK(back.body == "no such order");
    REQUIRE(back.headers.size() == 2);
    CHECK(back.headers[0].value == "s1");
    CHECK(back.headers[1].value == "text/plain");
  }
  SUBCASE("a build that doesn't know calls to one server runs none") {
    PoolResponse response;
    response.outcome = AttemptOutcome::kAnswered;
    response.status = 404;
    const TargetReply back = DecodeForwardReply(std::move(response));
    CHECK(back.outcome == AttemptOutcome::kAnswered);
    CHECK(back.not_executed);
  }
  SUBCASE("a response tells how many servers ran each missing part") {
    CallReply reply;
    reply.part_signatures = {"s1", "", ""};
    reply.missing_parts = 2;
    reply.missing_runs = {0, 2};
    const TargetReply back =
        DecodeForwardReply(ToPoolResponse(EncodeForwardReply(reply, {})));
    CHECK(back.missing_runs == reply.missing_runs);
  }
  SUBCASE("a response carries the queue pressure of the servers") {
    CallReply reply;
    reply.queue_pressure = 0.25;
    const TargetReply back =
        DecodeForwardReply(ToPoolResponse(EncodeForwardReply(reply, {})));
    CHECK(back.queue_pressure == doctest::Approx(0.25));
  }
  SUBCASE("a response lists the leaving servers") {
    CallReply reply;
    reply.status = 200;
    reply.leaving_servers = {{"i-1", 1700}, {"i-2", 0}};
    const TargetReply back =
        DecodeForwardReply(ToPoolResponse(EncodeForwardReply(reply, {})));
    REQUIRE(back.leaving_servers.size() == 2);
    CHECK(back.leaving_servers[0].id == "i-1");
    CHECK(back.leaving_servers[0].started_ms == 1700);
    CHECK(back.leaving_servers[1].id == "i-2");
  }
  SUBCASE("a response carries an error status and the retry delay") {
    CallReply reply;
    reply.status = 503;
    reply.retry_after = Millis(250);
    const TargetReply back =
        DecodeForwardReply(ToPoolResponse(EncodeForwardReply(reply, {})));
    CHECK(back.status == 503);
    CHECK(back.retry_after == Millis(250));
  }
  SUBCASE("a response without the protocol's headers is broken") {
    PoolResponse other;
    other.outcome = AttemptOutcome::kAnswered;
    other.status = 200;
    CHECK(DecodeForwardReply(std::move(other)).outcome ==
          AttemptOutcome::kBroken);
  }
}

TEST_CASE("Feed responses between instances") {
  HttpClient http(16);
  http.Start();
  FeedEncoder encoder;
  std::string large;
  for (int i = 0; i < 2000; ++i)
    large += "{\"route\":" + std::to_string(i) + "}";
  HttpServer server(
      {"127.0.0.1", 47931},
      [&](const ServerRequest& request, const Responder& respond) {
        const DecodedFeedRequest feed = DecodeFeedRequest(request);
        if (feed.request.after.revision == 7 ||
            feed.request.after.revision == 8) {
          FeedReply reply;
          reply.era = feed.request.after.era;
          reply.revision = 9;
          reply.age = Millis(120);
          reply.items = {{"a", "{\"x\":1}", 8}, {"b", std::nullopt, 9}};
          if (feed.request.after.revision == 8)
            reply.items = {{"large", large, 9}};
          return respond(encoder.Encode(reply, feed.accepts_compressed));
        }
        if (feed.request.after.revision == 6) {
          ServerResponse damaged;
          damaged.body =
              R"({"revision":9,"whole":false,"age_ms":0,"items":[)"
              R"({"key":"large","revision":9,"packed":"AAAA","size":5}]})";
          return respond(std::move(damaged));
        }
        ServerResponse unreadable;
        unreadable.body = "{}";
        respond(std::move(unreadable));
      },
      nullptr);
  REQUIRE(server.Start());
  FeedClient client(&http);
  const auto ask = [&client](std::uint64_t after) {
    std::promise<FeedReply> answer;
    client.Send("127.0.0.1:47931", {{4, after}, 12, false},
                [&answer](FeedReply reply) { answer.set_value(reply); });
    return answer.get_future().get();
  };

  SUBCASE("a feed response arrives complete") {
    const FeedReply reply = ask(7);
    CHECK(reply.status == FeedStatus::kOk);
    CHECK(reply.revision == 9);
    CHECK(reply.era == 4);
    CHECK(reply.age == Millis(120));
    REQUIRE(reply.items.size() == 2);
    CHECK(*reply.items[0].value == "{\"x\":1}");
    CHECK_FALSE(reply.items[1].value);
  }
  SUBCASE("a large feed value is compressed once for all requesters") {
    for (int i = 0; i < 3; ++i) {
      const FeedReply reply = ask(8);
      REQUIRE(reply.items.size() == 1);
      CHECK(*reply.items[0].value == large);
    }
    CHECK(encoder.compressions() == 1);
    FeedReply large_reply;
    large_reply.items = {{"large", large, 9}};
    CHECK(encoder.Encode(large_reply, true).body.size() < large.size() / 2);

    SUBCASE("and again if the store reuses its revision for a new value") {
      large_reply.items.front().value = large + "!";
      CHECK(encoder.Encode(large_reply, true).body !=
            encoder.Encode({}, true).body);
      CHECK(encoder.compressions() == 2);
    }
    SUBCASE("but sent plain to a requester that can't decompress it") {
      CHECK(encoder.Encode(large_reply, false).body.size() > large.size());
    }
  }
  SUBCASE("a feed response with a corrupt value is no reply") {
    CHECK(ask(6).status == FeedStatus::kNoReply);
  }
  SUBCASE("a malformed feed response is no reply") {
    CHECK(ask(1).status == FeedStatus::kNoReply);
  }
  http.Stop();
}

TEST_CASE("Feed requests between instances") {
  ServerRequest request;

  SUBCASE("a feed request gives position, routes and whether to wait") {
    request.query = "after=940&era=5&routes=7&now=1&packed=1";
    const DecodedFeedRequest feed = DecodeFeedRequest(request);
    CHECK(feed.request.after == StorePosition{5, 940});
    CHECK(feed.request.routes_version == 7);
    CHECK(feed.request.at_once);
    CHECK(feed.accepts_compressed);
  }
  SUBCASE("a feed request may lack the routes version") {
    request.query = "after=940&packed=1";
    const DecodedFeedRequest feed = DecodeFeedRequest(request);
    CHECK(feed.request.after == StorePosition{0, 940});
    CHECK_FALSE(feed.request.routes_version);
  }
  SUBCASE("a malformed feed request starts at the start of the store") {
    request.query = "after=x&era=&routes";
    const DecodedFeedRequest feed = DecodeFeedRequest(request);
    CHECK(feed.request.after == StorePosition{});
    CHECK_FALSE(feed.request.routes_version);
  }
}

}  // namespace
}  // namespace limpetrudder
