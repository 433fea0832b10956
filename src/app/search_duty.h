#ifndef APP_SEARCH_DUTY_H_
#define APP_SEARCH_DUTY_H_

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

#include <nlohmann/json.hpp>

#include "app/instance_state.h"
#include "framework/duty_thread.h"
#include "membership/revision_guard.h"
#include "net/http_server.h"
#include "net/peer_client.h"
#include "net/peer_server.h"
#include "net/target_client.h"
#include "query/query_engine.h"

namespace limpetrudder {

// Events that the search duty handles.

struct CallerSearch {
  SearchRequest request;
  std::uint64_t connection = 0;
  Responder respond;
};
struct CallerDisconnected {
  std::uint64_t connection = 0;
};
struct PeerSearchCall {
  PeerSearch search;
  std::function<void(PeerSearchReply)> reply;
};
struct PeerShardsCall {
  PeerSearch search;
  std::function<void(PeerShardsReply)> reply;
};
struct BatchEnded {
  BatchId batch = 0;
  std::optional<PeerShardsReply> reply;
};
struct ForwardEnded {
  QueryId query = 0;
  std::optional<PeerSearchReply> reply;
};
struct ProbeEnded {
  ProbeServer probe;
  std::optional<ServerReport> report;
};
struct ConfigChanged {
  std::shared_ptr<const ConfigInForce> config;
};
struct FleetChanged {
  std::vector<Instance> instances;
};
struct LeavingChanged {
  std::set<std::string> servers;  // All that the platform lists as leaving.
};
struct ExplainRequest {
  std::string request_id;
  Responder respond;
};
struct ServersRequest {
  Responder respond;
};
// Refuses new searches from now on; running ones finish.
struct StopSearches {
  // Called on the duty's thread with the ids of the requests still running.
  std::function<void(std::vector<std::string>)> report;
};

using SearchEvent = std::variant<CallerSearch,
                                 CallerDisconnected,
                                 PeerSearchCall,
                                 PeerShardsCall,
                                 AttemptResult,
                                 BatchEnded,
                                 ForwardEnded,
                                 ProbeEnded,
                                 ConfigChanged,
                                 FleetChanged,
                                 LeavingChanged,
                                 ExplainRequest,
                                 ServersRequest,
                                 StopSearches>;

// Runs the query engine on the search thread: passes events to it and executes
// its actions. Not thread safe; the objects given to the constructor are.
class SearchDuty {
 public:
  using Mailbox = DutyThread<SearchEvent, SearchDuty>;

  // All pointers must outlive this object.
  SearchDuty(QueryEngineSettings settings,
             InstanceState* instance_state,
             TargetClient* targets,
             PeerClient* peers);

  // Sets the mailbox that receives the results of calls to other processes.
  // Call before the thread starts.
  void SetMailbox(Mailbox* mailbox) { mailbox_ = mailbox; }

  void Handle(SearchEvent event, Time now);
  Time Tick(Time now);

 private:
  // Where the answer to a query goes. One of the three callbacks is set.
  struct PendingReply {
    std::string request_id;
    std::uint64_t connection = 0;
    Responder respond;                                  // To a caller.
    std::function<void(PeerSearchReply)> reply_search;  // To a peer.
    std::function<void(PeerShardsReply)> reply_shards;  // To a peer.
    Time received{};
  };

  void On(CallerSearch event, Time now);
  void On(const CallerDisconnected& event, Time now);
  void On(PeerSearchCall event, Time now);
  void On(PeerShardsCall event, Time now);
  void On(const AttemptResult& event, Time now);
  void On(BatchEnded event, Time now);
  void On(ForwardEnded event, Time now);
  void On(const ProbeEnded& event, Time now);
  void On(const ConfigChanged& event, Time now);
  void On(const FleetChanged& event, Time now);
  void On(const LeavingChanged& event, Time now);
  void On(const ExplainRequest& event, Time now);
  void On(const ServersRequest& event, Time now);
  void On(const StopSearches& event, Time now);

  bool MustRefuseWork(Time now);
  void StartSearch(PendingReply pending,
                   SearchRequest request,
                   bool forwarded,
                   Time now);
  void ExecuteActions(Time now);
  void Execute(const SendAttempt& action, Time now);
  void Execute(const CancelAttempt& action, Time now);
  void Execute(const ProbeServer& action, Time now);
  void Execute(SendBatch action, Time now);
  void Execute(ForwardSearch action, Time now);
  void Execute(ReplySearch action, Time now);
  void RecordAnswer(const SearchAnswer& answer,
                    const PendingReply& pending,
                    Time now);
  std::string PeerAddressOf(const std::string& instance) const;
  void RemovePendingReply(QueryId query);

  QueryEngine engine_;
  InstanceState* const instance_state_;
  TargetClient* const targets_;
  PeerClient* const peers_;
  Mailbox* mailbox_ = nullptr;
  RevisionGuard guard_;
  std::map<std::string, std::string> peer_addresses_;  // By instance.
  std::unordered_map<QueryId, PendingReply> pending_replies_;
  std::unordered_multimap<std::uint64_t, QueryId> queries_by_connection_;
  QueryId next_query_ = 1;
};

}  // namespace limpetrudder

#endif  // APP_SEARCH_DUTY_H_
