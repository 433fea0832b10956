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

// Behaviour and counters of a fake server. Tests may change the behaviour at
// any time.
struct FakeServer {
  Duration service = Millis(10);
  int slots = 2;                  // Requests that run at the same time.
  bool dead = false;              // Refuses connections.
  bool silent = false;            // Accepts connections but never answers.
  bool silent_if_reused = false;  // Answers on new connections only.
  bool draining = false;
  bool shedding = false;
  bool crossed = false;  // Its answers belong to other requests.
  bool failing = false;
  std::vector<Snapshot> held{{1, 3}};

  int requests = 0;  // Requests that reached the server.
  int finished = 0;
  int cancelled = 0;
  int max_in_flight = 0;

  // Internal state of Session. Tests must not use it.
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

// Drives one query engine in virtual time against fake servers. Records the
// searches and the actions of the engine in a transcript, which is the same for
// the same options and calls.
class Session {
 public:
  explicit Session(const SessionOptions& options);

  FakeServer& server(int shard, int replica);
  QueryEngine& engine() { return *engine_; }
  Time now() const { return now_; }

  // Starts a search and returns its id. `deadline` counts from now.
  QueryId Search(CallerClass caller_class = CallerClass::kBrowse,
                 Duration deadline = Millis(290));
  QueryId SearchAs(SearchRequest request, bool forwarded = false);

  // Advances virtual time by `duration` and processes all events due.
  void Run(Duration duration);

  // Starts a search, runs until just after its deadline and returns the answer.
  SearchAnswer Ask(CallerClass caller_class = CallerClass::kBrowse,
                   Duration deadline = Millis(290));

  // Runs `count` searches, one per `interval`, so that the engine has latency
  // data. Clears the transcript.
  void WarmUp(int count = 60, Duration interval = Millis(60));

  bool HasAnswer(QueryId query) const { return answers_.count(query) > 0; }
  const SearchAnswer& answer(QueryId query) const { return answers_.at(query); }

  // Applies `change` to the collection and passes the result to the engine as a
  // new configuration revision.
  void Reconfigure(const std::function<void(Collection*)>& change);

  // Adds a comment line to the transcript.
  void Note(const std::string& text);
  const std::string& transcript() const { return transcript_; }

  // Actions of the engine that the session records but doesn't answer.
  std::vector<SendBatch> asked;
  std::vector<ForwardSearch> forwarded;
  std::uint64_t sent = 0;      // Total attempts.
  int closed_connections = 0;  // Connections that the engine closed.

 private:
  void Schedule(Duration delay, std::function<void()> action);
  void ExecuteActions();
  void Execute(const SendAttempt& action);
  void Execute(const CancelAttempt& action);
  void Execute(const ProbeServer& action);
  void Execute(const SendBatch& action);
  void Execute(const ForwardSearch& action);
  void Execute(const ReplySearch& action);
  void StartWork(FakeServer* server, const SendAttempt& action);
  void CompleteAttempt(const SendAttempt& action, ResultCode code);
  AttemptResult MakeResult(const SendAttempt& action, ResultCode code);
  void WriteLine(const std::string& line);

  std::unique_ptr<QueryEngine> engine_;
  std::shared_ptr<const Collection> collection_;
  std::map<std::string, FakeServer> servers_;
  std::map<AttemptId, SendAttempt> live_attempts_;
  std::set<AttemptId> unanswered_;  // Sent on a silent connection.
  std::multimap<Time, std::function<void()>> events_;
  std::map<QueryId, SearchAnswer> answers_;
  std::uint64_t revision_ = 0;
  QueryId next_query_ = 1;
  Time now_ = Time() + Seconds(1000);
  std::string transcript_;
};

}  // namespace limpetrudder

#endif  // QUERY_TESTS_SESSION_H_
