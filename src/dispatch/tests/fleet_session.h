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

// A simulated server of a session, in virtual time.
struct SessionServer {
  ServerEntry entry;
  Duration work = Millis(20);
  int max_connections = 1000;
  std::size_t max_queued = 1000;    // Refuses requests beyond this.
  double reject_ratio = 0;          // Refuses this fraction of its requests.
  int reject_next = 0;              // Refuses this many of the next requests.
  bool silent = false;              // Accepts requests but never answers.
  bool failing = false;             // Runs requests and answers 500.
  bool resets_connections = false;  // Runs requests and resets the connection.
  // Runs requests, but a refusal that may be another request's arrives first.
  bool sends_foreign_refusals = false;
  bool omits_signature = false;  // Answers 200 without a signature.
  bool reports_leaving = false;  // In all its answers.
  // If set, refuses all requests and asks for this backoff.
  std::optional<Duration> requests_backoff;
  std::optional<double> rate_limit;  // Named in all its answers.
  Time paused_until{};

  int arrivals = 0;
  std::map<std::size_t, int> arrivals_from;  // Keyed by instance.
  int runs = 0;
  int rejections = 0;
  int cancelled = 0;
  int max_running = 0;
  bool crashed = false;  // It refuses connections until it starts again.
  int crashes = 0;
  std::vector<Time> arrival_times;
  Time cold_until{};  // As its health responses say.
  std::map<std::string, int> runs_by_request;
  std::map<std::string, int> arrivals_by_account;  // Empty name: none.
  int arrivals_with_credentials = 0;

  struct Job {
    std::size_t instance = 0;
    AttemptId attempt = 0;
    std::string request_id;
    std::string target;
  };
  std::deque<Job> queue;
  std::set<std::pair<std::size_t, AttemptId>> running;
  // Those that crash the server even if they are cancelled.
  std::set<std::pair<std::size_t, AttemptId>> crashing;
};

// How an instance is separated from all servers.
enum class ServerCut {
  kConnectTimeout,  // Connections can't be opened and time out.
  kHang,            // Nothing is delivered, and no connection times out.
  kRefuse,          // Open connections are reset, new ones refused.
  kRefuseNew,       // Open connections live on, new ones are refused.
  kRefuseMost,      // Likewise, but they are open to a quarter of the servers.
  kReset,           // All connections are reset, new ones once they are open.
};

// The result for a caller that retries after a refusal or a failure.
struct CallerOutcome {
  Time started{};
  int tries = 0;
  int status = 0;         // Of the last try.
  Duration took{0};       // Since the first try.
  Duration last_took{0};  // Since the last try.
  int refusals = 0;
  int late_refusals = 0;  // Took more than a tenth of the latency target.
};

struct SessionAnswer {
  CallReply reply;
  CallRecord record;
  Time at{};
};

// A simulated fleet in virtual time: instances with their engines, and servers
// of shards. The same options give the same session.
class FleetSession {
 public:
  struct Options {
    std::vector<std::string> instances = {"kgn-a"};  // Data centre of each.
    // For each shard, the data centres of its servers.
    std::vector<std::vector<std::string>> shards;
    AllowedRegions allowed_regions;  // Of both routes.
    std::optional<double> warmup_rate;
    std::vector<std::string> single_data_centres;  // Empty: all "kgn-a".
    std::uint64_t seed = 11;
    std::size_t initial_shards = 0;  // In the first routes; 0: all.
    std::uint32_t max_attempts = 2;
    double coverage_floor = 0.89;
    Duration latency_target = Millis(200);
    Duration timeout = Millis(2000);
    Duration cross_region_time = Millis(8);  // Between regions, one way.
    std::uint32_t max_connections = 100;
    RequestKind single_kind = RequestKind::kIdempotent;
    int single_servers = 3;
    RetryBudgetSettings budget{0.2, 1000};
    double cores = 0.25;
    std::vector<double> cores_of;  // Of each instance; empty: `cores`.
    bool servers_report_load = false;
    std::size_t max_queued = 1000;  // At one server.
    int retries = 0;                // Of each caller of RunCallers().
    // The share of these callers that retry at once, three times.
    double impatient_share = 0;
    Duration restart_time = Millis(3300);  // Of a server that crashed.
    // Whether a request that is cancelled while it runs still crashes its
    // server, if it is one that does.
    bool crashes_if_cancelled = false;
    // How long servers run a request of death before they crash; 0: as long as
    // any other.
    Duration deadly_work{0};
    // The share of the requests of death that are answered shortly before the
    // server crashes.
    double answered_before_crash = 0;
    std::optional<QuotaBounds> quota;
    // The share of the messages about suspected requests that are lost, and the
    // most by which the others are delayed, each by another time.
    double exchange_loss = 0;
    Duration exchange_delay{0};
    AccountDirectory accounts;
    bool is_public = false;  // Both routes.
    std::optional<Duration> key_confirmation_bound;
    // Instances of a build that doesn't know calls whose account was checked.
    std::set<std::size_t> old_builds;
  };

  // A request with this target crashes each server that runs it.
  static constexpr char kDeadlySearch[] = "/all/deadly";
  static constexpr char kDeadlySingle[] = "/one/deadly";

  // Returns the options of a small deployment: eight instances in three data
  // centres, and shards with one server in each of two of these.
  static Options SmallFleet(int shards);

  explicit FleetSession(Options options);

  // Sends a request to an instance: for all shards ("/all/") or for one server
  // ("/one/"). Returns its call.
  CallId Search(std::size_t instance = 0) {
    return SendRequest("/all/x", instance);
  }
  CallId Single(std::size_t instance = 0) {
    return SendRequest("/one/x", instance);
  }
  CallId SendRequest(const std::string& target,
                     std::size_t instance,
                     std::optional<std::size_t> caller = std::nullopt,
                     CallerKey key = {});

  // Sends a request with a key, and with a forged name of an account.
  CallId SendWithKey(const std::string& target,
                     const std::string& key,
                     std::size_t instance = 0) {
    return SendRequest(target, instance, std::nullopt,
                       {CallerKeyState::kPresent, key});
  }

  // Sends a request and runs the session until it is answered.
  const SessionAnswer& SearchNow(std::size_t instance = 0);
  const SessionAnswer& SingleNow(std::size_t instance = 0);

  void DisconnectCaller(CallId call);
  void Run(Duration duration);

  // Runs for `duration` with searches at random times, `per_second` on average.
  void RunLoad(double per_second, Duration duration);

  // Likewise, with callers that retry.
  void RunCallers(double per_second, Duration duration);
  const std::vector<CallerOutcome>& callers() const { return callers_; }
  // Number of requests that all servers ran, and of their crashes.
  int runs() const;
  int crashes() const;
  // Times at which servers were sent a request of death, and of all crashes.
  const std::vector<Time>& deadly_arrivals() const { return deadly_arrivals_; }
  const std::vector<Time>& crash_times() const { return crash_times_; }
  // The highest number of shards of which all servers were down at a time.
  std::size_t max_shards_down() const { return max_shards_down_; }

  // Ends the server's process, with all that it runs. It starts again after a
  // while.
  void Crash(SessionServer* server);

  bool answered(CallId call) const { return answers_.count(call) > 0; }
  const SessionAnswer& answer(CallId call) const { return answers_.at(call); }
  const std::map<CallId, SessionAnswer>& answers() const { return answers_; }

  SessionServer& server(std::size_t shard, std::size_t replica);
  SessionServer& single(std::size_t index);
  std::vector<SessionServer*> shard_servers();
  std::size_t instance_count() const { return engines_.size(); }
  DispatchEngine& engine(std::size_t instance) { return *engines_[instance]; }

  // Adds or changes, or removes, a server's entry at all instances.
  void Announce(const ServerEntry& entry);
  void Withdraw(const ServerEntry& entry);
  // Evacuates these data centres and no others, at all instances.
  void Evacuate(const std::set<std::string>& data_centres);
  // Puts new routes into force at all instances that differ from the last ones
  // in their regions.
  void Restrict(std::uint64_t version, AllowedRegions allowed_regions);
  // Returns routes that differ from the last ones in their accounts, which
  // later ones have as well.
  std::shared_ptr<RouteTable> WithAccounts(std::uint64_t version,
                                           AccountDirectory accounts);
  // Puts routes into force at all instances.
  void Announce(const std::shared_ptr<const RouteTable>& routes);
  // Stops an instance: it no longer answers anything, pings included. What is
  // sent to it meanwhile arrives when it runs again.
  void Freeze(std::size_t instance) { frozen_.insert(instance); }
  void Thaw(std::size_t instance);
  // All instances learn that one stops, or that it is gone.
  void AnnounceStop(std::size_t instance);
  void Deregister(std::size_t instance);
  // Separates an instance from all servers, not from callers and instances.
  void CutFromServers(std::size_t instance,
                      ServerCut cut = ServerCut::kConnectTimeout);
  void ReconnectServers(std::size_t instance) { cuts_.erase(instance); }
  // Ends an instance's calls, as at the end of its grace period.
  void GiveUpCalls(std::size_t instance);
  // Replaces an instance by a new process, which knows the routes, servers and
  // instances only. Its calls are lost.
  void Restart(std::size_t instance);

  // Returns routes over `count` shards from `first` on; 0: as many as the first
  // routes have.
  std::shared_ptr<RouteTable> MakeRoutes(std::uint64_t version,
                                         std::size_t first = 0,
                                         std::size_t count = 0) const;
  Time now() const { return now_; }
  int forwards() const { return forwards_; }
  // Data centres of the instances to which bodies were forwarded.
  const std::set<std::string>& forwarded_to() const { return forwarded_to_; }
  int probes() const { return probes_; }
  // Asks for tokens of accounts' limits, between instances.
  int quota_asks() const { return quota_asks_; }
  // Messages between instances about suspected and quarantined requests.
  int exchanges() const { return exchanges_; }
  // Notices in these messages and in the replies.
  std::size_t exchanged_notices() const { return exchanged_notices_; }
  // How often data centres came to be regarded as silent, or were heard again.
  int data_centre_changes() const { return data_centre_changes_; }
  // How often pacing of a server began at any instance.
  int pacing_starts() const { return pacing_starts_; }
  // How often instances lost contact with the servers.
  int contact_losses() const { return contact_losses_; }
  const std::vector<FetchRoutes>& fetches() const { return fetches_; }

 private:
  struct CallState {
    std::size_t instance = 0;
    // Set if another instance sent the call.
    std::size_t from = 0;
    AttemptId from_attempt = 0;
    bool peer = false;
    std::optional<std::size_t> caller;
    Time began{};
  };

  void At(Time time, std::function<void()> event);
  // Likewise, for an event at an instance.
  void AtInstance(Time time, std::size_t instance, std::function<void()> event);
  void RunEngine(std::size_t instance);
  void Execute(std::size_t instance, DispatchAction action);
  void Deliver(std::size_t instance, const SendToServer& attempt);
  // Whether the request needs a new connection to its server; opens it then,
  // unless the instance is cut off.
  bool OpensConnection(std::size_t instance, const SendToServer& attempt);
  void Probe(std::size_t instance, const ProbeHealth& probe);
  void Arrive(std::size_t instance, const SendToServer& attempt);
  void Start(SessionServer* server, SessionServer::Job job);
  void Finish(SessionServer* server, const SessionServer::Job& job);
  void Reply(std::size_t instance, TargetReply reply, Duration network_time);
  void Forward(std::size_t instance, const ForwardCall& forward);
  void Complete(std::size_t instance, CompleteCall done);
  void Exchange(std::size_t instance, const ExchangeQuarantine& exchange);
  void AskForTokens(std::size_t instance, const OutgoingQuotaAsk& ask);
  void Abort(std::size_t instance, AttemptId attempt);
  void SendForCaller(std::size_t caller);
  // Calls `send` at random times, `per_second` on average.
  void Repeat(double per_second,
              Duration duration,
              const std::function<void()>& send);
  void OnCallerAnswered(const CallState& call, const CallReply& reply);
  Duration NetworkTime(const std::string& from, const std::string& to) const;
  std::size_t CountShardsDown() const;
  std::size_t IndexOf(const std::string& instance_name) const;
  void StartEngine(std::size_t instance);
  std::vector<InstanceEntry> ListedInstances() const;
  void AnnounceInstances();
  // Sets what all answers of the server say besides their result.
  void AddNotices(const SessionServer& server, TargetReply* reply) const;

  Options options_;
  Random random_;
  Random exchange_random_;  // Leaves the sequence of `random_` as it is.
  Time now_ = Time(Seconds(1000));
  std::multimap<Time, std::function<void()>> events_;
  std::map<std::string, std::string> regions_;  // By data centre.
  std::shared_ptr<const RouteTable> routes_;    // Announced last.
  std::vector<InstanceEntry> instances_;
  std::set<std::size_t> deregistered_;
  std::vector<std::unique_ptr<DispatchEngine>> engines_;
  std::vector<Time> next_ticks_;
  std::map<std::string, SessionServer> servers_;
  std::map<CallId, CallState> calls_;
  std::map<CallId, SessionAnswer> answers_;
  std::vector<CallerOutcome> callers_;
  std::set<std::size_t> frozen_;
  std::map<std::size_t, std::vector<std::function<void()>>> held_events_;
  std::map<std::size_t, ServerCut> cuts_;
  // Open connections of each instance to each server.
  std::map<std::pair<std::size_t, std::string>, int> connections_;
  std::map<std::size_t, int> restarts_;  // By instance.
  // Pairs of instances with an open connection.
  std::set<std::pair<std::size_t, std::size_t>> connected_;
  std::map<std::pair<std::size_t, AttemptId>, CallId> forwarded_;
  CallId next_call_ = 1;
  int forwards_ = 0;
  std::set<std::string> forwarded_to_;
  int pacing_starts_ = 0;
  int probes_ = 0;
  int contact_losses_ = 0;
  int exchanges_ = 0;
  int quota_asks_ = 0;
  // Who asked, and with which id.
  std::map<std::uint64_t, std::pair<std::size_t, std::uint64_t>> quota_refs_;
  std::uint64_t next_quota_ref_ = 1;
  std::size_t exchanged_notices_ = 0;
  std::size_t max_shards_down_ = 0;
  std::vector<Time> deadly_arrivals_;
  std::vector<Time> crash_times_;
  int data_centre_changes_ = 0;
  std::vector<FetchRoutes> fetches_;
};

}  // namespace limpetrudder

#endif  // DISPATCH_TESTS_FLEET_SESSION_H_
