#ifndef ROUTING_SERVER_STATE_H_
#define ROUTING_SERVER_STATE_H_

#include <cstdint>
#include <string>
#include <vector>

#include "config/config_types.h"
#include "framework/enum_names.h"
#include "framework/random.h"
#include "framework/time.h"
#include "limits/concurrency_limit.h"
#include "routing/snapshot.h"

namespace limpetrudder {

// Whether a server may take new work, as this instance sees it.
enum class ServerStanding {
  kServing,
  kSuspect,      // Slow to answer or failing; tried again after a pause.
  kUnreachable,  // No connection can be opened, or fresh ones are silent.
  kLeaving,      // Draining: takes nothing new until it says it serves again.
};

inline constexpr EnumNames<ServerStanding, 4> kServerStandingNames{{
    {ServerStanding::kServing, "serving"},
    {ServerStanding::kSuspect, "suspect"},
    {ServerStanding::kUnreachable, "unreachable"},
    {ServerStanding::kLeaving, "leaving"},
}};

// What a server said of itself in a health report or beside an answer.
struct ServerReport {
  bool draining = false;
  std::vector<Snapshot> held;
};

// What one instance knows of one server from its own requests: work in flight,
// latency, the limit that it keeps to, and whether to send at all. Reported
// load isn't used, since it lags or misleads. Not thread safe.
class ServerState {
 public:
  // `homes` instances share the server; `connections` of its connections are
  // for this one.
  ServerState(Server info,
              std::uint32_t coordinators,
              std::uint32_t connections);

  // Takes a new entry of the configuration or a new division of connections.
  void Reconfigure(const Server& info,
                   std::uint32_t coordinators,
                   std::uint32_t connections);

  // Whether the platform lists the server as leaving.
  void SetListedLeaving(bool leaving);

  // Whether new work may be sent at all, and whether there is room for it now.
  bool MayTakeWork(Time now) const;
  bool HasRoom(Time now) const;

  // Whether the next request must open a connection of its own, because the
  // last one went silent.
  bool NeedsFreshConnection() const { return silent_streak_ > 0; }

  // Estimates when a request sent now is answered. `typical` is the latency of
  // the server's peers; it stands in before the first answer.
  Duration ExpectedLatency(Duration typical) const;

  // Estimates when a request is answered that waits for room behind `ahead`
  // others.
  Duration ExpectedLatencyAfterWait(Duration typical, std::size_t ahead) const;

  // Requests that it answers per microsecond, by its limit and latency.
  double Rate(Duration typical) const;

  // Whether the latency is known from long ago only, so that a spare request
  // should find out what it is now.
  bool IsLatencyStale(Time now) const;

  void OnSent();
  // The request left the server, however it ended. Call before the others.
  void OnSettled();
  void OnAnswer(Duration latency, Time now);
  // A request was cancelled, or given up, after `elapsed` without an answer;
  // its latency would have been longer.
  void OnUnfinished(Duration elapsed, Time now);
  void OnShed(Duration retry_after, Time now, Random* random);
  void OnFailure(Time now, Random* random);
  void OnUnreachable(Time now, Random* random);
  // A connection carries no byte so far; the next request opens its own.
  void OnDoubt() { ++silent_streak_; }
  // A connection carried no byte in time. The server is blamed only if the
  // connection was opened for the request (`fresh`) and nothing was heard over
  // others either since the request was sent.
  void OnSilence(bool fresh, Time sent, Time now, Random* random);
  void OnReport(const ServerReport& report, Time now);
  // A health probe failed.
  void OnProbeFailed(Time now, Random* random);

  // Whether a health probe is due: nothing was heard lately, or the server
  // isn't serving and its pause has ended.
  bool IsProbeDue(Time now) const;
  void OnProbeSent(Time now) { last_probe_ = now; }

  // Whether the server can be asked for `snapshot`: it has not reported yet, or
  // reported the snapshot, or, for version 0, any version of the same shard
  // map.
  bool MayHold(Snapshot snapshot) const;

  // Whether the server may have come to hold `snapshot` since its last report:
  // the snapshot is newer than those reported, and the report has aged.
  bool MayHaveAdvancedTo(Snapshot snapshot, Time now) const;

  const Server& info() const { return info_; }
  ServerStanding standing() const { return standing_; }
  Time paused_until() const { return paused_until_; }
  std::uint32_t in_flight() const { return in_flight_; }
  std::uint32_t limit() const;
  const ServerReport& report() const { return report_; }
  bool has_report() const { return has_report_; }

 private:
  void Pause(ServerStanding standing, Time now, Random* random);
  void Recover();
  bool IsToldToLeave() const { return info_.leaving || listed_leaving_; }
  Duration Latency(Duration typical) const;
  void RecordLatency(Duration latency, Time now);

  Server info_;
  ConcurrencyLimit limit_;
  std::uint32_t connections_;
  std::uint32_t in_flight_ = 0;
  ServerStanding standing_ = ServerStanding::kServing;
  Time paused_until_{};
  int pauses_ = 0;
  int failures_ = 0;
  int silent_streak_ = 0;
  double mean_latency_ = 0;  // Microseconds; 0 before the first answer.
  Time last_answer_{};
  Time last_probe_{};
  Time last_heard_{};
  ServerReport report_;
  bool has_report_ = false;
  Time reported_{};
  bool listed_leaving_ = false;
};

}  // namespace limpetrudder

#endif  // ROUTING_SERVER_STATE_H_
