#include "limits/account_shares.h"

#include <algorithm>
#include <cmath>

namespace limpetrudder {
namespace {

// Recent queries are those of about this time.
constexpr Duration kRecentTime = Seconds(6);

// An account with fewer recent queries is forgotten.
constexpr double kMinRecentQueries = 0.02;

// The fill level is computed at this interval, or when the share has changed by
// more than the tolerance.
constexpr Duration kFillInterval = Millis(100);
constexpr double kShareTolerance = 0.02;

// Steps of the bisection for the fill level; each halves its error.
constexpr int kBisectionSteps = 30;

double Decayed(double count, Duration age) {
  return count * std::exp(-RatioOf(age, kRecentTime));
}

}  // namespace

AccountShares::Account& AccountShares::Find(const std::string& account,
                                            double weight,
                                            Time now) {
  Account& found = accounts_[account];
  found.weight = weight;
  found.arrived = Decayed(found.arrived, now - found.updated);
  found.updated = now;
  return found;
}

double AccountShares::AdmittedRatio(const Account& account,
                                    double share) const {
  if (share >= 1 || account.arrived <= 0)
    return 1;
  const double least = kMinRelativeRatio * share;
  return std::clamp(fill_level_ * account.weight / account.arrived, least, 1.0);
}

void AccountShares::RemoveIdle(Time now) {
  if (now < next_removal_)
    return;
  next_removal_ = now + kRecentTime;
  std::erase_if(accounts_, [now](const auto& row) {
    return Decayed(row.second.arrived, now - row.second.updated) <
           kMinRecentQueries;
  });
}

void AccountShares::Fill(double share, Time now) {
  if (now - filled_at_ < kFillInterval &&
      std::abs(share - filled_share_) < kShareTolerance) {
    return;
  }
  filled_at_ = now;
  filled_share_ = share;
  double arrived = 0;
  double high = 0;
  for (auto& [name, account] : accounts_) {
    account.arrived = Decayed(account.arrived, now - account.updated);
    account.updated = now;
    arrived += account.arrived;
    high = std::max(high, account.arrived / account.weight);
  }
  // What is admitted grows with the fill level, up to everything at `high`.
  double low = 0;
  for (int step = 0; step < kBisectionSteps; ++step) {
    fill_level_ = (low + high) / 2;
    double admitted = 0;
    for (const auto& [name, account] : accounts_)
      admitted += account.arrived * AdmittedRatio(account, share);
    (admitted < share * arrived ? low : high) = fill_level_;
  }
}

void AccountShares::Count(const std::string& account, double weight, Time now) {
  RemoveIdle(now);
  Account& found = Find(account, weight, now);
  found.arrived += 1;
  found.credit = 1;
}

bool AccountShares::Admit(const std::string& account,
                          double weight,
                          double share,
                          Time now) {
  RemoveIdle(now);
  Account& found = Find(account, weight, now);
  Fill(share, now);
  // NOTE The count without this query is what its account sends on average;
  // with it, accounts that seldom send would seem to send more than they do.
  const double ratio = AdmittedRatio(found, share);
  found.arrived += 1;
  found.credit = std::min(found.credit + ratio, 1.0 + ratio);
  if (found.credit < 1)
    return false;
  found.credit -= 1;
  return true;
}

}  // namespace limpetrudder
