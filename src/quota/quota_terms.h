#ifndef QUOTA_QUOTA_TERMS_H_
#define QUOTA_QUOTA_TERMS_H_

#include <cstddef>

#include "framework/time.h"
#include "quota/quota_types.h"

namespace limpetrudder {

// How one share of an account's limit is handed out. Each data centre has one
// share, and all are equal.
struct QuotaTerms {
  double rate = 0;   // Tokens per second.
  double depth = 0;  // The most tokens that are saved.
  double start = 0;  // Tokens of an owner that has just become one.
};

// A transfer between owners that takes longer is lost.
inline constexpr Duration kMaxTransferTime = Millis(100);

// Returns how long a granted token is valid, from the moment it was asked for.
// Thread safe.
Duration GrantLife(const QuotaBounds& bounds);

// Divides `limit` into `shares`, so that the bound holds with all of them in
// any window W. What is spent in W was taken from a share in W or, at most, one
// grant's life and one transfer before:
//
//   rate * (W + GrantLife() + kMaxTransferTime) + depths
//     + starts of owners that follow others
//   <= (rate * W + burst) * (1 + overage) + slack
//
// Half of the slack deepens the shares, so that small accounts aren't refused
// because their tokens are spread over many shares. The other half is for the
// starts of new owners: one of each share in W. What is left of the overage is
// for shares that two instances take for theirs.
//
// Precondition: `shares` is above 0. Thread safe.
QuotaTerms ShareOf(const QuotaLimit& limit,
                   const QuotaBounds& bounds,
                   std::size_t shares);

}  // namespace limpetrudder

#endif  // QUOTA_QUOTA_TERMS_H_
