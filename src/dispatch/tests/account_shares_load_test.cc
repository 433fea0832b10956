#include <algorithm>
#include <map>
#include <string>
#include <vector>

#include <doctest/doctest.h>

#include "accounts/account_list.h"
#include "dispatch/tests/fleet_session.h"

namespace limpetrudder {
namespace {

constexpr Duration kTarget = Millis(250);

// Twenty shards, each with two servers of two slots and 20 ms of work.
constexpr double kCapacity = 200;

struct Sender {
  std::string account;
  double weight = 1;
  double rate = 0;  // Searches per second.
};

struct Result {
  int sent = 0;
  int in_time = 0;
};

// Four instances; the senders' weights are the rates of their accounts.
FleetSession::Options OptionsFor(const std::vector<Sender>& senders) {
  FleetSession::Options options;
  options.instances.assign(4, "kgn-a");
  options.shards.assign(20, {"kgn-a", "kgn-a"});
  options.max_connections = 60;
  options.max_queued = 12;
  options.budget = {0.2, 58};
  options.latency_target = kTarget;
  options.timeout = Millis(1500);
  options.servers_report_load = true;
  AccountList list;
  for (const auto& sender : senders)
    list.Add({.name = sender.account, .rate_per_second = sender.weight},
             {"key-" + sender.account});
  options.accounts = list.Build();
  return options;
}

// Sends the senders' searches at random times and returns the results of those
// after the first seconds, by account.
std::map<std::string, Result> Run(FleetSession* session,
                                  const std::vector<Sender>& senders,
                                  std::uint64_t seed) {
  Random random(seed);
  std::vector<std::pair<CallId, std::string>> calls;
  const Time began = session->now();
  for (int step = 0; step < 12'000; ++step) {
    for (const auto& sender : senders) {
      if (random.Unit() >= sender.rate / 1000)
        continue;
      const CallId call = session->SendWithKey(
          "/all/x", "key-" + sender.account, random.Below(4));
      if (session->now() - began >= Seconds(4))
        calls.emplace_back(call, sender.account);
    }
    session->Run(Millis(1));
  }
  session->Run(Seconds(2));
  std::map<std::string, Result> results;
  for (const auto& [call, account] : calls) {
    ++results[account].sent;
    const SessionAnswer& answer = session->answer(call);
    results[account].in_time +=
        answer.reply.status == 200 && answer.record.took <= kTarget ? 1 : 0;
  }
  return results;
}

double RatioIn(const std::map<std::string, Result>& results) {
  Result all;
  for (const auto& [account, result] : results) {
    all.sent += result.sent;
    all.in_time += result.in_time;
  }
  return static_cast<double>(all.in_time) / all.sent;
}

double RatioOf(const Result& result) {
  return static_cast<double>(result.in_time) / result.sent;
}

TEST_CASE("Accounts that together ask for more than the slots can do") {
  SUBCASE("with weights of 4, 2 and 1, the last far above its part") {
    // One and a half times what the slots can do.
    const std::vector<Sender> senders = {
        {"large", 40, 60}, {"medium", 20, 30}, {"small", 10, kCapacity * 1.05}};
    FleetSession session(OptionsFor(senders));
    const auto results = Run(&session, senders, 1);
    SUBCASE("those within their parts are served more often than all") {
      CHECK(RatioOf(results.at("large")) > RatioIn(results));
      CHECK(RatioOf(results.at("medium")) > RatioIn(results));
    }
    SUBCASE("the last isn't starved") {
      CHECK(RatioOf(results.at("small")) > RatioIn(results) / 4);
    }
  }
  SUBCASE("skewed and with a third of the servers slow, none is starved") {
    std::vector<Sender> senders;
    for (int i = 1; i <= 12; ++i)
      senders.push_back({"account-" + std::to_string(i), 60.0 / i, 45.0 / i});
    FleetSession session(OptionsFor(senders));
    const auto servers = session.shard_servers();
    for (std::size_t i = 0; i < servers.size(); i += 3)
      servers[i]->work = Millis(100);
    const auto results = Run(&session, senders, 2);
    for (const auto& row : results) {
      CAPTURE(row.first);
      CHECK(RatioOf(row.second) > RatioIn(results) / 4);
    }
  }
}

TEST_SUITE_BEGIN("shares-slow-shards");

TEST_CASE("Accounts aren't starved while all servers of some shards are slow") {
  std::vector<Sender> senders;
  for (int i = 1; i <= 12; ++i)
    senders.push_back({"account-" + std::to_string(i), 60.0 / i, 45.0 / i});
  FleetSession session(OptionsFor(senders));
  for (std::size_t shard = 0; shard < 20; shard += 3) {
    session.server(shard, 0).work = Millis(100);
    session.server(shard, 1).work = Millis(100);
  }
  const auto results = Run(&session, senders, 2);
  for (const auto& row : results) {
    CAPTURE(row.first);
    CHECK(RatioOf(row.second) > RatioIn(results) / 4);
  }
}

TEST_SUITE_END();

}  // namespace
}  // namespace limpetrudder
