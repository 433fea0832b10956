#include <doctest/doctest.h>

#include "framework/random.h"
#include "once/key_ledger.h"

namespace limpetrudder {
namespace {

// A key ledger with a clock, which counts the runs and keeps the replies.
class Issuer {
 public:
  explicit Issuer(std::uint64_t incarnation = 1, std::size_t max_entries = 100)
      : ledger({"kingston-1", "10.0.0.1:7000", incarnation, "secret",
                max_entries}) {}

  void Write(const std::string& id,
             const std::string& key,
             const std::string& body = "hold 1",
             const std::string& caller = "till-1") {
    ledger.OnWrite(
        {id, key, caller, "stock", "tier-stand", body, now + Seconds(1)}, now);
    Collect();
  }

  void End(const std::string& key, RunResult result) {
    ledger.OnRunEnded(key, result, 200, "held", now);
    Collect();
  }

  int runs = 0;
  std::map<std::string, WriteOutcome> replies;
  Time now = Time() + Seconds(5000);
  KeyLedger ledger;

 private:
  void Collect() {
    for (auto& action : ledger.TakeActions()) {
      if (auto* reply = std::get_if<ReplyWrite>(&action))
        replies[reply->request_id] = reply->outcome;
      else
        ++runs;
    }
  }
};

TEST_SUITE("promise-5") {
  TEST_CASE("A caller that writes once with a key") {
    Issuer issuer;
    const std::string key = issuer.ledger.IssueKey("till-1", issuer.now);
    issuer.Write("a", key);
    REQUIRE(issuer.runs == 1);

    SUBCASE("and repeats the write while it runs gets one outcome for both") {
      issuer.Write("b", key);
      CHECK(issuer.runs == 1);
      issuer.End(key, RunResult::kReplied);
      CHECK(issuer.replies.at("a").state == WriteState::kDone);
      CHECK(issuer.replies.at("b").server_body == "held");
    }
    SUBCASE("and repeats the write after it is done gets the same outcome") {
      issuer.End(key, RunResult::kReplied);
      issuer.Write("b", key);
      CHECK(issuer.runs == 1);
      CHECK(issuer.replies.at("b").state == WriteState::kDone);
    }
    SUBCASE("and whose reply is lost gets 'unknown', and no second run") {
      issuer.End(key, RunResult::kNoReply);
      CHECK(issuer.replies.at("a").state == WriteState::kUnknown);
      issuer.Write("b", key);
      CHECK(issuer.runs == 1);
      CHECK(issuer.replies.at("b").code == ResultCode::kOutcomeUnknown);
    }
    SUBCASE("and whose write was never sent gets a final 'not run'") {
      issuer.End(key, RunResult::kNeverSent);
      CHECK(issuer.replies.at("a").state == WriteState::kNotRun);
      CHECK(issuer.replies.at("a").final);
      issuer.Write("b", key);
      CHECK(issuer.runs == 1);
    }
    SUBCASE("and uses the key again for another body is refused") {
      issuer.Write("b", key, "hold 2");
      CHECK(issuer.runs == 1);
      CHECK(issuer.replies.at("b").code == ResultCode::kKeyBodyDiffers);
    }
    SUBCASE("keeps its outcome hidden from another caller that uses the key") {
      issuer.End(key, RunResult::kReplied);
      issuer.Write("b", key, "hold 1", "rival");
      CHECK(issuer.replies.at("b").code == ResultCode::kKeyNotIssued);
      CHECK(issuer.replies.at("b").server_body.empty());
      CHECK(issuer.ledger.Outcome(key, "rival", issuer.now).code ==
            ResultCode::kKeyNotIssued);
    }
    SUBCASE("keeps the first result when the end is reported twice") {
      issuer.End(key, RunResult::kReplied);
      issuer.End(key, RunResult::kNoReply);
      CHECK(issuer.ledger.Outcome(key, "till-1", issuer.now).state ==
            WriteState::kDone);
    }
  }

  TEST_CASE("A key ledger doesn't run a key") {
    Issuer issuer;
    const std::string key = issuer.ledger.IssueKey("till-1", issuer.now);

    SUBCASE("that an earlier incarnation of the instance issued") {
      Issuer restarted(2);
      restarted.ledger.IssueKey("till-1", restarted.now);
      restarted.Write("a", key);
      CHECK(restarted.runs == 0);
      CHECK(restarted.replies.at("a").state == WriteState::kUnknown);
    }
    SUBCASE("that has expired") {
      issuer.now += KeyLedger::kKeyLifetime;
      issuer.Write("a", key);
      CHECK(issuer.runs == 0);
      CHECK(issuer.replies.at("a").code == ResultCode::kKeyExpired);
    }
    SUBCASE("that was never issued") {
      issuer.Write("a",
                   "kingston-1~10.0.0.1:7000~1~99~5000000~0123456789abcdef");
      CHECK(issuer.runs == 0);
      CHECK(issuer.replies.at("a").code == ResultCode::kKeyNotIssued);
    }
    SUBCASE("for another caller than the one that it was issued to") {
      issuer.Write("a", key, "hold 1", "rival");
      CHECK(issuer.runs == 0);
      issuer.Write("b", key);
      CHECK(issuer.runs == 1);
    }
    SUBCASE("that is malformed") {
      issuer.Write("a", "~~~~~~");
      issuer.Write("b", std::string(100000, 'x'));
      CHECK(issuer.runs == 0);
      CHECK(issuer.replies.at("b").code == ResultCode::kKeyMalformed);
    }
    SUBCASE("that was cancelled before it ran") {
      CHECK(issuer.ledger.Cancel(key, "till-1", issuer.now).final);
      issuer.Write("a", key);
      CHECK(issuer.runs == 0);
      CHECK(issuer.replies.at("a").state == WriteState::kNotRun);
    }
    SUBCASE("that arrives after its deadline") {
      issuer.ledger.OnWrite({"a", key, "till-1", "stock", "r", "b", issuer.now},
                            issuer.now);
      const auto actions = issuer.ledger.TakeActions();
      REQUIRE(actions.size() == 1);
      CHECK(std::get<ReplyWrite>(actions[0]).outcome.code ==
            ResultCode::kDeadlinePassed);
    }
    SUBCASE("after a freeze between the first check and the send") {
      WriteRequest request{
          "a", key, "till-1", "stock", "r", "b", issuer.now + Seconds(1)};
      CHECK(KeyLedger::MayStillRun(request, issuer.now));
      CHECK_FALSE(KeyLedger::MayStillRun(request, issuer.now + Seconds(20)));
    }
  }

  TEST_CASE(
      "No key runs twice, in any order of requests, ends, cancellations and "
      "expiries") {
    for (std::uint64_t seed = 1; seed <= 500; ++seed) {
      CAPTURE(seed);
      Random random(seed);
      Issuer issuer;
      std::vector<std::string> keys;
      for (int i = 0; i < 4; ++i)
        keys.push_back(issuer.ledger.IssueKey("till-1", issuer.now));
      std::map<std::string, int> runs;
      for (int step = 0; step < 80; ++step) {
        const std::string& key = keys[random.Below(keys.size())];
        switch (random.Below(5)) {
          case 0:
          case 1: {
            const int before = issuer.runs;
            issuer.Write(std::to_string(step), key);
            runs[key] += issuer.runs - before;
            break;
          }
          case 2:
            issuer.End(key, static_cast<RunResult>(random.Below(3)));
            break;
          case 3:
            issuer.ledger.Cancel(key, "till-1", issuer.now);
            break;
          case 4:
            issuer.now += Seconds(static_cast<std::int64_t>(random.Below(60)));
            issuer.ledger.RemoveExpired(issuer.now);
            break;
        }
        for (const auto& [name, count] : runs)
          REQUIRE(count <= 1);
      }
    }
  }
}

TEST_SUITE("promise-4") {
  TEST_CASE(
      "A full key ledger refuses new keys and keeps those that still run") {
    Issuer issuer(1, 2);
    for (const char* id : {"a", "b", "c"})
      issuer.Write(id, issuer.ledger.IssueKey("till-1", issuer.now));
    CHECK(issuer.runs == 2);
    CHECK(issuer.replies.at("c").code == ResultCode::kLedgerFull);
    CHECK(issuer.replies.at("c").state == WriteState::kNotRun);
    CHECK(issuer.replies.at("c").retry_after > Duration(0));
    issuer.End("x", RunResult::kNoReply);
    issuer.now += KeyLedger::kKeyLifetime * 2;
    issuer.ledger.RemoveExpired(issuer.now);
    CHECK(issuer.ledger.size() == 2);
  }
}

}  // namespace
}  // namespace limpetrudder
