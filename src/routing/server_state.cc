#include "routing/server_state.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace limpetrudder {
namespace {

constexpr double kLatencyWeight = 0.15;
constexpr Duration kStaleLatencyAge = Seconds(10);
constexpr Duration kFirstPause = Millis(200);
constexpr Duration kMaxPause = Seconds(5);
constexpr Duration kProbeInterval = Seconds(1);
constexpr Duration kIdleProbeInterval = Seconds(10);
constexpr int kFailuresBeforePause = 3;

// How long a report is assumed to list all snapshots that a server holds.
constexpr Duration kReportMaxAge = Millis(20);

Duration Jittered(Duration duration, Random* random) {
  return Scaled(duration, 0.5 + random->Unit());
}

}  // namespace

ServerState::ServerState(Server info,
                         std::uint32_t coordinators,
                         std::uint32_t connections)
    : info_(std::move(info)),
      limit_(InFlightShare(info_.slots, coordinators, connections)),
      connections_(connections) {
  if (info_.leaving)
    availability_ = ServerAvailability::kLeaving;
}

void ServerState::Reconfigure(const Server& info,
                              std::uint32_t coordinators,
                              std::uint32_t connections) {
  const bool was_marked = IsMarkedLeaving();
  info_ = info;
  if (IsMarkedLeaving())
    availability_ = ServerAvailability::kLeaving;
  else if (was_marked)
    Recover();
  connections_ = connections;
  limit_.SetMax(InFlightShare(info_.slots, coordinators, connections));
}

void ServerState::SetListedLeaving(bool leaving) {
  const bool was_marked = IsMarkedLeaving();
  listed_leaving_ = leaving;
  if (IsMarkedLeaving())
    availability_ = ServerAvailability::kLeaving;
  else if (was_marked)
    Recover();
}

std::uint32_t ServerState::limit() const {
  // NOTE One connection stays free for cancellations and health probes.
  const std::uint32_t usable = connections_ > 1 ? connections_ - 1 : 1;
  return std::min(limit_.value(), usable);
}

bool ServerState::MayTakeWork(Time now) const {
  switch (availability_) {
    case ServerAvailability::kServing:
      return true;
    case ServerAvailability::kSuspect:
      return now >= paused_until_;
    case ServerAvailability::kUnreachable:
    case ServerAvailability::kLeaving:
      return false;
  }
  return false;
}

bool ServerState::HasCapacity(Time now) const {
  return MayTakeWork(now) && in_flight_ < limit();
}

Duration ServerState::Latency(Duration typical_latency) const {
  return mean_latency_ > 0 ? Duration(static_cast<std::int64_t>(mean_latency_))
                           : typical_latency;
}

Duration ServerState::ExpectedLatency(Duration typical_latency) const {
  const std::uint32_t beyond_slots =
      in_flight_ >= info_.slots ? in_flight_ - info_.slots + 1 : 0;
  return Latency(typical_latency) *
         static_cast<std::int64_t>(info_.slots + beyond_slots) / info_.slots;
}

Duration ServerState::ExpectedLatencyAfterWait(Duration typical_latency,
                                               std::size_t ahead) const {
  const Duration latency = Latency(typical_latency);
  const auto rounds = static_cast<std::int64_t>(ahead + 1);
  return latency + latency * rounds / static_cast<std::int64_t>(limit());
}

double ServerState::ServiceRate(Duration typical_latency) const {
  const auto latency = static_cast<double>(Latency(typical_latency).count());
  return static_cast<double>(limit()) / std::max(latency, 1.0);
}

bool ServerState::IsLatencyStale(Time now) const {
  return mean_latency_ > 0 && now - last_answer_ >= kStaleLatencyAge;
}

void ServerState::OnSent() {
  ++in_flight_;
}

void ServerState::OnSettled() {
  if (in_flight_ > 0)
    --in_flight_;
}

void ServerState::RecordLatency(Duration latency, Time now) {
  const auto micros = static_cast<double>(latency.count());
  // NOTE The longer ago the last sample, the more the new one counts.
  const double age = RatioOf(now - last_answer_, kStaleLatencyAge);
  const double weight = std::max(kLatencyWeight, 1.0 - std::exp(-age));
  mean_latency_ = mean_latency_ <= 0
                      ? micros
                      : mean_latency_ + weight * (micros - mean_latency_);
  last_answer_ = now;
}

void ServerState::OnAnswer(Duration latency, Time now) {
  RecordLatency(latency, now);
  last_response_ = now;
  consecutive_failures_ = 0;
  consecutive_silences_ = 0;
  consecutive_pauses_ = 0;
  limit_.OnAnswer();
  if (availability_ == ServerAvailability::kSuspect)
    Recover();
}

void ServerState::OnUnfinished(Duration elapsed, Time now) {
  if (static_cast<double>(elapsed.count()) > mean_latency_)
    RecordLatency(elapsed, now);
}

void ServerState::OnShed(Duration retry_after, Time now, Random* random) {
  limit_.OnShed();
  if (availability_ == ServerAvailability::kLeaving)
    return;
  availability_ = ServerAvailability::kSuspect;
  const Duration pause = std::max(retry_after, Millis(1));
  paused_until_ = now + Jittered(pause, random);
}

void ServerState::OnFailure(Time now, Random* random) {
  ++consecutive_failures_;
  if (consecutive_failures_ >= kFailuresBeforePause)
    Pause(ServerAvailability::kSuspect, now, random);
}

void ServerState::OnUnreachable(Time now, Random* random) {
  Pause(ServerAvailability::kUnreachable, now, random);
}

void ServerState::OnConnectionSilent(bool fresh,
                                     Time sent,
                                     Time now,
                                     Random* random) {
  ++consecutive_silences_;
  if (fresh && last_response_ <= sent)
    Pause(ServerAvailability::kUnreachable, now, random);
}

void ServerState::OnReport(const ServerReport& report, Time now) {
  report_ = report;
  has_report_ = true;
  last_report_ = now;
  last_response_ = now;
  last_probe_ = now;
  if (report.draining) {
    availability_ = ServerAvailability::kLeaving;
    return;
  }
  if (IsMarkedLeaving())
    return;
  if (availability_ == ServerAvailability::kLeaving ||
      availability_ == ServerAvailability::kUnreachable) {
    Recover();
  }
}

void ServerState::OnProbeFailed(Time now, Random* random) {
  if (availability_ == ServerAvailability::kLeaving)
    return;
  Pause(ServerAvailability::kUnreachable, now, random);
}

bool ServerState::IsProbeDue(Time now) const {
  switch (availability_) {
    case ServerAvailability::kServing:
      return !has_report_ ? now - last_probe_ >= kProbeInterval
                          : now - std::max(last_probe_, last_answer_) >=
                                kIdleProbeInterval;
    case ServerAvailability::kSuspect:
      return false;
    case ServerAvailability::kUnreachable:
      return now >= paused_until_ && now - last_probe_ >= kFirstPause;
    case ServerAvailability::kLeaving:
      return now - last_probe_ >= kProbeInterval;
  }
  return false;
}

bool ServerState::MayHold(Snapshot snapshot) const {
  if (!has_report_)
    return true;
  return std::any_of(
      report_.held.begin(), report_.held.end(), [&](const Snapshot& held) {
        return held == snapshot ||
               (snapshot.version == 0 && held.map_epoch == snapshot.map_epoch);
      });
}

bool ServerState::MayHaveAdvancedTo(Snapshot snapshot, Time now) const {
  const bool newer =
      std::all_of(report_.held.begin(), report_.held.end(),
                  [&](const Snapshot& held) { return snapshot > held; });
  return newer && now - last_report_ >= kReportMaxAge;
}

void ServerState::Pause(ServerAvailability availability,
                        Time now,
                        Random* random) {
  if (availability_ == ServerAvailability::kLeaving)
    return;
  availability_ = availability;
  const Duration pause = std::min(
      kFirstPause * (std::int64_t{1} << std::min(consecutive_pauses_, 10)),
      kMaxPause);
  ++consecutive_pauses_;
  paused_until_ = now + Jittered(pause, random);
}

void ServerState::Recover() {
  availability_ = ServerAvailability::kServing;
  consecutive_failures_ = 0;
  consecutive_silences_ = 0;
  limit_.Restart();
}

}  // namespace limpetrudder
