#include <doctest/doctest.h>

#include "routing/route_table.h"

namespace limpetrudder {
namespace {

Route MakeRoute(const std::string& name,
                const std::string& host,
                const std::string& prefix) {
  Route route;
  route.name = name;
  route.host = host;
  route.prefix = prefix;
  route.backends = {{"track", 1}};
  return route;
}

TEST_CASE("A route table looks up requests") {
  const RouteTable table(7,
                         {MakeRoute("short", "shop.example", "/a/"),
                          MakeRoute("long", "shop.example", "/a/b/"),
                          MakeRoute("other", "loft.example", "/a/")},
                         {{"track", "/health", 26}}, RequestLimits{});
  const auto name_of = [&table](const char* host, const char* path) {
    const Route* route = table.Find(host, path);
    return route == nullptr ? std::string("none") : route->name;
  };

  SUBCASE("by the longest matching prefix of the host") {
    CHECK(name_of("shop.example", "/a/x") == "short");
    CHECK(name_of("shop.example", "/a/b/x") == "long");
    CHECK(name_of("shop.example", "/a/b/") == "long");
    CHECK(name_of("loft.example", "/a/b/x") == "other");
  }
  SUBCASE("by whole path segments") {
    CHECK(name_of("shop.example", "/a/bc") == "short");
    CHECK(name_of("shop.example", "/ab/") == "none");
    CHECK(name_of("shop.example", "/a") == "none");
  }
  SUBCASE("by the path without the query string") {
    CHECK(name_of("shop.example", "/a/x?next=/b/") == "short");
    CHECK(name_of("shop.example", "/c?x=/a/") == "none");
  }
  SUBCASE("by the host without its port and case") {
    CHECK(name_of("Shop.Example:8080", "/a/x") == "short");
    CHECK(name_of("unknown.example", "/a/x") == "none");
  }
  SUBCASE("and looks up services by name") {
    REQUIRE(table.FindService("track") != nullptr);
    CHECK(table.FindService("track")->max_connections == 26);
    CHECK(table.FindService("feed") == nullptr);
  }
}

}  // namespace
}  // namespace limpetrudder
