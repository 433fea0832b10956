#include <doctest/doctest.h>

#include "report/log_report.h"

namespace limpetrudder {
namespace {

std::string Line(const std::string& second, const std::string& fields) {
  return R"({"time":"2026-03-29T06:44:)" + second +
         R"(.047Z","instance":"a",)" + fields + "}";
}

std::string Call(const std::string& second, const std::string& fields) {
  return Line(second, R"("event":"call_ended","route":"r",)" + fields);
}

TEST_CASE("LogReport") {
  LogReport report;
  report.Add("a.log", Call("01", R"("status":200,"ms":12.5)"));
  report.Add("a.log", Call("01", R"("status":200,"parts":19,"code":0,)"
                                 R"("failed":[{"service":"s","code":3010}])"));
  report.Add("a.log", Call("01", R"("status":200,"late":true)"));
  report.Add("a.log", Call("02", R"("status":503,"code":4001,"parts":0)"));
  report.Add("a.log", Call("02", R"("status":504,"code":3010,"parts":0)"));
  report.Add("b.log", Call("02", R"("status":200,"forwarded":true)"));
  report.Add("b.log", Line("02", R"("event":"server_down","server":"i")"));

  SUBCASE("counts the results of calls in each second") {
    const auto seconds = report.Summary()["seconds"];
    REQUIRE(seconds.size() == 2);
    CHECK(seconds[0]["calls"] == 3);
    CHECK(seconds[0]["served"] == 2);
    CHECK(seconds[0]["in_part"] == 1);
    CHECK(seconds[0]["late"] == 1);
    CHECK(seconds[1]["refused"] == 1);
    CHECK(seconds[1]["failed"] == 1);

    SUBCASE("leaves out calls forwarded by other instances") {
      CHECK(seconds[1]["calls"] == 2);
    }
    SUBCASE("lists the state changes of each second") {
      CHECK(seconds[1]["beliefs"]["server_down"] == 1);
      CHECK(report.Text().find("server_down") != std::string::npos);
    }
  }
  SUBCASE("shows no accounts if there are none") {
    CHECK(report.Summary()["accounts"].empty());
    CHECK(report.Text().find("account ") == std::string::npos);
  }
  SUBCASE("shows the accounts with the most calls, and the others together") {
    for (int account = 0; account < 25; ++account) {
      for (int call = 0; call <= account; ++call) {
        report.Add("a.log", Call("03", R"("status":200,"account":"a)" +
                                           std::to_string(account) + "\""));
      }
    }
    report.Add("a.log", Call("03", R"("status":200,"late":true,)"
                                   R"("account":"a24")"));
    report.Add("a.log", Call("03", R"("status":401,"code":8006)"));
    const auto accounts = report.Summary()["accounts"];
    CHECK(accounts.size() == 22);
    CHECK(accounts["a24"]["served"] == 25);
    CHECK(accounts["a24"]["late"] == 1);
    CHECK(accounts["(5 others)"]["calls"] == 1 + 2 + 3 + 4 + 5);
    CHECK(accounts["(none)"]["denied"] == 1);
    CHECK(report.Text().find("(5 others)") != std::string::npos);
  }
  SUBCASE("counts reasons by result code") {
    CHECK(report.Summary()["reasons"]["4001"] == 1);
    CHECK(report.Summary()["part_reasons"]["3010"] == 1);
    CHECK(report.Text().find("4001 overloaded") != std::string::npos);
  }
  SUBCASE("skips a prefix that a log collector puts before the JSON") {
    report.Add("c.log", "  34.776 entry-3 " + Call("03", R"("status":200)"));
    CHECK(report.unreadable() == 0);
    CHECK(report.Summary()["seconds"].size() == 3);
  }
  SUBCASE("counts unreadable lines and reports where the first one is") {
    for (const char* malformed : {"", "text", "{", "[1]", "{}", R"({"time":5})",
                                  R"({"time":"2026","event":"x"})"}) {
      report.Add("c.log", malformed);
    }
    report.Add("c.log", Call("03", R"("status":"200","code":{},"failed":[5])"));
    CHECK(report.unreadable() == 7);
    CHECK(report.Summary()["first_unreadable"] == "c.log:1");
    CHECK(report.Text().find("7 unreadable, the first at c.log:1") !=
          std::string::npos);
  }
}

}  // namespace
}  // namespace limpetrudder
