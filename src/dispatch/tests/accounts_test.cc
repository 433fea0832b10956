#include <algorithm>
#include <map>
#include <string>

#include <doctest/doctest.h>

#include "accounts/account_list.h"
#include "dispatch/internal/request_digest.h"
#include "dispatch/tests/fleet_session.h"

namespace limpetrudder {
namespace {

AccountDirectory EastAndWest() {
  AccountList list;
  list.Add({.name = "east"}, {"key-e1", "key-e2"});
  list.Add({.name = "west"}, {"key-w1"});
  return list.Build();
}

AccountDirectory OnlyEast() {
  AccountList list;
  list.Add({.name = "east"}, {"key-e1", "key-e2"});
  return list.Build();
}

FleetSession::Options WithAccounts() {
  FleetSession::Options options = FleetSession::SmallFleet(12);
  options.accounts = EastAndWest();
  return options;
}

// Arrivals at all servers.
struct Arrivals {
  std::map<std::string, int> by_account;
  int with_credentials = 0;

  int all() const {
    int sum = 0;
    for (const auto& [account, arrivals] : by_account)
      sum += arrivals;
    return sum;
  }
  // Whether each named `account` and carried nothing that the caller sent.
  bool AreAllOf(const std::string& account) const {
    return with_credentials == 0 && by_account.count(account) > 0 &&
           by_account.size() == 1;
  }
};

Arrivals ArrivalsOf(FleetSession* session) {
  std::vector<SessionServer*> servers = session->shard_servers();
  for (std::size_t i = 0; i < 3; ++i)
    servers.push_back(&session->single(i));
  Arrivals arrivals;
  for (const SessionServer* server : servers) {
    for (const auto& [account, count] : server->arrivals_by_account)
      arrivals.by_account[account] += count;
    arrivals.with_credentials += server->arrivals_with_credentials;
  }
  return arrivals;
}

const SessionAnswer& Finish(FleetSession* session, CallId call) {
  while (!session->answered(call))
    session->Run(Millis(1));
  return session->answer(call);
}

void CheckRefused(FleetSession* session, CallId call) {
  // At once, without any run of the session.
  REQUIRE(session->answered(call));
  CHECK(session->answer(call).reply.status == 401);
  CHECK_FALSE(session->answer(call).reply.retry_after);
  CHECK(session->answer(call).record.code == ResultCode::kAccountUnknown);
  session->Run(Seconds(1));
  CHECK(ArrivalsOf(session).all() == 0);
}

TEST_CASE("With accounts, a caller") {
  FleetSession session(WithAccounts());

  SUBCASE("is served with any key of its account, which servers get by name") {
    CHECK(Finish(&session, session.SendWithKey("/one/x", "key-e2"))
              .reply.status == 200);
    const SessionAnswer& answer =
        Finish(&session, session.SendWithKey("/all/x", "key-e1"));
    CHECK(answer.reply.status == 200);
    CHECK(answer.record.account == "east");
    CHECK(session.forwards() > 0);
    CHECK(ArrivalsOf(&session).AreAllOf("east"));
  }
  SUBCASE("is refused without a key") {
    CheckRefused(&session, session.Search());
    CheckRefused(&session, session.Single());
  }
  SUBCASE("is refused with an unknown key") {
    CheckRefused(&session, session.SendWithKey("/all/x", "key-e"));
    CheckRefused(&session, session.SendWithKey("/one/x", "east"));
  }
  SUBCASE("is refused with a malformed key or with several") {
    CheckRefused(&session,
                 session.SendRequest("/one/x", 0, std::nullopt,
                                     {CallerKeyState::kMalformed, "key-e1"}));
  }
  SUBCASE("is told that there is no such path before its key is read") {
    const SessionAnswer& answer =
        Finish(&session, session.SendRequest("/none/x", 0));
    CHECK(answer.reply.status == 404);
  }
  SUBCASE("and its servers see the account in each further attempt as well") {
    session.single(0).silent = true;
    session.single(1).reject_next = 5;
    for (SessionServer* server : session.shard_servers())
      server->reject_next = 1;
    session.server(0, 0).silent = true;
    for (std::size_t instance = 0; instance < 8; ++instance) {
      session.SendWithKey("/one/x", "key-e1", instance);
      session.SendWithKey("/all/x", "key-e1", instance);
    }
    session.Run(Seconds(4));
    CHECK(ArrivalsOf(&session).all() > 8 * (12 + 1));
    CHECK(ArrivalsOf(&session).AreAllOf("east"));
  }
  SUBCASE("is served by another instance when its own reaches no servers") {
    session.CutFromServers(0, ServerCut::kRefuse);
    for (int i = 0; i < 20; ++i) {
      session.SendWithKey("/one/x", "key-w1");
      session.Run(Millis(300));
    }
    const SessionAnswer& answer =
        Finish(&session, session.SendWithKey("/one/x", "key-w1"));
    CHECK(answer.reply.status == 200);
    CHECK(answer.record.coordinator != "");
    CHECK(ArrivalsOf(&session).AreAllOf("west"));
  }
}

TEST_CASE("On a public route") {
  FleetSession::Options options = WithAccounts();
  options.is_public = true;
  FleetSession session(options);

  SUBCASE("a caller needs no key, and servers get no account") {
    CHECK(session.SearchNow().reply.status == 200);
    CHECK(session.SingleNow().reply.status == 200);
    CHECK(ArrivalsOf(&session).AreAllOf(""));
  }
  SUBCASE("an unknown key is not passed on, nor a forged name") {
    const SessionAnswer& answer =
        Finish(&session, session.SendWithKey("/all/x", "unknown"));
    CHECK(answer.reply.status == 200);
    CHECK(ArrivalsOf(&session).AreAllOf(""));
  }
  SUBCASE("a key names its account all the same") {
    Finish(&session, session.SendWithKey("/all/x", "key-w1"));
    CHECK(ArrivalsOf(&session).AreAllOf("west"));
  }
}

TEST_CASE("Without accounts, what a caller says of itself is passed on") {
  FleetSession session(FleetSession::SmallFleet(12));
  const SessionAnswer& answer =
      Finish(&session, session.SendWithKey("/all/x", "key-e1"));
  CHECK(answer.reply.status == 200);
  CHECK(answer.record.account == "");
  CHECK(session.forwards() > 0);
  const Arrivals arrivals = ArrivalsOf(&session);
  CHECK(arrivals.with_credentials == arrivals.all());
  CHECK(arrivals.by_account.count("") == 1);
}

TEST_CASE("While no configuration is known, no key is refused for good") {
  DispatchEngine engine({.own = {.name = "i"}});
  CallRequest call;
  call.id = 1;
  call.message = std::make_shared<RequestMessage>();
  engine.OnCall(call, Time(Seconds(1)));
  const auto actions = engine.TakeActions();
  REQUIRE(actions.size() == 1);
  CHECK(std::get<CompleteCall>(actions[0]).reply.status == 503);
}

TEST_CASE("A key that a version takes away") {
  FleetSession session(WithAccounts());

  SUBCASE("is refused from then on, also on a connection that was open") {
    Finish(&session, session.SendWithKey("/one/x", "key-w1"));
    session.Announce(session.WithAccounts(2, OnlyEast()));
    const CallId call = session.SendWithKey("/one/x", "key-w1");
    REQUIRE(session.answered(call));
    CHECK(session.answer(call).reply.status == 401);
  }
  SUBCASE("is refused by an instance that stops as well") {
    session.engine(0).OnStopping(session.now() + Seconds(60));
    session.Announce(session.WithAccounts(2, OnlyEast()));
    const CallId call = session.SendWithKey("/one/x", "key-w1");
    REQUIRE(session.answered(call));
    CHECK(session.answer(call).reply.status == 401);
  }
  SUBCASE("ends no call that was made before") {
    const CallId call = session.SendWithKey("/all/x", "key-w1");
    session.Run(Millis(5));
    session.Announce(session.WithAccounts(2, OnlyEast()));
    CHECK(Finish(&session, call).reply.status == 200);
    CHECK(ArrivalsOf(&session).AreAllOf("west"));
  }
}

TEST_CASE("Between instances whose accounts differ") {
  FleetSession::Options options = WithAccounts();

  SUBCASE(
      "a call of an account that is gone at the others is coordinated "
      "where it came in, which fetches the newer routes") {
    FleetSession session(options);
    const auto newer = session.WithAccounts(2, OnlyEast());
    for (std::size_t i = 1; i < session.instance_count(); ++i)
      session.engine(i).OnRoutes(newer, session.now());
    const CallId call = session.SendWithKey("/all/x", "key-w1");
    CHECK(Finish(&session, call).reply.status == 200);
    CHECK(ArrivalsOf(&session).AreAllOf("west"));
    REQUIRE_FALSE(session.fetches().empty());
    CHECK(session.fetches()[0].routes_version == 2);
  }
  SUBCASE(
      "a call of an account that only newer routes have is not taken by "
      "an instance with older ones") {
    options.accounts = OnlyEast();
    FleetSession session(options);
    session.engine(0).OnRoutes(session.WithAccounts(2, EastAndWest()),
                               session.now());
    const CallId call = session.SendWithKey("/all/x", "key-w1");
    CHECK(Finish(&session, call).reply.status == 200);
    CHECK(ArrivalsOf(&session).AreAllOf("west"));
  }
  SUBCASE(
      "a key that has changed its owner stands for the one that held it "
      "where the call came in") {
    FleetSession session(options);
    AccountList swapped;
    swapped.Add({.name = "east"}, {"key-w1"});
    swapped.Add({.name = "west"}, {"key-e1"});
    const auto newer = session.WithAccounts(2, swapped.Build());
    for (std::size_t i = 1; i < session.instance_count(); ++i)
      session.engine(i).OnRoutes(newer, session.now());
    Finish(&session, session.SendWithKey("/all/x", "key-w1", 0));
    CHECK(session.forwards() > 0);
    CHECK(ArrivalsOf(&session).AreAllOf("west"));
    Finish(&session, session.SendWithKey("/all/x", "key-e1", 1));
    CHECK(ArrivalsOf(&session).AreAllOf("west"));
  }
  SUBCASE("an account that has no key any more but still exists is served") {
    FleetSession session(options);
    AccountList keyless;
    keyless.Add({.name = "west"}, {});
    const auto newer = session.WithAccounts(2, keyless.Build());
    for (std::size_t i = 1; i < session.instance_count(); ++i)
      session.engine(i).OnRoutes(newer, session.now());
    CHECK(Finish(&session, session.SendWithKey("/all/x", "key-w1"))
              .reply.status == 200);
    CHECK(ArrivalsOf(&session).AreAllOf("west"));
  }
}

TEST_CASE("Between an instance with accounts and one without") {
  FleetSession::Options options = WithAccounts();
  // Whether only the instance that a call reached sent to servers.
  const auto are_all_from = [](FleetSession* session, std::size_t instance) {
    const auto servers = session->shard_servers();
    return std::all_of(servers.begin(), servers.end(), [&](const auto* server) {
      return server->arrivals == 0 || (server->arrivals_from.size() == 1 &&
                                       server->arrivals_from.count(instance));
    });
  };

  SUBCASE(
      "an unchecked call on a public route isn't taken, as it may carry a "
      "key") {
    options.is_public = true;
    FleetSession session(options);
    const auto with = session.MakeRoutes(2);
    session.engine(0).OnRoutes(session.WithAccounts(2, {}), session.now());
    for (std::size_t i = 1; i < session.instance_count(); ++i)
      session.engine(i).OnRoutes(with, session.now());
    const CallId call = session.SendWithKey("/all/x", "key-w1", 0);
    CHECK(Finish(&session, call).reply.status == 200);
    CHECK(session.forwards() > 0);
    CHECK(are_all_from(&session, 0));
  }
  SUBCASE("a checked call isn't taken where newer routes have no accounts") {
    FleetSession session(options);
    const auto without = session.WithAccounts(2, {});
    for (std::size_t i = 1; i < session.instance_count(); ++i)
      session.engine(i).OnRoutes(without, session.now());
    const CallId call = session.SendWithKey("/all/x", "key-w1", 0);
    CHECK(Finish(&session, call).reply.status == 200);
    CHECK(session.forwards() > 0);
    CHECK(are_all_from(&session, 0));
    CHECK(ArrivalsOf(&session).AreAllOf("west"));
  }
}

TEST_CASE("Beside older builds") {
  FleetSession::Options options = WithAccounts();

  SUBCASE("calls are forwarded to none of them") {
    for (std::size_t i = 1; i < options.instances.size(); ++i)
      options.old_builds.insert(i);
    FleetSession session(options);
    for (const char* target : {"/all/x", "/one/x"}) {
      const CallId call = session.SendWithKey(target, "key-w1");
      CHECK(Finish(&session, call).reply.status == 200);
    }
    CHECK(session.forwards() > 0);
    CHECK(ArrivalsOf(&session).AreAllOf("west"));
  }
  SUBCASE("what they forward, with the caller's headers, is not taken") {
    FleetSession session(options);
    // An older build has the same version, and reads no accounts in it.
    const auto same = session.MakeRoutes(2);
    const auto unread = session.WithAccounts(2, {});
    session.engine(0).OnRoutes(unread, session.now());
    for (std::size_t i = 1; i < session.instance_count(); ++i)
      session.engine(i).OnRoutes(same, session.now());
    const CallId call = session.SendWithKey("/all/x", "key-w1");
    CHECK(Finish(&session, call).reply.status == 200);
    for (const SessionServer* server : session.shard_servers())
      CHECK(server->arrivals == server->arrivals_from.count(0));
  }
}

TEST_CASE("The regions of an account") {
  FleetSession::Options options;
  options.instances = {"kgn-a", "mbj-a", "mdv-a"};
  options.shards.assign(10, options.instances);
  options.single_data_centres = options.instances;
  options.allowed_regions = AllowedRegions(std::set<std::string>{"kgn", "mbj"});
  AccountList list;
  list.Add(
      {.name = "east",
       .allowed_regions = AllowedRegions(std::set<std::string>{"mbj", "mdv"})},
      {"key-e1"});
  list.Add({.name = "west"}, {"key-w1"});
  options.accounts = list.Build();
  FleetSession session(options);
  const auto runs_in = [&](const std::string& data_centre) {
    int runs = session.single(0).entry.data_centre == data_centre
                   ? session.single(0).runs
                   : 0;
    for (const SessionServer* server : session.shard_servers())
      runs += server->entry.data_centre == data_centre ? server->runs : 0;
    return runs;
  };

  SUBCASE("bind beside those of the route") {
    for (std::size_t instance = 0; instance < 3; ++instance) {
      CHECK(Finish(&session, session.SendWithKey("/all/x", "key-e1", instance))
                .reply.status == 200);
      CHECK(Finish(&session, session.SendWithKey("/one/x", "key-e1", instance))
                .reply.status == 200);
    }
    CHECK(runs_in("mbj-a") > 0);
    CHECK(runs_in("kgn-a") + runs_in("mdv-a") == 0);
  }
  SUBCASE("bind no other account") {
    Finish(&session, session.SendWithKey("/all/x", "key-w1"));
    CHECK(runs_in("kgn-a") > 0);
    CHECK(runs_in("mdv-a") == 0);
  }
  SUBCASE("narrow a call that began before they were narrowed") {
    for (SessionServer* server : session.shard_servers()) {
      if (server->entry.data_centre == "kgn-a")
        server->silent = true;
    }
    const CallId call = session.SendWithKey("/all/x", "key-w1");
    session.Run(Millis(1));
    AccountList narrowed;
    narrowed.Add(
        {.name = "west",
         .allowed_regions = AllowedRegions(std::set<std::string>{"kgn"})},
        {"key-w1"});
    session.Announce(session.WithAccounts(2, narrowed.Build()));
    Finish(&session, call);
    CHECK(runs_in("mbj-a") == 0);
  }
}

TEST_CASE("The priority of an account precedes the route's") {
  FleetSession::Options options;
  options.single_servers = 1;
  options.max_connections = 1;
  options.budget = {0, 0};
  AccountList list;
  list.Add({.name = "later", .priority = 7}, {"key-later"});
  list.Add({.name = "urgent", .priority = 1}, {"key-urgent"});
  list.Add({.name = "route"}, {"key-route"});  // The route has 0.
  options.accounts = list.Build();
  FleetSession session(options);
  session.single(0).work = Millis(100);
  session.SendWithKey("/one/x", "key-route");
  session.Run(Millis(10));
  const CallId later = session.SendWithKey("/one/x", "key-later");
  const CallId urgent = session.SendWithKey("/one/x", "key-urgent");
  const CallId route = session.SendWithKey("/one/x", "key-route");
  session.Run(Seconds(1));
  REQUIRE(session.answered(later));
  CHECK(session.answer(route).at < session.answer(urgent).at);
  CHECK(session.answer(urgent).at < session.answer(later).at);
}

TEST_CASE("The digest of a request") {
  RequestMessage message;
  message.method = "GET";
  message.target = "/one/x";

  SUBCASE("tells accounts apart, whichever key they used") {
    CHECK(detail::DigestOf(message, "east") ==
          detail::DigestOf(message, "east"));
    CHECK(detail::DigestOf(message, "east") !=
          detail::DigestOf(message, "west"));
    CHECK(detail::DigestOf(message, "east") != detail::DigestOf(message));
  }
  SUBCASE("is the same where the caller's headers were forwarded") {
    message.headers = {{"Cookie", "a"}};
    message.credentials = {{"Authorization", "Bearer k"}};
    RequestMessage forwarded = message;
    forwarded.headers.push_back(message.credentials[0]);
    forwarded.credentials.clear();
    CHECK(detail::DigestOf(message) == detail::DigestOf(forwarded));
  }
}

TEST_CASE("A request of death is known again with another key of its account") {
  FleetSession::Options options = WithAccounts();
  options.shards.resize(3);
  FleetSession session(options);
  const char* keys[] = {"key-e1", "key-e2"};
  for (std::size_t i = 0; i < 20; ++i) {
    session.SendRequest(FleetSession::kDeadlySearch, i % 8, std::nullopt,
                        {CallerKeyState::kPresent, keys[i % 2]});
    session.Run(Millis(500));
  }
  const int crashes = session.crashes();
  CHECK(crashes > 0);
  for (std::size_t i = 0; i < 10; ++i) {
    const CallId call =
        session.SendWithKey(FleetSession::kDeadlySearch, keys[i % 2], i % 8);
    session.Run(Millis(100));
    CHECK(session.answered(call));
  }
  CHECK(session.crashes() == crashes);
}

TEST_CASE("Where keys have to be confirmed") {
  FleetSession::Options options = WithAccounts();
  options.key_confirmation_bound = Seconds(5);
  FleetSession session(options);
  const auto status = [&](const std::string& key) {
    return Finish(&session, session.SendWithKey("/one/x", key)).reply.status;
  };

  SUBCASE("no key is taken until the routes are confirmed") {
    const CallId call = session.SendWithKey("/one/x", "key-w1");
    REQUIRE(session.answered(call));
    CHECK(session.answer(call).reply.status == 503);
    CHECK(session.answer(call).reply.retry_after);
    CHECK(session.answer(call).record.code == ResultCode::kAccountUnconfirmed);
    CHECK(ArrivalsOf(&session).all() == 0);
  }
  SUBCASE("keys are taken until the news is too old") {
    session.engine(0).OnRoutesConfirmed(session.now());
    CHECK(status("key-w1") == 200);
    CHECK(status("unknown") == 401);
    session.Run(Seconds(4));
    CHECK(status("key-w1") == 200);
    session.Run(Seconds(1));
    CHECK(status("key-w1") == 503);
    CHECK(status("unknown") == 503);

    SUBCASE("and again once there is newer") {
      session.engine(0).OnRoutesConfirmed(session.now());
      CHECK(status("key-w1") == 200);
    }
    SUBCASE("but not by older news") {
      session.engine(0).OnRoutesConfirmed(session.now() - Seconds(5));
      CHECK(status("key-w1") == 503);
    }
  }
  SUBCASE("an instance that was not heard takes calls of one that was") {
    session.engine(0).OnRoutesConfirmed(session.now());
    CHECK(Finish(&session, session.SendWithKey("/all/x", "key-w1"))
              .reply.status == 200);
    CHECK(ArrivalsOf(&session).AreAllOf("west"));
  }
}

TEST_CASE("Public routes are served while keys can't be confirmed") {
  FleetSession::Options options = WithAccounts();
  options.is_public = true;
  options.key_confirmation_bound = Seconds(5);
  FleetSession session(options);
  CHECK(session.SingleNow().reply.status == 200);
}

}  // namespace
}  // namespace limpetrudder
