#ifndef DISPATCH_INTERNAL_REQUEST_QUARANTINE_H_
#define DISPATCH_INTERNAL_REQUEST_QUARANTINE_H_

#include <algorithm>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "dispatch/dispatch_types.h"
#include "framework/time.h"

namespace limpetrudder::detail {

enum class NoticeState { kNone, kOld, kRecent };

// Remembers requests under which servers crashed, by their digests, and decides
// which of them are quarantined. A crash makes a request suspected, whether it
// caused the crash or was only in flight at the server. A suspected request is
// tried at one server. A trial is claimed before it is sent, at all instances:
// while it runs nobody else tries the request. If its server crashes too, the
// request is quarantined; if it answers anything at all and survives that, the
// request is cleared, since a request of death crashes every server that runs
// it.
//
// Applies when servers crash, one after the other, under a request that comes
// again and again. Holds no clock and does no I/O. Not thread safe.
class RequestQuarantine {
 public:
  // Bounds of memory, about 200 bytes for each request, and of a message to
  // another instance.
  static constexpr std::size_t kMaxRequests = 256;
  static constexpr std::size_t kMaxNotices = 32;

  // The first quarantine is short, since the trial's server may have crashed
  // under another request: many crash at about the same time then. A request
  // whose trials have failed twice may reach few more servers at all.
  static constexpr Duration kFirstQuarantine = Seconds(5);
  static constexpr Duration kSecondQuarantine = Seconds(600);
  static constexpr Duration kLastQuarantine = std::chrono::hours(12);

  // How long a request stays suspected after a crash or a quarantine. Until
  // then it is tried at one server before it goes to all shards again.
  static constexpr Duration kSuspicion = std::chrono::hours(12);

  // How long it is in doubt while no crash is known.
  static constexpr Duration kUnconfirmedTime = Seconds(60);

  // How long it is told that a request was cleared; also the time for which
  // changes are told every second.
  static constexpr Duration kRecent = Seconds(60);

  // A trial without a result keeps others from being made for this long.
  static constexpr Duration kTrialClaim = Seconds(3);

  RequestStanding StandingOf(const std::string& digest, Time now) const;

  // Returns when the request may be tried again; `now` if that may be now.
  Time NextSend(const std::string& digest, Time now) const;

  // Returns how many trials of the request are known to have failed.
  std::uint32_t FailedTrials(const std::string& digest) const;

  // Claims the trial of a suspected request for a call that is about to be
  // sent. Returns false if it is quarantined or somebody's trial has no result
  // yet.
  bool ClaimTrial(const std::string& digest, Time now);

  // A trial that was claimed at `claimed` reached no server.
  void ReleaseTrial(const std::string& digest, Time claimed);

  // Whether a trial that was claimed at `claimed` may still be sent.
  bool HoldsTrial(const std::string& digest, Time claimed, Time now) const;

  // Returns whether an attempt that was sent at `sent` is a trial: the request
  // was suspected already.
  bool IsTrial(const std::string& digest, Time sent, Time now) const;

  // Whether servers may crash under the request, be that confirmed or not.
  bool IsInDoubt(const std::string& digest, Time now) const;

  // Servers broke off while they ran the request; whether they crashed isn't
  // known yet. Doesn't change the standing.
  void Suspect(const std::string& digest, Time now);

  // A server crashed while it ran the request, which was sent to it at `sent`.
  // Returns whether the standing, or what other instances have to know of it,
  // changed.
  bool OnCrash(const std::string& digest, Time sent, Time now);

  // A server that broke off hasn't crashed.
  void OnNoCrash(const std::string& digest);

  // A server answered the request and survived it. Returns whether that cleared
  // it of a suspicion that other instances know of.
  bool OnAnswered(const std::string& digest, Time now);

  // Applies what another instance knows, if that is newer by the number of
  // changes: ages grow by a network time at each instance that passes them on.
  // Returns whether anything changed.
  bool Apply(const QuarantineNotice& notice, Time now);

  // Returns what other instances have to know, latest changes first, and what
  // of that is about these requests.
  std::vector<QuarantineNotice> Notices(Time now) const;
  std::vector<QuarantineNotice> NoticesOf(
      const std::vector<std::string>& digests,
      Time now) const;

  // Forgets what is over.
  void RemoveExpired(Time now);

  bool empty() const { return rows_.empty(); }
  // Whether other instances have to know anything, and whether that changed
  // lately.
  NoticeState StateOfNotices(Time now) const;

 private:
  struct Row {
    // A crash was seen; otherwise servers only broke off.
    bool confirmed = false;
    Time suspected_at{};       // Time{}: never.
    Time until = Time::min();  // End of the quarantine.
    std::uint32_t quarantines = 0;
    Time tried_at = Time::min();    // The latest trial of any instance.
    Time claimed_at = Time::min();  // The latest one of this instance.
    Time cleared_at = Time::min();
    Time changed_at{};
    // Counts the changes that instances found out; the latest one cleared it.
    std::uint32_t revision = 0;
    bool cleared = false;

    // Trials are attempts that were sent after this.
    Time SuspectedSince() const { return std::max(suspected_at, until); }
    // Whether it is suspected, confirmed or not, and isn't quarantined.
    bool IsSuspected(Time now) const;
    // Whether a trial may have no result yet.
    bool IsBeingTried(Time now) const;
  };

  // Returns whether `notice` says something newer than `row`.
  static bool IsNewer(const QuarantineNotice& notice, const Row& row, Time now);
  static RequestStanding StandingOf(const Row& row, Time now);
  static bool HasNotice(const Row& row, Time now);
  static QuarantineNotice NoticeOf(const std::string& digest,
                                   const Row& row,
                                   Time now);
  Row& Add(const std::string& digest, Time now);

  std::map<std::string, Row> rows_;  // By digest.
};

}  // namespace limpetrudder::detail

#endif  // DISPATCH_INTERNAL_REQUEST_QUARANTINE_H_
