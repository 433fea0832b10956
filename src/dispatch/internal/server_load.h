#ifndef DISPATCH_INTERNAL_SERVER_LOAD_H_
#define DISPATCH_INTERNAL_SERVER_LOAD_H_

#include <algorithm>
#include <array>
#include <cstdint>
#include <string>
#include <utility>

#include "discovery/server_directory.h"
#include "dispatch/dispatch_types.h"
#include "dispatch/internal/rate_limiter.h"
#include "dispatch/internal/server_directives.h"
#include "dispatch/internal/server_pacer.h"
#include "dispatch/internal/warmup_limiter.h"
#include "framework/time.h"

namespace limpetrudder::detail {

// What one instance knows about one server (or one coordinator): its entry, and
// the state derived from the instance's own requests and from the load reports
// in their answers. Detects servers that pause, slow down, reject part of their
// requests or stop answering. Not thread safe.
class ServerLoad {
 public:
  explicit ServerLoad(ServerEntry entry) : entry_(std::move(entry)) {}

  // Replaces the entry. If it belongs to another process or address, all state
  // is reset but the number of requests in flight, the evacuation and the
  // limiter of cold servers.
  void Update(const ServerEntry& entry);
  void MarkGone() { gone_ = true; }

  // Whether requests may be sent to it, now or after a backoff.
  bool usable() const { return !gone() && !down_ && !evacuated_; }
  // Whether a new request may be sent now.
  bool AcceptsRequests(Time now) const {
    return usable() && !IsBackingOff(now) && warmup_.Allows(now) &&
           rate_limiter_.Allows(now);
  }
  bool IsBackingOff(Time now) const { return directives_.IsBackingOff(now); }
  // Whether the process gets no more requests: it was removed, or is draining
  // or leaving.
  bool gone() const {
    return gone_ || entry_.draining || directives_.leaving();
  }
  bool down() const { return down_; }
  // Whether its data centre is evacuated, so that it gets no new requests.
  bool evacuated() const { return evacuated_; }
  void SetEvacuated(bool evacuated) { evacuated_ = evacuated; }

  // Ratio of the server's work time to the usual one; at least 1. Decays to 1
  // without new samples.
  double Slowness(Time now) const;

  // Estimated probability that a request is rejected or fails, from 0 to 1.
  // Decays to 0 without new samples.
  double RejectRatio(Time now) const;
  double FailureRatio(Time now) const;

  // Requests that run or wait at the server: those of this instance, or those
  // in the last load report if they are more.
  double QueueLength(Time now) const;

  // How long the server has answered nothing while requests are in flight; 0
  // with none in flight.
  Duration SilentFor(Time now) const;

  // Estimates the latency of a request sent now, where `work` is its run time
  // on an idle server of usual speed.
  Duration ExpectedLatency(Duration work, Duration round_trip, Time now) const;

  // Records that a response arrived that says nothing about the work time, such
  // as a coordinator's answer to a call or to a ping.
  void OnAlive(Time now) { last_response_ = silent_since_ = now; }

  void OnSent(Time now);
  // A request is no longer in flight, whatever its result. To be called before
  // the method that records the result.
  void OnRequestEnded() { in_flight_ -= in_flight_ > 0 ? 1 : 0; }
  // `ratio` is the latency, without the round trip, relative to the usual one.
  void OnAnswer(double ratio, Time now);
  void OnLoad(const LoadReport& report, Time now);
  void OnRejected(Time now);
  void OnFailed(Time now);
  // A connection with a request on it was closed by the server.
  void OnConnectionBroken(Time now);

  // A request was given up after `elapsed` without an answer; `ratio` is
  // `elapsed` relative to the usual latency. Returns whether this marked the
  // server as down.
  bool OnUnanswered(double ratio, Duration elapsed, Time now);
  // No connection to it could be opened. Returns whether this marked the server
  // as down; it isn't while requests run on connections that it keeps open.
  bool OnConnectionFailed(Time now);
  // It can't be reached. Returns whether this marked it as down.
  bool OnUnreachable(Time now);

  // The server reset a connection that had just been opened. This happens in
  // the minutes after instances lost power, while the server still counts their
  // dead connections.
  void OnConnectionRejected(Time now);

  // Returns how many requests may be in flight at `now`, where `share` is this
  // instance's share of the server's connections.
  std::uint32_t ConnectionLimit(std::uint32_t share, Time now) const;

  bool IsProbeDue(Time now) const { return now >= next_probe(); }
  void OnProbeSent(Time now);
  // Records the result of a health probe. Returns whether the server was down
  // and is now up.
  bool OnProbe(bool healthy, Time now);
  Time next_probe() const {
    return down_ && !evacuated_
               ? std::max(next_probe_, directives_.backoff_until())
               : kNever;
  }

  const ServerEntry& entry() const { return entry_; }
  ServerPacer& pacer() { return pacer_; }
  ServerDirectives& directives() { return directives_; }
  RateLimiter& rate_limiter() { return rate_limiter_; }
  const RateLimiter& rate_limiter() const { return rate_limiter_; }
  WarmupLimiter& warmup() { return warmup_; }
  const WarmupLimiter& warmup() const { return warmup_; }
  std::uint32_t in_flight() const { return in_flight_; }
  Time last_response() const { return last_response_; }

 private:
  // An exponentially weighted moving average that decays to 0 without new
  // samples.
  class DecayingAverage {
   public:
    void Add(double sample, Time now);
    double Value(Time now) const;

   private:
    double value_ = 0;
    Time last_{};
  };

  // The median of the last three latency ratios, so that a single pause or a
  // single long request doesn't count as slowness. Decays to 1 without new
  // samples.
  class RecentMedian {
   public:
    void Add(double ratio, Time now);
    double Value(Time now) const;

   private:
    std::array<double, 3> samples_{1, 1, 1};
    std::size_t next_ = 0;  // The sample to be replaced next.
    Time last_added_{};
    Time last_high_{};  // When a ratio above kHighRatio was added last.
  };

  void MarkDown(Time now);

  ServerEntry entry_;
  bool gone_ = false;
  bool down_ = false;
  bool evacuated_ = false;
  std::uint32_t in_flight_ = 0;
  std::uint32_t consecutive_unanswered_ = 0;
  std::uint32_t consecutive_downs_ = 0;  // Since the last answer.
  Time last_response_{};
  Time silent_since_{};
  Time next_probe_ = kNever;
  bool connection_broken_ = false;      // Since the last answer.
  std::uint32_t connection_limit_ = 0;  // 0: the whole share.
  std::uint32_t consecutive_rejected_connections_ = 0;
  Time connection_rejected_at_{};
  Time reconnect_at_{};  // When another connection may be opened.
  RecentMedian slowness_;
  DecayingAverage rejects_;
  DecayingAverage failures_;
  ServerPacer pacer_;
  ServerDirectives directives_;
  RateLimiter rate_limiter_;
  WarmupLimiter warmup_;
  LoadReport load_report_;
  Time load_reported_at_{};
};

}  // namespace limpetrudder::detail

#endif  // DISPATCH_INTERNAL_SERVER_LOAD_H_
