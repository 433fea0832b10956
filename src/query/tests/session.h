#ifndef QUERY_TESTS_SESSION_H_
#define QUERY_TESTS_SESSION_H_

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "query/query_engine.h"

namespace limpetrudder {

// How a fake server answers. Changed by tests at any moment.
struct FakeServer {
  Duration service = Millis(10);
  int slots = 2;
  bool dead = false;              // Refuses connections.
  bool silent = false;            // Accepts, and never answers.
  bool silent_if_reused = false;  // Only fresh connections carry anything.
  bool draining = false;
  bool shedding = false;
  bool crossed = false;
  bool failing = false;
  std::vector<Snapshot> held{{1, 3}};

  int requests = 0;  // That reached it.
  int finished = 0;
  int cancelled = 0;
  int most_in_flight = 0;

  // Not for tests.
  int running = 0;
  std::deque<std::function<void()>> waiting;
};

struct SessionOptions {
  int shards = 3;
  int servers_per_shard = 2;
  int instances = 1;
  std::string policy = "coverage_first";
  std::string strategy = "adaptive";
  double extra_load_percent = 3;
  std::uint64_t seed = 1;
};

// Drives one query engine in virtual time against fake servers, and writes down
// what it is asked and what it does. The same options and calls give the same
// transcript.
class Session {
 public:
  explicit Session(const SessionOptions& options);

  FakeServer& server(int shard, int replica);
  QueryEngine& engine() { return *engine_; }
  Time now() const { return now_; }

  // Begins a search now and returns its id.
  QueryId Search(CallerClass caller_class = CallerClass::kBrowse,
                 Duration deadline = Millis(290));
  QueryId SearchAs(SearchRequest request, bool forwarded = false);

  // Lets virtual time pass.
  void Run(Duration duration);

  // Searches once and waits for the answer.
  SearchAnswer Ask(CallerClass caller_class = CallerClass::kBrowse,
                   Duration deadline = Millis(290));

  // Lets the engine learn from `count` searches, one each `interval`.
  void WarmUp(int count = 60, Duration interval = Millis(60));

  bool HasAnswer(QueryId query) const { return answers_.count(query) > 0; }
  const SearchAnswer& answer(QueryId query) const { return answers_.at(query); }

  // Brings a changed document into force.
  void Reconfigure(const std::function<void(Collection*)>& change);

  void Note(const std::string& text);
  const std::string& transcript() const { return transcript_; }

  // Actions of the engine that the session doesn't answer itself.
  std::vector<SendBatch> asked;
  std::vector<ForwardSearch> forwarded;
  std::uint64_t sent = 0;  // Attempts in all.
  int silenced = 0;        // Connections given up.

 private:
  void Schedule(Duration delay, std::function<void()> action);
  void CarryOut();
  void Carry(const SendAttempt& action);
  void Carry(const CancelAttempt& action);
  void Carry(const ProbeServer& action);
  void Carry(const SendBatch& action);
  void Carry(const ForwardSearch& action);
  void Carry(const ReplySearch& action);
  void StartWork(FakeServer* server, const SendAttempt& action);
  void Settle(const SendAttempt& action, ResultCode code);
  AttemptResult Refusal(const SendAttempt& action, ResultCode code);
  void Write(const std::string& line);

  std::unique_ptr<QueryEngine> engine_;
  std::shared_ptr<const Collection> collection_;
  std::map<std::string, FakeServer> servers_;
  std::map<AttemptId, SendAttempt> live_;
  std::set<AttemptId> swallowed_;  // Sent over a silent connection.
  std::multimap<Time, std::function<void()>> events_;
  std::map<QueryId, SearchAnswer> answers_;
  std::uint64_t revision_ = 0;
  QueryId next_query_ = 1;
  Time now_ = Time() + Seconds(1000);
  std::string transcript_;
};

}  // namespace limpetrudder

#endif  // QUERY_TESTS_SESSION_H_
