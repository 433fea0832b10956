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

// Events of the search duty.

struct CallerSearch {
  SearchRequest request;
  std::uint64_t connection = 0;
  Responder respond;
};
struct CallerClosed {
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
  std::set<std::string> servers;  // Listed by the platform.
};
struct ExplainQuestion {
  std::string request_id;
  Responder respond;
};
struct ServersQuestion {
  Responder respond;
};
struct StopSearches {
  // Called on the duty's thread with the request ids that are still running.
  std::function<void(std::vector<std::string>)> report;
};

using SearchEvent = std::variant<CallerSearch,
                                 CallerClosed,
                                 PeerSearchCall,
                                 PeerShardsCall,
                                 AttemptResult,
                                 BatchEnded,
                                 ForwardEnded,
                                 ProbeEnded,
                                 ConfigChanged,
                                 FleetChanged,
                                 LeavingChanged,
                                 ExplainQuestion,
                                 ServersQuestion,
                                 StopSearches>;

// Runs the query engine on the search thread: feeds it events and carries out
// its actions. Not thread safe, except for the constructor's arguments.
class SearchDuty {
 public:
  using Mailbox = DutyThread<SearchEvent, SearchDuty>;

  // All pointers must outlive this object.
  SearchDuty(QueryEngineSettings settings,
             InstanceState* front,
             TargetClient* targets,
             PeerClient* peers);

  // The mailbox through which results come back. Call before the thread runs.
  void SetMailbox(Mailbox* mailbox) { mailbox_ = mailbox; }

  void Handle(SearchEvent event, Time now);
  Time Turn(Time now);

 private:
  // Who waits for the answer to a query.
  struct Waiter {
    std::string request_id;
    std::uint64_t connection = 0;
    Responder respond;                                  // A caller, or
    std::function<void(PeerSearchReply)> reply_search;  // a peer, or
    std::function<void(PeerShardsReply)> reply_shards;  // another one.
    Time received{};
  };

  void On(CallerSearch event, Time now);
  void On(const CallerClosed& event, Time now);
  void On(PeerSearchCall event, Time now);
  void On(PeerShardsCall event, Time now);
  void On(const AttemptResult& event, Time now);
  void On(BatchEnded event, Time now);
  void On(ForwardEnded event, Time now);
  void On(const ProbeEnded& event, Time now);
  void On(const ConfigChanged& event, Time now);
  void On(const FleetChanged& event, Time now);
  void On(const LeavingChanged& event, Time now);
  void On(const ExplainQuestion& event, Time now);
  void On(const ServersQuestion& event, Time now);
  void On(const StopSearches& event, Time now);

  bool RefusesWork(Time now);
  void Begin(Waiter waiter, SearchRequest request, bool forwarded, Time now);
  void CarryOut(Time now);
  void Carry(const SendAttempt& action, Time now);
  void Carry(const CancelAttempt& action, Time now);
  void Carry(const ProbeServer& action, Time now);
  void Carry(AskDataCentre action, Time now);
  void Carry(ForwardSearch action, Time now);
  void Carry(ReplySearch action, Time now);
  void Count(const SearchAnswer& answer, const Waiter& waiter, Time now);
  std::string AddressOf(const std::string& instance) const;
  void Forget(QueryId query);

  QueryEngine engine_;
  InstanceState* const front_;
  TargetClient* const targets_;
  PeerClient* const peers_;
  Mailbox* mailbox_ = nullptr;
  RevisionGuard guard_;
  std::map<std::string, std::string> addresses_;  // Peer address by instance.
  std::unordered_map<QueryId, Waiter> waiters_;
  std::unordered_multimap<std::uint64_t, QueryId> by_connection_;
  QueryId next_query_ = 1;
};

}  // namespace limpetrudder

#endif  // APP_SEARCH_DUTY_H_
