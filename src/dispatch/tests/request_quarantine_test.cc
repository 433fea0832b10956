#include "dispatch/internal/request_quarantine.h"

#include <map>
#include <string>
#include <vector>

#include <doctest/doctest.h>

#include "dispatch/internal/quarantine_exchange.h"
#include "dispatch/internal/request_digest.h"

namespace limpetrudder {
namespace {

using detail::NoticeState;
using detail::QuarantineExchange;
using detail::RequestQuarantine;

const Time kStart = Time(Seconds(1000));

TEST_CASE("A request under which a server crashed") {
  RequestQuarantine quarantine;
  REQUIRE(quarantine.OnCrash("a", kStart, kStart + Millis(50)));
  CHECK(quarantine.StandingOf("a", kStart + Millis(50)) ==
        RequestStanding::kSuspected);

  SUBCASE("is tried by one call at a time") {
    const Time claimed = kStart + Millis(60);
    REQUIRE(quarantine.ClaimTrial("a", claimed));
    CHECK(quarantine.HoldsTrial("a", claimed, claimed + Millis(500)));
    CHECK_FALSE(quarantine.ClaimTrial("a", claimed + Millis(500)));
    CHECK(quarantine.NextSend("a", claimed + Seconds(1)) ==
          claimed + RequestQuarantine::kTrialClaim);

    SUBCASE("until that reached no server") {
      quarantine.ReleaseTrial("a", claimed);
      CHECK(quarantine.ClaimTrial("a", claimed + Millis(1)));
    }
    SUBCASE("until it has had no result for seconds") {
      const Time later = claimed + RequestQuarantine::kTrialClaim;
      CHECK_FALSE(quarantine.HoldsTrial("a", claimed, later));
      CHECK(quarantine.ClaimTrial("a", later));
    }
    SUBCASE("and not once another instance's trial has failed") {
      quarantine.Apply({"a", RequestStanding::kQuarantined, Millis(0),
                        Seconds(5), 1, std::nullopt},
                       claimed + Millis(20));
      CHECK_FALSE(quarantine.HoldsTrial("a", claimed, claimed + Millis(20)));
    }
    SUBCASE("also by one of another instance that knows of it") {
      RequestQuarantine other;
      for (const auto& notice : quarantine.Notices(claimed + Millis(10)))
        other.Apply(notice, claimed + Millis(30));
      CHECK_FALSE(other.ClaimTrial("a", claimed + Millis(30)));
    }
  }
  SUBCASE("isn't quarantined for other crashes at the same time") {
    CHECK_FALSE(quarantine.OnCrash("a", kStart, kStart + Millis(51)));
    CHECK(quarantine.StandingOf("a", kStart + Millis(51)) ==
          RequestStanding::kSuspected);
  }
  SUBCASE("is quarantined if a server crashes under its trial") {
    CHECK(quarantine.OnCrash("a", kStart + Millis(60), kStart + Millis(90)));
    const Time now = kStart + Millis(90);
    CHECK(quarantine.StandingOf("a", now) == RequestStanding::kQuarantined);

    SUBCASE("for seconds at first, then longer, then as good as for good") {
      Time until = quarantine.NextSend("a", now);
      CHECK(until == now + Seconds(5));
      for (const int seconds : {600, 12 * 3600, 12 * 3600}) {
        CHECK(quarantine.StandingOf("a", until) == RequestStanding::kSuspected);
        CHECK(quarantine.OnCrash("a", until, until + Millis(30)));
        const Time crashed = until + Millis(30);
        until = quarantine.NextSend("a", crashed);
        CHECK(until == crashed + Seconds(seconds));
      }
    }
    SUBCASE("and tried at one server when it comes again within hours") {
      const Time later = now + RequestQuarantine::kFirstQuarantine +
                         RequestQuarantine::kSuspicion - Seconds(1);
      quarantine.RemoveExpired(later);
      CHECK(quarantine.StandingOf("a", later) == RequestStanding::kSuspected);
    }
    SUBCASE("until a server answers it after all") {
      CHECK(quarantine.OnAnswered("a", now + Millis(5)));
      CHECK(quarantine.StandingOf("a", now + Millis(5)) ==
            RequestStanding::kClear);
    }
  }
  SUBCASE("is cleared by any answer, also for the crash of its other attempt") {
    CHECK(quarantine.OnAnswered("a", kStart + Millis(80)));
    CHECK(quarantine.StandingOf("a", kStart + Millis(80)) ==
          RequestStanding::kClear);
    CHECK_FALSE(quarantine.OnCrash("a", kStart, kStart + Millis(90)));
  }
  SUBCASE("stays suspected as long as no server has answered it") {
    const Time later = kStart + RequestQuarantine::kSuspicion - Seconds(1);
    quarantine.RemoveExpired(later);
    CHECK(quarantine.StandingOf("a", later) == RequestStanding::kSuspected);
    CHECK(quarantine.StateOfNotices(later) == detail::NoticeState::kOld);
  }
  SUBCASE("is forgotten half a day later") {
    const Time later = kStart + RequestQuarantine::kSuspicion + Seconds(1);
    CHECK(quarantine.StandingOf("a", later) == RequestStanding::kClear);
    quarantine.RemoveExpired(later);
    CHECK(quarantine.empty());
  }
}

TEST_CASE("A request under which servers broke off but didn't crash") {
  RequestQuarantine quarantine;
  quarantine.Suspect("a", kStart);
  CHECK(quarantine.StandingOf("a", kStart) == RequestStanding::kClear);
  quarantine.OnNoCrash("a");
  CHECK(quarantine.empty());
}

TEST_CASE("What instances tell each other of requests") {
  RequestQuarantine one;
  RequestQuarantine other;
  const auto tell = [](const RequestQuarantine& from, RequestQuarantine* to,
                       Time now) {
    bool changed = false;
    for (const auto& notice : from.Notices(now))
      changed = to->Apply(notice, now) || changed;
    return changed;
  };
  one.OnCrash("a", kStart, kStart + Millis(50));
  REQUIRE(tell(one, &other, kStart + Millis(60)));

  SUBCASE("a suspicion is told once") {
    CHECK_FALSE(tell(one, &other, kStart + Millis(70)));
    CHECK_FALSE(tell(other, &one, kStart + Millis(70)));
  }
  SUBCASE("a crash at the other instance is the second one") {
    CHECK(other.OnCrash("a", kStart + Millis(70), kStart + Millis(90)));
    CHECK(other.StandingOf("a", kStart + Millis(90)) ==
          RequestStanding::kQuarantined);
    CHECK(tell(other, &one, kStart + Millis(95)));
    CHECK(one.StandingOf("a", kStart + Millis(95)) ==
          RequestStanding::kQuarantined);
  }
  SUBCASE("an answer at one instance clears it at another that blamed it") {
    other.OnCrash("a", kStart + Millis(70), kStart + Millis(90));
    CHECK(one.OnAnswered("a", kStart + Millis(95)));
    CHECK(tell(one, &other, kStart + Millis(100)));
    CHECK(other.StandingOf("a", kStart + Millis(100)) ==
          RequestStanding::kClear);
    CHECK_FALSE(tell(other, &one, kStart + Millis(100)));
  }
  SUBCASE(
      "a request that was cleared is forgotten, though news are on the way") {
    constexpr Duration kNetworkTime = Millis(20);
    CHECK(one.OnAnswered("a", kStart + Millis(80)));
    Time now = kStart + Millis(100);
    for (; now < kStart + RequestQuarantine::kRecent * 2; now += Seconds(1)) {
      for (const auto& notice : one.Notices(now))
        other.Apply(notice, now + kNetworkTime);
      for (const auto& notice : other.Notices(now + kNetworkTime))
        one.Apply(notice, now + kNetworkTime * 2);
    }
    CHECK(one.StateOfNotices(now) == NoticeState::kNone);
    CHECK(other.StateOfNotices(now) == NoticeState::kNone);
    one.RemoveExpired(now);
    CHECK(one.empty());
  }
  SUBCASE("a request that was cleared isn't learned of again once forgotten") {
    CHECK(one.OnAnswered("a", kStart + Millis(80)));
    const Time late = kStart + Millis(80) + RequestQuarantine::kRecent;
    RequestQuarantine third;
    tell(one, &third, late - Seconds(1));
    one.RemoveExpired(late);
    CHECK(one.empty());
    CHECK_FALSE(tell(third, &one, late + Seconds(1)));
    CHECK(one.empty());
    CHECK(tell(third, &other, late + Seconds(1)));
    CHECK(other.StateOfNotices(late + Seconds(1)) != NoticeState::kNone);
  }
  SUBCASE("a request that was cleared isn't suspected again by old news") {
    CHECK(one.OnAnswered("a", kStart + Millis(80)));
    RequestQuarantine third;
    CHECK(tell(other, &third, kStart + Millis(85)));
    CHECK(tell(one, &other, kStart + Millis(90)));
    CHECK(other.StandingOf("a", kStart + Millis(90)) ==
          RequestStanding::kClear);
    CHECK_FALSE(tell(third, &other, kStart + Millis(95)));
    CHECK(other.StandingOf("a", kStart + Millis(95)) ==
          RequestStanding::kClear);
  }
}

TEST_CASE("News of a request that is suspected and cleared at once") {
  // Each instance passes each change on to all others.
  constexpr std::size_t kInstances = 5;
  constexpr Duration kNetworkTime = Millis(30);
  std::vector<RequestQuarantine> instances(kInstances);
  std::multimap<Time, std::pair<std::size_t, QuarantineNotice>> on_the_way;
  const auto tell = [&](std::size_t from, Time now) {
    for (const auto& notice : instances[from].Notices(now)) {
      for (std::size_t to = 0; to < kInstances; ++to) {
        if (to != from)
          on_the_way.emplace(now + kNetworkTime, std::make_pair(to, notice));
      }
    }
  };
  int changes = 0;
  const auto deliver_until = [&](Time end) {
    while (!on_the_way.empty() && on_the_way.begin()->first <= end) {
      const Time now = on_the_way.begin()->first;
      const auto [to, notice] = on_the_way.begin()->second;
      on_the_way.erase(on_the_way.begin());
      if (instances[to].Apply(notice, now)) {
        ++changes;
        tell(to, now);
      }
    }
  };
  instances[0].OnCrash("a", kStart, kStart + Millis(1));
  tell(0, kStart + Millis(1));
  instances[0].OnAnswered("a", kStart + Millis(21));
  tell(0, kStart + Millis(21));
  const Time later = kStart + Seconds(3);

  SUBCASE("comes to rest with the answer") {
    deliver_until(later);
    CHECK(changes <= 2 * static_cast<int>(kInstances - 1));
    CHECK(on_the_way.empty());
    for (const auto& instance : instances)
      CHECK(instance.StandingOf("a", later) == RequestStanding::kClear);
  }
  SUBCASE("doesn't hide that it is suspected again") {
    deliver_until(kStart + Millis(500));
    instances[1].OnCrash("a", kStart + Millis(490), kStart + Millis(500));
    tell(1, kStart + Millis(500));
    deliver_until(later);
    CHECK(on_the_way.empty());
    for (const auto& instance : instances)
      CHECK(instance.StandingOf("a", later) == RequestStanding::kSuspected);
  }
  SUBCASE("doesn't clear it where it was found anew without them") {
    RequestQuarantine cut_off;
    cut_off.OnCrash("a", later - Millis(10), later);
    deliver_until(later);
    for (const auto& notice : instances[0].Notices(later))
      CHECK_FALSE(cut_off.Apply(notice, later + kNetworkTime));
    for (const auto& notice : cut_off.Notices(later))
      CHECK(instances[0].Apply(notice, later + kNetworkTime));
    CHECK(instances[0].StandingOf("a", later + kNetworkTime) ==
          RequestStanding::kSuspected);
    for (const auto& notice : instances[0].Notices(later + kNetworkTime))
      cut_off.Apply(notice, later + kNetworkTime * 2);
    CHECK(cut_off.StandingOf("a", later + kNetworkTime * 2) ==
          RequestStanding::kSuspected);
  }
  SUBCASE("that comes from older builds is ordered by its age") {
    deliver_until(later);
    QuarantineNotice notice{"a",        RequestStanding::kSuspected,
                            Seconds(3), Seconds(0),
                            0,          std::nullopt};
    CHECK_FALSE(instances[1].Apply(notice, later));
    notice.age = Millis(100);
    CHECK(instances[1].Apply(notice, later));
    CHECK(instances[1].StandingOf("a", later) == RequestStanding::kSuspected);
    notice.standing = RequestStanding::kClear;
    notice.age = Millis(50);
    CHECK(instances[1].Apply(notice, later));
    CHECK(instances[1].StandingOf("a", later) == RequestStanding::kClear);
  }
  SUBCASE("doesn't end an earlier quarantine later at each instance") {
    deliver_until(later);
    for (const Time sent : {later, later + Millis(20)})
      instances[2].OnCrash("a", sent, sent + Millis(10));
    tell(2, later + Millis(30));
    const Time end = later + Millis(30) + RequestQuarantine::kFirstQuarantine;
    deliver_until(later + Seconds(1));
    for (Time now = later + Seconds(1); now < end; now += Millis(100)) {
      for (std::size_t i = 0; i < kInstances; ++i)
        tell(i, now);
      deliver_until(now + kNetworkTime);
    }
    for (const auto& instance : instances) {
      CHECK(instance.StandingOf("a", end - Millis(100)) ==
            RequestStanding::kQuarantined);
      CHECK(instance.StandingOf("a", end + kNetworkTime * 2) ==
            RequestStanding::kSuspected);
    }
  }
}

TEST_CASE("A flood of requests under which servers crash") {
  RequestQuarantine quarantine;
  const auto quarantine_at = [&quarantine](const char* digest, Time time) {
    CHECK(quarantine.OnCrash(digest, time, time + Millis(1)));
  };
  const Time earlier = kStart - Seconds(6);
  quarantine_at("deadly", earlier);
  quarantine_at("deadly", earlier + Millis(2));
  quarantine_at("deadly", kStart);
  quarantine_at("once", kStart);
  quarantine_at("once", kStart + Millis(2));
  for (int i = 0; i < 5000; ++i) {
    quarantine.OnCrash("flood-" + std::to_string(i), kStart,
                       kStart + Millis(10 + i));
  }
  const Time now = kStart + Seconds(10);

  SUBCASE("removes no request that is quarantined") {
    CHECK(quarantine.StandingOf("deadly", now) ==
          RequestStanding::kQuarantined);
  }
  SUBCASE("removes no request that was quarantined") {
    CHECK(quarantine.StandingOf("once", now) == RequestStanding::kSuspected);
  }
  SUBCASE("is told of in bounded messages") {
    CHECK(quarantine.Notices(now).size() == RequestQuarantine::kMaxNotices);
  }
}

TEST_CASE("The digest of a request") {
  RequestMessage message;
  message.request_id = "1";
  message.method = "GET";
  message.host = "shop.example";
  message.target = "/a/b";
  message.headers = {{"Authorization", "one"}, {"Traceparent", "x"}};
  const std::string digest = detail::DigestOf(message);
  RequestMessage again = message;

  SUBCASE("is the same when it comes again") {
    again.request_id = "2";
    again.host = "SHOP.example";
    again.headers[1].value = "y";
    CHECK(detail::DigestOf(again) == digest);
  }
  SUBCASE("differs for another path, body or caller") {
    again.target = "/a/c";
    CHECK(detail::DigestOf(again) != digest);
    again = message;
    again.body = "x";
    CHECK(detail::DigestOf(again) != digest);
    again = message;
    again.headers[0].value = "two";
    CHECK(detail::DigestOf(again) != digest);
  }
  SUBCASE("differs if the same bytes are divided otherwise") {
    again.method = "GETs";
    again.host = "hop.example";
    CHECK(detail::DigestOf(again) != digest);
  }
}

// One instance of a simulated fleet.
struct Node {
  RequestQuarantine quarantine;
  QuarantineExchange exchange{0};
  Time next = kStart;
  bool cut = false;  // Messages to and from it are lost.
};

// Runs a fleet in which instance 0 finds a request of death. Returns when the
// last instance that isn't cut knows of it.
class ExchangeSimulation {
 public:
  explicit ExchangeSimulation(std::size_t count) : nodes_(count) {
    for (std::size_t i = 0; i < count; ++i) {
      nodes_[i].exchange = QuarantineExchange(i);
      nodes_[i].exchange.SetPeerCount(count - 1);
    }
  }

  Node& node(std::size_t index) { return nodes_[index]; }
  std::size_t messages() const { return messages_; }

  // The instance has tried the request twice, the second time after its first
  // quarantine.
  void Convict(std::size_t index) {
    Node& node = nodes_[index];
    const Time first = now_ - RequestQuarantine::kFirstQuarantine;
    node.quarantine.OnCrash("deadly", first - Millis(4), first - Millis(3));
    node.quarantine.OnCrash("deadly", first - Millis(2), first - Millis(1));
    node.quarantine.OnCrash("deadly", now_, now_ + Millis(2));
    now_ += Millis(2);
    Send(index, node.exchange.OnOwnChange(), NoticeScope::kChanges);
  }

  void Run(Duration duration) {
    const Time end = now_ + duration;
    for (; now_ < end; now_ += kStep) {
      for (std::size_t i = 0; i < nodes_.size(); ++i) {
        Node& node = nodes_[i];
        Time next = kNever;
        Send(i,
             node.exchange.Tick(node.quarantine.StateOfNotices(now_), now_,
                                &next),
             NoticeScope::kAll);
      }
      while (!arrivals_.empty() && arrivals_.begin()->first <= now_) {
        const auto [from, to, scope] = arrivals_.begin()->second;
        arrivals_.erase(arrivals_.begin());
        Tell(from, to, scope);
        if (scope == NoticeScope::kAll)
          Tell(to, from, scope);
      }
    }
  }

  std::size_t CountUnaware() const {
    std::size_t count = 0;
    for (const Node& node : nodes_) {
      count += !node.cut && node.quarantine.StandingOf("deadly", now_) !=
                                RequestStanding::kQuarantined
                   ? 1
                   : 0;
    }
    return count;
  }

 private:
  static constexpr Duration kStep = Millis(10);
  static constexpr Duration kNetworkTime = Millis(30);

  struct Message {
    std::size_t from = 0;
    std::size_t to = 0;
    NoticeScope scope = NoticeScope::kAll;
  };

  void Send(std::size_t from,
            const std::vector<std::size_t>& peers,
            NoticeScope scope) {
    messages_ += peers.size();
    for (const std::size_t peer : peers) {
      const std::size_t to = peer < from ? peer : peer + 1;
      arrivals_.emplace(now_ + kNetworkTime, Message{from, to, scope});
    }
  }

  void Tell(std::size_t from, std::size_t to, NoticeScope scope) {
    if (nodes_[from].cut || nodes_[to].cut)
      return;
    if (scope == NoticeScope::kAll)
      nodes_[to].exchange.OnHeard();
    bool changed = false;
    const RequestQuarantine& teller = nodes_[from].quarantine;
    for (const auto& notice : scope == NoticeScope::kAll
                                  ? teller.Notices(now_)
                                  : teller.NoticesOf({"deadly"}, now_)) {
      changed = nodes_[to].quarantine.Apply(notice, now_) || changed;
    }
    if (changed)
      Send(to, nodes_[to].exchange.OnToldChange(), NoticeScope::kChanges);
  }

  std::vector<Node> nodes_;
  std::multimap<Time, Message> arrivals_;
  std::size_t messages_ = 0;
  Time now_ = kStart;
};

TEST_CASE("A quarantine reaches all instances of a fleet of any size") {
  for (const std::size_t instances : {9U, 76U, 300U, 2600U}) {
    CAPTURE(instances);
    ExchangeSimulation fleet(instances);
    fleet.Run(Seconds(2));
    const std::size_t idle = fleet.messages();
    fleet.node(instances - 1).cut = true;
    fleet.Convict(0);
    // The users' shortest time within which instances count as in touch.
    fleet.Run(Seconds(4));
    CHECK(fleet.CountUnaware() == 0);
    // A starting instance asks three others and is told of nothing else.
    CHECK(idle == instances * QuarantineExchange::kAskedAtStart);
    CHECK(fleet.messages() - idle <= instances * 14 + 64);

    // An instance that was cut off, and one that restarts, learn it as well.
    fleet.node(instances - 1).cut = false;
    Node& restarted = fleet.node(1);
    restarted = Node();
    restarted.exchange.SetPeerCount(instances - 1);
    fleet.Run(Seconds(4));
    CHECK(fleet.CountUnaware() == 0);
  }
}

}  // namespace
}  // namespace limpetrudder
