#include <doctest/doctest.h>

#include "limits/admission_rate.h"

namespace limpetrudder {
namespace {

// Plays `duration` with a part's answer each millisecond, all with `pressure`,
// and a query each ten; returns the share of queries that were taken.
double Play(AdmissionRate* rate,
            double pressure,
            Duration duration,
            Time* now) {
  int taken = 0;
  int asked = 0;
  for (const Time end = *now + duration; *now < end; *now += Millis(1)) {
    rate->OnDelay(pressure, 1, *now);
    if ((*now - Time{}).count() % 10000 != 0)
      continue;
    ++asked;
    taken += rate->Admit(true, *now) ? 1 : 0;
  }
  return static_cast<double>(taken) / asked;
}

TEST_CASE("What an instance takes") {
  AdmissionRate rate;
  Time now = Time(Seconds(100));

  SUBCASE("is everything while queues are short") {
    CHECK(Play(&rate, 0.1, Seconds(5), &now) == 1);
    CHECK(rate.RecoveryTime() == Duration(0));
  }
  SUBCASE("is everything after one server of twenty has paused") {
    Play(&rate, 0, Seconds(1), &now);
    for (int i = 0; i < 12; ++i)
      rate.OnDelay(1.5, 1, now);
    rate.Admit(true, now += Millis(30));
    CHECK(rate.share() > 0.9);
  }
  SUBCASE("falls within a second when queues are full") {
    Play(&rate, 1.5, Seconds(1), &now);
    CHECK(rate.share() < 0.2);
    CHECK(rate.RecoveryTime() > Seconds(1));

    SUBCASE("but never to nothing, since its queries show when it is over") {
      CHECK(Play(&rate, 2, Seconds(5), &now) > 0.03);
    }
    SUBCASE("and is everything again two seconds after they are short") {
      Play(&rate, 0, Seconds(3), &now);
      CHECK(rate.share() == 1);
    }
    SUBCASE("and comes back without news as well") {
      for (int i = 0; i < 300; ++i)
        rate.Admit(true, now += Millis(10));
      CHECK(rate.share() == 1);
    }
  }
  SUBCASE("is more of the urgent than of others") {
    Play(&rate, 0.6, Millis(600), &now);
    int urgent = 0;
    int others = 0;
    for (int i = 0; i < 1000; ++i) {
      urgent += rate.Admit(true, now) ? 1 : 0;
      others += rate.Admit(false, now) ? 1 : 0;
    }
    CHECK(urgent > others);
    CHECK(others > urgent * 9 / 10);
  }
}

}  // namespace
}  // namespace limpetrudder
