#ifndef LIMITS_ADMISSION_RATE_H_
#define LIMITS_ADMISSION_RATE_H_

#include <cstddef>
#include <vector>

#include "framework/time.h"

namespace limpetrudder {

// Decides which share of its queries an instance takes while queues at servers
// are long: a proportional-integral controller on the queue delay as in PIE
// (RFC 8033), on a logarithmic scale. Answers the load of arrivals beyond what
// the servers' slots can do. Instances that don't see one another come to about
// the same share, since they see the same queues. Not thread safe.
class AdmissionRate {
 public:
  // `fewest_delays`: how many delays make a sample, so that it isn't from a few
  // servers only.
  explicit AdmissionRate(std::size_t fewest_delays = 1)
      : fewest_delays_(fewest_delays) {}

  // `requests` waited for `pressure` of the time that their query has to spare;
  // 1 and more: all of it.
  void OnDelay(double pressure, std::size_t requests, Time now);

  // Whether the next query is taken. Spreads those that are over the others
  // evenly; of a less urgent kind a little fewer are taken.
  bool Admit(bool urgent, Time now);

  // The pressure of about the last tenth of a second; fades without news.
  double pressure(Time now) const;

  // The share of queries that is taken, from kLeastShare to 1.
  double share() const { return share_; }

  // How long until all queries are taken if the queues stay short from now on.
  Duration RecoveryTime() const;

  static constexpr double kLeastShare = 0.05;

  // Queues may take this part of the spare time: the slowest of a query's parts
  // waits several times as long as the median.
  static constexpr double kGoal = 0.2;

 private:
  void Step(Time now);
  void FoldSample();

  std::size_t fewest_delays_;
  std::vector<double> delays_;  // Since the last sample.
  Time sample_began_{};
  double pressure_ = 0;
  Time pressure_at_{};
  double integral_ = 0;  // Logarithm of the share without the present pressure.
  double share_ = 1;
  Time stepped_at_{};
  double urgent_credit_ = 1;
  double other_credit_ = 1;
};

}  // namespace limpetrudder

#endif  // LIMITS_ADMISSION_RATE_H_
