#ifndef QUERY_QUERY_ENGINE_H_
#define QUERY_QUERY_ENGINE_H_

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "config/config_types.h"
#include "query/internal/collection_runner.h"
#include "query/query_types.h"
#include "routing/coordinator_plan.h"

namespace limpetrudder {

struct QueryEngineSettings {
  std::string instance;
  std::string data_centre;
  std::uint64_t seed = 0;
};

// The outcome of a search forwarded to another instance.
enum class ForwardOutcome {
  kAnswered,  // The engine's owner has sent the answer to the caller.
  kNotRun,    // The other instance refused the search.
  kFailed,    // No reply arrived; the search may have run.
};

// The state of one server as shown to operators.
struct ServerView {
  std::string collection;
  std::string server;
  ServerAvailability availability = ServerAvailability::kServing;
  std::uint32_t in_flight = 0;
  std::uint32_t limit = 0;
  std::vector<Snapshot> held;
};

// Answers searches over collections. Decides where a search runs, which server
// each sub-query is sent to, which sub-queries are hedged, retried, queued,
// refused or given up, and which snapshot the answer comes from.
//
// Reads no clock and does no I/O: the caller passes the time with each event
// and fetches the resulting actions with TakeActions(). The same events, times
// and seed give the same actions. Not thread safe.
class QueryEngine {
 public:
  explicit QueryEngine(QueryEngineSettings settings);

  QueryEngine(const QueryEngine&) = delete;
  QueryEngine& operator=(const QueryEngine&) = delete;

  // Applies a new configuration. Running searches keep the shard map that they
  // started with.
  void OnConfig(std::shared_ptr<const ConfigInForce> config, Time now);

  // Sets the live instances of all data centres, including this instance.
  void OnInstances(std::vector<Instance> instances, Time now);

  // Sets the servers of this data centre that the platform lists as leaving.
  void OnListedLeaving(std::set<std::string> servers, Time now);

  // Starts a search from a caller or, if `forwarded`, from another instance. A
  // forwarded search is never forwarded again. Precondition: `query` is not in
  // use.
  void OnSearch(QueryId query, SearchRequest request, bool forwarded, Time now);

  // Cancels the work for `query` because its caller has disconnected. No reply
  // follows.
  void OnCallerLeft(QueryId query, Time now);

  // Results of SendAttempt, SendBatch, ForwardSearch and ProbeServer actions.
  void OnAttempt(const AttemptResult& result, Time now);
  void OnBatch(BatchId batch, std::vector<ShardAnswer> answers, Time now);
  void OnForward(QueryId query, ForwardOutcome outcome, Time now);
  void OnProbe(const std::string& collection,
               const std::string& server,
               const std::optional<ServerReport>& report,
               Time now);

  // Refuses new searches from now on. Running searches are completed.
  void Stop() { stopping_ = true; }
  bool idle() const;

  // Runs the timers and probes that are due. Returns the time of the next call.
  Time Tick(Time now);

  // Returns the pending actions and clears them.
  std::vector<QueryAction> TakeActions();

  // Returns the decisions recorded for a recent request, or null if none are
  // kept.
  const std::vector<Decision>* Explain(std::string_view request_id) const {
    return archive_.Find(request_id);
  }

  std::vector<ServerView> Servers() const;

  // Returns the maximum number of connections from this instance to one server.
  std::uint32_t ConnectionLimit() const;

  // Returns the names of this data centre's coordinators for `collection`.
  std::vector<std::string> CoordinatorsOf(std::string_view collection) const;

 private:
  using Runner = std::variant<
      std::unique_ptr<detail::CollectionRunner<detail::AdaptiveStrategy>>,
      std::unique_ptr<detail::CollectionRunner<detail::BaselineStrategy>>>;

  struct RunnerSlot {
    Runner runner;
    Strategy strategy = Strategy::kAdaptive;
    bool retired = false;  // Removed once its running queries are complete.
  };

  struct Forward {
    SearchRequest request;
    std::uint32_t tries = 0;
    bool may_have_run = false;
    detail::DecisionLog decision_log;
  };

  RunnerSlot* FindOrAddRunner(const std::string& collection);
  RunnerSlot* RunnerOfId(std::uint64_t id);
  Runner MakeRunner(std::shared_ptr<const Collection> collection,
                    CoordinatorPlan plan);
  void ReconfigureRunners();
  CoordinatorPlan PlanFor(const CoordinatorList& coordinators) const;
  bool IsCoordinator(const CoordinatorList& coordinators) const;
  CoordinatorList CoordinatorsIn(const Collection& collection,
                                 const std::string& data_centre) const;
  std::vector<detail::RemoteCoordinators> RemoteCoordinatorsOf(
      const Collection& collection) const;
  void ForwardNext(QueryId query, Time now);
  void Refuse(QueryId query,
              const SearchRequest& request,
              ResultCode code,
              Execution execution);

  QueryEngineSettings settings_;
  Random random_;
  std::shared_ptr<const ConfigInForce> config_;
  std::vector<Instance> instances_;
  std::set<std::string> listed_leaving_;
  std::vector<QueryAction> actions_;
  detail::DecisionArchive archive_;
  std::map<std::string, std::uint64_t> runner_numbers_;
  std::map<std::uint64_t, RunnerSlot> runners_;  // By number.
  std::map<QueryId, std::uint64_t> query_runner_;
  std::map<QueryId, Forward> forwards_;
  std::uint64_t next_runner_ = 1;
  bool stopping_ = false;
};

}  // namespace limpetrudder

#endif  // QUERY_QUERY_ENGINE_H_
