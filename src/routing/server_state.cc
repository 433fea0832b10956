#include "routing/server_state.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace limpetrudder {
namespace {

constexpr double kLatencyWeight = 0.15;
constexpr Duration kStaleLatency = Seconds(10);
constexpr Duration kFirstPause = Millis(200);
constexpr Duration kLongestPause = Seconds(5);
constexpr Duration kProbeInterval = Seconds(1);
constexpr Duration kQuietProbeInterval = Seconds(10);
constexpr int kFailuresBeforePause = 3;

// How long a report is taken to name all that a server holds.
constexpr Duration kReportTrust = Millis(20);

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
    standing_ = ServerStanding::kLeaving;
}

void ServerState::Reconfigure(const Server& info,
                              std::uint32_t coordinators,
                              std::uint32_t connections) {
  const bool was_told = IsToldToLeave();
  info_ = info;
  if (IsToldToLeave())
    standing_ = ServerStanding::kLeaving;
  else if (was_told)
    Recover();
  connections_ = connections;
  limit_.SetMax(InFlightShare(info_.slots, coordinators, connections));
}

void ServerState::SetListedLeaving(bool leaving) {
  const bool was_told = IsToldToLeave();
  listed_leaving_ = leaving;
  if (IsToldToLeave())
    standing_ = ServerStanding::kLeaving;
  else if (was_told)
    Recover();
}

std::uint32_t ServerState::limit() const {
  // NOTE One connection stays free for cancellations and health probes.
  const std::uint32_t usable = connections_ > 1 ? connections_ - 1 : 1;
  return std::min(limit_.value(), usable);
}

bool ServerState::MayTakeWork(Time now) const {
  switch (standing_) {
    case ServerStanding::kServing:
      return true;
    case ServerStanding::kSuspect:
      return now >= paused_until_;
    case ServerStanding::kUnreachable:
    case ServerStanding::kLeaving:
      return false;
  }
  return false;
}

bool ServerState::HasRoom(Time now) const {
  return MayTakeWork(now) && in_flight_ < limit();
}

Duration ServerState::Latency(Duration typical) const {
  return mean_latency_ > 0 ? Duration(static_cast<std::int64_t>(mean_latency_))
                           : typical;
}

Duration ServerState::ExpectedLatency(Duration typical) const {
  const std::uint32_t beyond_slots =
      in_flight_ >= info_.slots ? in_flight_ - info_.slots + 1 : 0;
  return Latency(typical) *
         static_cast<std::int64_t>(info_.slots + beyond_slots) / info_.slots;
}

Duration ServerState::ExpectedLatencyAfterWait(Duration typical,
                                               std::size_t ahead) const {
  const Duration latency = Latency(typical);
  const auto rounds = static_cast<std::int64_t>(ahead + 1);
  return latency + latency * rounds / static_cast<std::int64_t>(limit());
}

double ServerState::Rate(Duration typical) const {
  const auto latency = static_cast<double>(Latency(typical).count());
  return static_cast<double>(limit()) / std::max(latency, 1.0);
}

bool ServerState::IsLatencyStale(Time now) const {
  return mean_latency_ > 0 && now - last_answer_ >= kStaleLatency;
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
  const double age = RatioOf(now - last_answer_, kStaleLatency);
  const double weight = std::max(kLatencyWeight, 1.0 - std::exp(-age));
  mean_latency_ = mean_latency_ <= 0
                      ? micros
                      : mean_latency_ + weight * (micros - mean_latency_);
  last_answer_ = now;
}

void ServerState::OnAnswer(Duration latency, Time now) {
  RecordLatency(latency, now);
  last_heard_ = now;
  failures_ = 0;
  silent_streak_ = 0;
  pauses_ = 0;
  limit_.OnAnswer();
  if (standing_ == ServerStanding::kSuspect)
    Recover();
}

void ServerState::OnUnfinished(Duration elapsed, Time now) {
  if (static_cast<double>(elapsed.count()) > mean_latency_)
    RecordLatency(elapsed, now);
}

void ServerState::OnShed(Duration retry_after, Time now, Random* random) {
  limit_.OnShed();
  if (standing_ == ServerStanding::kLeaving)
    return;
  standing_ = ServerStanding::kSuspect;
  const Duration pause = std::max(retry_after, Millis(1));
  paused_until_ = now + Jittered(pause, random);
}

void ServerState::OnFailure(Time now, Random* random) {
  ++failures_;
  if (failures_ >= kFailuresBeforePause)
    Pause(ServerStanding::kSuspect, now, random);
}

void ServerState::OnUnreachable(Time now, Random* random) {
  Pause(ServerStanding::kUnreachable, now, random);
}

void ServerState::OnSilence(bool fresh, Time sent, Time now, Random* random) {
  ++silent_streak_;
  if (fresh && last_heard_ <= sent)
    Pause(ServerStanding::kUnreachable, now, random);
}

void ServerState::OnReport(const ServerReport& report, Time now) {
  report_ = report;
  has_report_ = true;
  reported_ = now;
  last_heard_ = now;
  last_probe_ = now;
  if (report.draining) {
    standing_ = ServerStanding::kLeaving;
    return;
  }
  if (IsToldToLeave())
    return;
  if (standing_ == ServerStanding::kLeaving ||
      standing_ == ServerStanding::kUnreachable) {
    Recover();
  }
}

void ServerState::OnProbeFailed(Time now, Random* random) {
  if (standing_ == ServerStanding::kLeaving)
    return;
  Pause(ServerStanding::kUnreachable, now, random);
}

bool ServerState::IsProbeDue(Time now) const {
  switch (standing_) {
    case ServerStanding::kServing:
      return !has_report_ ? now - last_probe_ >= kProbeInterval
                          : now - std::max(last_probe_, last_answer_) >=
                                kQuietProbeInterval;
    case ServerStanding::kSuspect:
      return false;
    case ServerStanding::kUnreachable:
      return now >= paused_until_ && now - last_probe_ >= kFirstPause;
    case ServerStanding::kLeaving:
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
  return newer && now - reported_ >= kReportTrust;
}

void ServerState::Pause(ServerStanding standing, Time now, Random* random) {
  if (standing_ == ServerStanding::kLeaving)
    return;
  standing_ = standing;
  const Duration pause = std::min(
      kFirstPause * (std::int64_t{1} << std::min(pauses_, 10)), kLongestPause);
  ++pauses_;
  paused_until_ = now + Jittered(pause, random);
}

void ServerState::Recover() {
  standing_ = ServerStanding::kServing;
  failures_ = 0;
  silent_streak_ = 0;
  limit_.Restart();
}

}  // namespace limpetrudder
