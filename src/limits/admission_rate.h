#ifndef LIMITS_ADMISSION_RATE_H_
#define LIMITS_ADMISSION_RATE_H_

#include <cstddef>
#include <vector>

#include "framework/time.h"

namespace limpetrudder {

// Decides which share of the queries an instance admits while the queues at the
// servers are long. A proportional-integral controller acts on the queue delay
// as in PIE (RFC 8033), on a logarithmic scale. Protects servers when more
// queries arrive than their slots can execute. Instances that don't see one
// another arrive at about the same share, since they see the same queues.
//
// Queue delays become known late. So that the controller doesn't refuse nearly
// all queries meanwhile, the share stays above a part of what has been served
// in time lately: queues drain while less than that is admitted. Not thread
// safe.
class AdmissionRate {
 public:
  // `min_delays` is the number of delays that make up a sample, so that a
  // sample doesn't come from a few servers only.
  explicit AdmissionRate(std::size_t min_delays = 1)
      : min_delays_(min_delays) {}

  // Records the queue delay of `requests` requests. `pressure` is the delay as
  // a ratio of the time that their query has to spare; 1 or more is all of it.
  void OnDelay(double pressure, std::size_t requests, Time now);

  // Records that an admitted query was served in time.
  void OnServed(Time now);

  // Records a query and returns the share of its kind that is admitted, which
  // is slightly smaller if it isn't urgent.
  double OnArrival(bool urgent, Time now);

  // Likewise, and returns whether the query is admitted. Admitted queries are
  // spread evenly over the refused ones.
  bool Admit(bool urgent, Time now);

  // Returns the pressure over about the last tenth of a second. It decays when
  // no delays are recorded.
  double pressure(Time now) const;

  // The share of queries that is admitted, from kMinShare to 1.
  double share() const { return share_; }

  // Returns how long it takes until all queries are admitted if the queues stay
  // short from now on.
  Duration RecoveryTime() const;

  static constexpr double kMinShare = 0.05;

  // The controller allows queues to take this ratio of the spare time: the
  // slowest of a query's parts waits several times as long as the median.
  static constexpr double kPressureSetpoint = 0.2;

 private:
  // A count of events whose weight decays with their age.
  struct RecentCount {
    double count = 0;
    Time updated{};

    double At(Time now) const;
    void Add(Time now);
  };

  // Returns the least share to admit, whatever the pressure.
  double DrainingShare(Time now) const;
  void Step(Time now);
  void ApplySample();

  std::size_t min_delays_;
  std::vector<double> delays_;  // Since the last sample.
  Time sample_start_{};
  double pressure_ = 0;
  Time pressure_at_{};
  double integral_ = 0;  // Logarithm of the share, proportional term excluded.
  double share_ = 1;
  RecentCount arrived_;  // Queries, admitted or not.
  RecentCount served_;
  Time last_step_{};
  double urgent_credit_ = 1;
  double other_credit_ = 1;
};

}  // namespace limpetrudder

#endif  // LIMITS_ADMISSION_RATE_H_
