#ifndef DISPATCH_TESTS_FLEET_SESSION_H_
#define DISPATCH_TESTS_FLEET_SESSION_H_

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "dispatch/dispatch_engine.h"
#include "framework/random.h"

namespace limpetrudder {

// One server of a session, in virtual time.
struct SessionServer {
  ServerEntry entry;
  Duration work = Millis(20);
  int most_connections = 1000;
  std::size_t most_waiting = 1000;  // Beyond them it refuses.
  double reject_ratio = 0;          // Refuses so many of its requests.
  int reject_next = 0;              // Refuses these of the next ones.
  bool silent = false;              // Takes requests and answers nothing.
  bool failing = false;             // Runs requests and answers 500.
  bool resetting = false;           // Runs requests and resets the connection.
  bool without_signature = false;   // Answers 200 without a signature.
  bool says_leaving = false;        // In all its answers.
  // Turns all requests away and asks for so much time.
  std::optional<Duration> asks_backoff;
  Time paused_until{};

  int arrivals = 0;
  std::map<std::size_t, int> arrivals_from;  // By instance.
  int runs = 0;
  int rejections = 0;
  int cancelled = 0;
  int most_running = 0;
  std::map<std::string, int> runs_by_request;

  struct Job {
    std::size_t instance = 0;
    SendId send = 0;
    std::string request_id;
  };
  std::deque<Job> queue;
  std::set<std::pair<std::size_t, SendId>> running;
};

// What a caller got who asks again, as told, after a refusal or a failure.
struct CallerOutcome {
  Time asked{};
  int attempts = 0;
  int status = 0;
  Duration took{0};       // Since it asked first.
  Duration last_took{0};  // Since it asked last.
  int refusals = 0;
  int late_refusals = 0;  // That took more than a tenth of the latency target.
};

struct SessionAnswer {
  CallReply reply;
  CallRecord record;
  Time at{};
};

// Instances with their engines, and servers of shards, in virtual time: the
// same options give the same session.
class FleetSession {
 public:
  struct Options {
    std::vector<std::string> instances = {"kgn-a"};  // Data centre of each.
    std::vector<std::vector<std::string>> shards;    // Data centres of servers.
    std::size_t first_shards = 0;  // Named by the first routes; 0: all.
    std::uint32_t max_attempts = 2;
    double coverage_floor = 0.89;
    Duration latency_target = Millis(200);
    Duration timeout = Millis(2000);
    Duration far_way = Millis(8);  // Between regions, one way.
    std::uint32_t max_connections = 100;
    RequestKind single_kind = RequestKind::kIdempotent;
    int single_servers = 3;
    RetryBudgetSettings budget{0.2, 1000};
    double cores = 0.25;
    std::vector<double> cores_of;  // Of each instance; empty: `cores`.
    bool servers_tell_load = false;
    std::size_t most_waiting = 1000;  // At one server.
    int returns = 0;                  // How often each of Callers() asks again.
    double pressing = 0;  // Part of them that asks again at once, three times.
  };

  explicit FleetSession(Options options);

  // Asks all shards, or one server ("/one/"), at an instance. Returns the call.
  CallId Search(std::size_t instance = 0) { return Ask("/all/x", instance); }
  CallId Single(std::size_t instance = 0) { return Ask("/one/x", instance); }
  CallId Ask(const std::string& target,
             std::size_t instance,
             std::optional<std::size_t> caller = std::nullopt);

  // Searches and runs until the answer is there.
  const SessionAnswer& SearchNow(std::size_t instance = 0);
  const SessionAnswer& SingleNow(std::size_t instance = 0);

  void LeaveCaller(CallId call);
  void Run(Duration duration);

  // Has the session's random callers ask `per_second` searches for `duration`.
  void Load(double per_second, Duration duration);

  // Likewise, with callers that come back.
  void Callers(double per_second, Duration duration);
  const std::vector<CallerOutcome>& callers() const { return callers_; }
  // Parts that servers ran, for whomever.
  int runs() const;

  bool answered(CallId call) const { return answers_.count(call) > 0; }
  const SessionAnswer& answer(CallId call) const { return answers_.at(call); }
  const std::map<CallId, SessionAnswer>& answers() const { return answers_; }

  SessionServer& server(std::size_t shard, std::size_t replica);
  SessionServer& single(std::size_t index);
  std::vector<SessionServer*> shard_servers();
  DispatchEngine& engine(std::size_t instance) { return *engines_[instance]; }

  // The servers' entries change for all instances.
  void Announce(const ServerEntry& entry);
  void Withdraw(const ServerEntry& entry);
  void Announce(const std::shared_ptr<const RouteTable>& routes);
  // An instance answers nothing any more, also to pings.
  void Freeze(std::size_t instance) { frozen_.insert(instance); }

  // Routes that name `count` shards from `first` on; 0: as the first routes do.
  std::shared_ptr<RouteTable> MakeRoutes(std::uint64_t version,
                                         std::size_t first = 0,
                                         std::size_t count = 0) const;
  Time now() const { return now_; }
  int forwards() const { return forwards_; }
  int probes() const { return probes_; }
  int paced() const { return paced_; }  // How often a pace started.
  const std::vector<FetchRoutes>& fetches() const { return fetches_; }

 private:
  struct CallState {
    std::size_t instance = 0;
    // Set if another instance asked.
    std::size_t from = 0;
    SendId from_send = 0;
    bool peer = false;
    std::optional<std::size_t> caller;
    Time began{};
  };

  void At(Time time, std::function<void()> event);
  void Pump(std::size_t instance);
  void Carry(std::size_t instance, DispatchAction action);
  void Deliver(std::size_t instance, const SendToServer& send);
  void Arrive(std::size_t instance, const SendToServer& send);
  void Start(SessionServer* server, SessionServer::Job job);
  void Finish(SessionServer* server, const SessionServer::Job& job);
  void Reply(std::size_t instance, TargetReply reply, Duration way);
  void Forward(std::size_t instance, const ForwardCall& forward);
  void Complete(std::size_t instance, CompleteCall done);
  void CancelAt(std::size_t instance, SendId send);
  void AskFor(std::size_t caller);
  // Calls `ask` at random times, `per_second` in the mean.
  void Repeat(double per_second,
              Duration duration,
              const std::function<void()>& ask);
  void OnCallerAnswered(const CallState& call, const CallReply& reply);
  Duration Way(const std::string& from, const std::string& to) const;
  std::size_t IndexOf(const std::string& instance_name) const;

  Options options_;
  Random random_{11};
  Time now_ = Time(Seconds(1000));
  std::multimap<Time, std::function<void()>> events_;
  std::vector<InstanceEntry> instances_;
  std::vector<std::unique_ptr<DispatchEngine>> engines_;
  std::vector<Time> turns_;
  std::map<std::string, SessionServer> servers_;
  std::map<CallId, CallState> calls_;
  std::map<CallId, SessionAnswer> answers_;
  std::vector<CallerOutcome> callers_;
  std::set<std::size_t> frozen_;
  std::set<std::pair<std::size_t, std::size_t>> connected_;  // Instances.
  std::map<std::pair<std::size_t, SendId>, CallId> forwarded_;
  CallId next_call_ = 1;
  int forwards_ = 0;
  int paced_ = 0;
  int probes_ = 0;
  std::vector<FetchRoutes> fetches_;
};

}  // namespace limpetrudder

#endif  // DISPATCH_TESTS_FLEET_SESSION_H_
