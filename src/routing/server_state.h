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

// Whether a server can take new work, as this instance sees it.
enum class ServerAvailability {
  kServing,
  kSuspect,      // Failing or shedding load; gets new work after a pause.
  kUnreachable,  // No connection can be opened, or fresh ones are silent.
  kLeaving,      // Draining: no new work until it reports that it serves again.
};

inline constexpr EnumNames<ServerAvailability, 4> kServerAvailabilityNames{{
    {ServerAvailability::kServing, "serving"},
    {ServerAvailability::kSuspect, "suspect"},
    {ServerAvailability::kUnreachable, "unreachable"},
    {ServerAvailability::kLeaving, "leaving"},
}};

// What a server reports of itself in a health check or with an answer.
struct ServerReport {
  bool draining = false;
  std::vector<Snapshot> held;
};

// What one instance knows of one server from its own requests: the requests in
// flight and their limit, the latency, and whether the server can take new
// work. The load that servers report isn't used, since it lags or misleads. Not
// thread safe.
class ServerState {
 public:
  // `coordinators` instances share the server. This one may use `connections`
  // of its connections.
  ServerState(Server info,
              std::uint32_t coordinators,
              std::uint32_t connections);

  // Applies a new entry of the configuration or a new division of connections.
  void Reconfigure(const Server& info,
                   std::uint32_t coordinators,
                   std::uint32_t connections);

  // Sets whether the platform lists the server as leaving.
  void SetListedLeaving(bool leaving);

  // Whether new work may be sent at all.
  bool MayTakeWork(Time now) const;

  // Whether new work may be sent and its limit allows another request now.
  bool HasCapacity(Time now) const;

  // Whether the next request must open a connection of its own, because the
  // last one went silent.
  bool NeedsFreshConnection() const { return consecutive_silences_ > 0; }

  // Estimates the latency of a request that is sent now. `typical_latency` is
  // that of the server's peers; it is used before the first answer.
  Duration ExpectedLatency(Duration typical_latency) const;

  // Estimates the latency, including the wait, of a request that waits for
  // capacity behind `ahead` others.
  Duration ExpectedLatencyAfterWait(Duration typical_latency,
                                    std::size_t ahead) const;

  // Requests that it answers per microsecond, by its limit and latency.
  double ServiceRate(Duration typical_latency) const;

  // Whether the latency was last measured long ago, so that an optional request
  // should measure it again.
  bool IsLatencyStale(Time now) const;

  void OnSent();
  // A request is no longer in flight, however it ended. Call it before the
  // methods below.
  void OnSettled();
  void OnAnswer(Duration latency, Time now);
  // A request was cancelled or abandoned after `elapsed` without an answer. Its
  // latency would have been longer.
  void OnUnfinished(Duration elapsed, Time now);
  void OnShed(Duration retry_after, Time now, Random* random);
  void OnFailure(Time now, Random* random);
  void OnUnreachable(Time now, Random* random);
  // A connection has carried no byte so far. The next request opens a new one.
  void OnConnectionStalled() { ++consecutive_silences_; }
  // A connection carried no byte in time. The server becomes unreachable only
  // if the connection was opened for the request (`fresh`) and no other one
  // carried a response either since the request was sent.
  void OnConnectionSilent(bool fresh, Time sent, Time now, Random* random);
  void OnReport(const ServerReport& report, Time now);
  // A health probe failed.
  void OnProbeFailed(Time now, Random* random);

  // Whether a health probe is due: the server hasn't responded lately, or it
  // isn't serving and its pause has ended.
  bool IsProbeDue(Time now) const;
  void OnProbeSent(Time now) { last_probe_ = now; }

  // Whether the server may hold `snapshot`: it has not reported yet, or it
  // reported the snapshot or, for version 0, any version of the same shard map.
  bool MayHold(Snapshot snapshot) const;

  // Whether the server may hold `snapshot` although its last report doesn't
  // list it: the snapshot is newer than those reported, and the report has
  // aged.
  bool MayHaveAdvancedTo(Snapshot snapshot, Time now) const;

  const Server& info() const { return info_; }
  ServerAvailability availability() const { return availability_; }
  Time paused_until() const { return paused_until_; }
  std::uint32_t in_flight() const { return in_flight_; }
  std::uint32_t limit() const;
  const ServerReport& report() const { return report_; }
  bool has_report() const { return has_report_; }

 private:
  void Pause(ServerAvailability availability, Time now, Random* random);
  void Recover();
  bool IsMarkedLeaving() const { return info_.leaving || listed_leaving_; }
  Duration Latency(Duration typical_latency) const;
  void RecordLatency(Duration latency, Time now);

  Server info_;
  ConcurrencyLimit limit_;
  std::uint32_t connections_;
  std::uint32_t in_flight_ = 0;
  ServerAvailability availability_ = ServerAvailability::kServing;
  Time paused_until_{};
  int consecutive_pauses_ = 0;
  int consecutive_failures_ = 0;
  int consecutive_silences_ = 0;
  double mean_latency_ = 0;  // Microseconds; 0 before the first answer.
  Time last_answer_{};
  Time last_probe_{};
  Time last_response_{};
  ServerReport report_;
  bool has_report_ = false;
  Time last_report_{};
  bool listed_leaving_ = false;
};

}  // namespace limpetrudder

#endif  // ROUTING_SERVER_STATE_H_
