#include <future>

#include <doctest/doctest.h>

#include "net/feed_client.h"
#include "net/feed_encoder.h"
#include "net/forward_codec.h"

namespace limpetrudder {
namespace {

// Reads the head of a request as a server would.
ServerRequest Received(const std::string& bytes) {
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
  forward.send = 5;
  forward.home = "b";
  forward.address = "10.0.0.2:7000";
  forward.message = message;
  forward.time_left = Millis(1900);
  forward.target_left = Millis(180);
  forward.routes_version = 12;
  return forward;
}

TEST_CASE("A call that is forwarded") {
  ForwardCall forward = MakeForward();
  const auto sent = [&forward] {
    ServerRequest request = Received(EncodeForward(forward).bytes);
    REQUIRE(IsForwarded(request));
    return request;
  };

  SUBCASE("arrives as it was, with the times left") {
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
  SUBCASE("names the shards that are wanted") {
    forward.shards = {"s1", "s2"};
    forward.most_missing = 1;
    forward.top_records = 50;
    const auto call = DecodeForward(sent(), 9);
    REQUIRE(call);
    CHECK(call.assume_value().only_shards ==
          std::vector<std::string>{"s1", "s2"});
    CHECK(call.assume_value().most_missing == 1);
    CHECK(call.assume_value().top_records == 50);
  }
  SUBCASE("without its times is refused") {
    ServerRequest request = sent();
    std::erase_if(request.headers, [](const HeaderField& header) {
      return header.name == "Limpet-Time-Left-Ms";
    });
    const auto call = DecodeForward(std::move(request), 9);
    REQUIRE_FALSE(call);
    CHECK(call.error().code == ResultCode::kRequestMalformed);
  }
}

PoolResponse Returned(ServerResponse response) {
  PoolResponse pool;
  pool.id = 5;
  pool.outcome = SendOutcome::kAnswered;
  pool.status = response.status;
  pool.headers = std::move(response.headers);
  pool.body = std::move(response.body);
  return pool;
}

TEST_CASE("The answer to a forwarded call") {
  SUBCASE("keeps a place for each missing part") {
    CallReply reply;
    reply.part_signatures = {"", "a", "", "b", ""};
    reply.missing_parts = 3;
    reply.body = "records";
    const TargetReply back =
        DecodeForwardReply(Returned(EncodeForwardReply(reply, {})));
    CHECK(back.part_signatures == reply.part_signatures);
    CHECK(back.missing_parts == 3);
    CHECK(back.body == "records");
    CHECK(back.outcome == SendOutcome::kAnswered);
  }
  SUBCASE("says that the call wasn't taken") {
    CallRecord record;
    record.code = ResultCode::kRevisionTooLow;
    const TargetReply back =
        DecodeForwardReply(Returned(EncodeForwardReply({}, record)));
    CHECK(back.not_executed);
    CHECK(back.newer_routes == 0);
  }
  SUBCASE("says that the call came under routes that are out of force") {
    CallReply reply;
    reply.newer_routes = 13;
    CallRecord record;
    record.code = ResultCode::kRoutesOutdated;
    const TargetReply back =
        DecodeForwardReply(Returned(EncodeForwardReply(reply, record)));
    CHECK(back.not_executed);
    CHECK(back.newer_routes == 13);
  }
  SUBCASE("tells how many servers ran each missing part") {
    CallReply reply;
    reply.part_signatures = {"s1", "", ""};
    reply.missing_parts = 2;
    reply.missing_runs = {0, 2};
    const TargetReply back =
        DecodeForwardReply(Returned(EncodeForwardReply(reply, {})));
    CHECK(back.missing_runs == reply.missing_runs);
  }
  SUBCASE("tells how long requests wait at its servers") {
    CallReply reply;
    reply.queue_pressure = 0.25;
    const TargetReply back =
        DecodeForwardReply(Returned(EncodeForwardReply(reply, {})));
    CHECK(back.queue_pressure == doctest::Approx(0.25));
  }
  SUBCASE("tells which servers are leaving") {
    CallReply reply;
    reply.status = 200;
    reply.leaving_servers = {{"i-1", 1700}, {"i-2", 0}};
    const TargetReply back =
        DecodeForwardReply(Returned(EncodeForwardReply(reply, {})));
    REQUIRE(back.leaving_servers.size() == 2);
    CHECK(back.leaving_servers[0].id == "i-1");
    CHECK(back.leaving_servers[0].started_ms == 1700);
    CHECK(back.leaving_servers[1].id == "i-2");
  }
  SUBCASE("carries a refusal and when to come back") {
    CallReply reply;
    reply.status = 503;
    reply.retry_after = Millis(250);
    const TargetReply back =
        DecodeForwardReply(Returned(EncodeForwardReply(reply, {})));
    CHECK(back.status == 503);
    CHECK(back.retry_after == Millis(250));
  }
  SUBCASE("from something else is broken") {
    PoolResponse other;
    other.outcome = SendOutcome::kAnswered;
    other.status = 200;
    CHECK(DecodeForwardReply(std::move(other)).outcome == SendOutcome::kBroken);
  }
}

TEST_CASE("News for another instance") {
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

  SUBCASE("arrives whole") {
    const FeedReply reply = ask(7);
    CHECK(reply.status == FeedStatus::kOk);
    CHECK(reply.revision == 9);
    CHECK(reply.era == 4);
    CHECK(reply.age == Millis(120));
    REQUIRE(reply.items.size() == 2);
    CHECK(*reply.items[0].value == "{\"x\":1}");
    CHECK_FALSE(reply.items[1].value);
  }
  SUBCASE("arrives whole if it is large, compressed once for all who ask") {
    for (int i = 0; i < 3; ++i) {
      const FeedReply reply = ask(8);
      REQUIRE(reply.items.size() == 1);
      CHECK(*reply.items[0].value == large);
    }
    CHECK(encoder.compressions() == 1);
    FeedReply whole;
    whole.items = {{"large", large, 9}};
    CHECK(encoder.Encode(whole, true).body.size() < large.size() / 2);

    SUBCASE("and anew if the store gave its revision out again") {
      whole.items.front().value = large + "!";
      CHECK(encoder.Encode(whole, true).body != encoder.Encode({}, true).body);
      CHECK(encoder.compressions() == 2);
    }
    SUBCASE("and plain for one that can't read that") {
      CHECK(encoder.Encode(whole, false).body.size() > large.size());
    }
  }
  SUBCASE("that is damaged is none, rather than an item that is gone") {
    CHECK(ask(6).status == FeedStatus::kNoReply);
  }
  SUBCASE("that can't be read is none") {
    CHECK(ask(1).status == FeedStatus::kNoReply);
  }
  http.Stop();
}

TEST_CASE("A question for another instance") {
  ServerRequest request;

  SUBCASE("names position, routes and whether it waits") {
    request.query = "after=940&era=5&routes=7&now=1&packed=1";
    const DecodedFeedRequest feed = DecodeFeedRequest(request);
    CHECK(feed.request.after == StorePosition{5, 940});
    CHECK(feed.request.routes_version == 7);
    CHECK(feed.request.at_once);
    CHECK(feed.accepts_compressed);
  }
  SUBCASE("of an instance that doesn't tell its routes") {
    request.query = "after=940&packed=1";
    const DecodedFeedRequest feed = DecodeFeedRequest(request);
    CHECK(feed.request.after == StorePosition{0, 940});
    CHECK_FALSE(feed.request.routes_version);
  }
  SUBCASE("that can't be read comes from one that knows nothing") {
    request.query = "after=x&era=&routes";
    const DecodedFeedRequest feed = DecodeFeedRequest(request);
    CHECK(feed.request.after == StorePosition{});
    CHECK_FALSE(feed.request.routes_version);
  }
}

}  // namespace
}  // namespace limpetrudder
