#include <string>

#include <doctest/doctest.h>

#include "discovery/refused_items.h"

namespace limpetrudder {
namespace {

TEST_CASE("Items of the store that can't be used") {
  constexpr std::size_t kMaxItems = 3;
  RefusedItems items(kMaxItems);
  const Time start = Time(Seconds(100));
  REQUIRE(items.Add("a", 1, start));

  SUBCASE("are reported once, however often they are written") {
    for (int i = 0; i < 1000; ++i)
      CHECK_FALSE(items.Add("a", 1, start + Seconds(i)));
  }
  SUBCASE("are reported once a minute if they are written with other values") {
    int reports = 0;
    std::uint64_t digest = 1;
    for (int i = 0; i < 300; ++i)
      reports += items.Add("a", ++digest, start + Seconds(i)) ? 1 : 0;
    CHECK(reports == 4);
  }
  SUBCASE("are reported again after they could be used") {
    items.Remove("a");
    CHECK(items.Add("a", 1, start));
  }
  SUBCASE("are remembered and reported up to a number") {
    int reports = 0;
    for (int i = 0; i < 1000; ++i)
      reports += items.Add("b" + std::to_string(i), 1, start) ? 1 : 0;
    CHECK(reports == kMaxItems - 1);
    CHECK(items.size() == kMaxItems);

    SUBCASE("and those that were reported long ago make room") {
      CHECK(items.Add("c", 1, start + RefusedItems::kReportInterval));
      CHECK(items.size() == kMaxItems);
      CHECK(items.Add("a", 1, start + RefusedItems::kReportInterval));
    }
  }
}

}  // namespace
}  // namespace limpetrudder
