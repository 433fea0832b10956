#ifndef DISPATCH_INTERNAL_SERVER_LOAD_H_
#define DISPATCH_INTERNAL_SERVER_LOAD_H_

#include <algorithm>
#include <array>
#include <cstdint>
#include <string>
#include <utility>

#include "discovery/server_directory.h"
#include "dispatch/dispatch_types.h"
#include "dispatch/internal/server_directives.h"
#include "dispatch/internal/server_pacer.h"
#include "framework/time.h"

namespace limpetrudder::detail {

// What one instance knows of one server from its own requests and from the load
// reports beside their answers. Answers the load of a server that pauses, slows
// down, refuses part of its work or stops answering. Not thread safe.
class ServerLoad {
 public:
  explicit ServerLoad(ServerEntry entry) : entry_(std::move(entry)) {}

  // Takes a new entry; another incarnation starts without a past.
  void Update(const ServerEntry& entry);
  void MarkGone() { gone_ = true; }

  // Whether it is a server to send to, at once or after a backoff.
  bool usable() const { return !gone() && !down_; }
  // Whether anything new may be sent now.
  bool AcceptsRequests(Time now) const {
    return usable() && !directives_.IsBackingOff(now);
  }
  bool gone() const {
    return gone_ || entry_.draining || directives_.leaving();
  }
  bool down() const { return down_; }

  // How long work takes here against the usual; an old finding fades.
  double Slowness(Time now) const;

  // How likely a request is refused or fails, from 0 to 1; fades as well.
  double RejectRatio(Time now) const;
  double FailureRatio(Time now) const;

  // Requests that run or wait there, of all instances as far as known.
  double QueueLength(Time now) const;

  // How long it has answered nothing though requests wait.
  Duration SilentFor(Time now) const;

  // Estimates when a request sent now is answered, where it would run for
  // `work` on an idle server of usual speed.
  Duration ExpectedLatency(Duration work, Duration round_trip, Time now) const;

  // It showed that it is alive.
  void OnAlive(Time now) { last_response_ = silent_since_ = now; }

  void OnSent(Time now);
  // The request left the server, however it ended; call before the others.
  void OnRequestEnded() { in_flight_ -= in_flight_ > 0 ? 1 : 0; }
  // `ratio` is its latency against the usual one, without the way there.
  void OnAnswer(double ratio, Time now);
  void OnLoad(const LoadReport& report, Time now);
  void OnRejected(Time now);
  void OnFailed(Time now);

  // A request was given up after `elapsed` without an answer; `ratio` is that
  // time against the usual latency. Returns whether the server is taken as down
  // because of it.
  bool OnUnanswered(double ratio, Duration elapsed, Time now);
  // No connection could be opened.
  bool OnUnreachable(Time now);

  // A connection just opened was reset. Answers the load of the minutes after
  // instances lost power: the server still counts their dead connections.
  void OnConnectionRejected(Time now);

  // How many requests may be in flight at `now`, where `share` is this
  // instance's share of the server's connections.
  std::uint32_t ConnectionLimit(std::uint32_t share, Time now) const;

  bool IsProbeDue(Time now) const { return down_ && now >= next_probe(); }
  void OnProbeSent(Time now);
  // Returns whether the server takes work again.
  bool OnProbe(bool healthy, Time now);
  Time next_probe() const {
    return down_ ? std::max(next_probe_, directives_.backoff_until()) : kNever;
  }

  const ServerEntry& entry() const { return entry_; }
  ServerPacer& pacer() { return pacer_; }
  ServerDirectives& directives() { return directives_; }
  std::uint32_t in_flight() const { return in_flight_; }
  Time last_response() const { return last_response_; }

 private:
  // An exponentially weighted ratio that fades when it gets no news.
  class DecayingAverage {
   public:
    void Add(double sample, Time now);
    double Value(Time now) const;

   private:
    double value_ = 0;
    Time last_{};
  };

  // The median of the last ratios of latency to the usual one, so that a single
  // pause or a single long request doesn't count as slowness. Fades to 1.
  class RecentMedian {
   public:
    void Add(double ratio, Time now);
    double Value(Time now) const;

   private:
    std::array<double, 3> samples_{1, 1, 1};
    std::size_t next_ = 0;
    Time last_added_{};
    Time last_high_{};
  };

  void MarkDown(Time now);

  ServerEntry entry_;
  bool gone_ = false;
  bool down_ = false;
  std::uint32_t in_flight_ = 0;
  std::uint32_t consecutive_unanswered_ = 0;  // In a row.
  std::uint32_t consecutive_downs_ =
      0;  // In a row, without an answer in between.
  Time last_response_{};
  Time silent_since_{};
  Time next_probe_ = kNever;
  std::uint32_t connection_limit_ = 0;                  // 0: the whole share.
  std::uint32_t consecutive_rejected_connections_ = 0;  // In a row.
  Time connection_rejected_at_{};
  Time reconnect_at_{};  // When another connection may be tried.
  RecentMedian slowness_;
  DecayingAverage rejects_;
  DecayingAverage failures_;
  ServerPacer pacer_;
  ServerDirectives directives_;
  LoadReport load_report_;
  Time load_reported_at_{};
};

}  // namespace limpetrudder::detail

#endif  // DISPATCH_INTERNAL_SERVER_LOAD_H_
