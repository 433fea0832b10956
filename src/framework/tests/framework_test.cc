#include <fstream>
#include <future>
#include <set>
#include <sstream>

#include <doctest/doctest.h>

#include "framework/bounded_ring.h"
#include "framework/duty_thread.h"
#include "framework/json_schema.h"
#include "framework/metrics.h"
#include "framework/result_code.h"

namespace limpetrudder {
namespace {

TEST_CASE("Result codes") {
  SUBCASE("are unique and ascending") {
    int last = -1;
    for (const auto& row : ResultCodeTable()) {
      CHECK(NumberOf(row.code) > last);
      last = NumberOf(row.code);
    }
  }
  SUBCASE("stand in docs/RESULT_CODES.md, row by row") {
    std::ifstream page(std::string(DOCS_DIR) + "/RESULT_CODES.md");
    std::set<std::string> rows;
    for (std::string line; std::getline(page, line);) {
      if (line.starts_with("| ") && std::isdigit(line[2]))
        rows.insert(line);
    }
    for (const auto& row : ResultCodeTable()) {
      std::ostringstream expected;
      expected << "| " << NumberOf(row.code) << " | " << row.name << " | "
               << row.meaning << " |";
      CHECK_MESSAGE(rows.count(expected.str()) == 1, expected.str());
    }
    CHECK(rows.size() == ResultCodeTable().size());
  }
}

TEST_CASE("A bounded ring") {
  BoundedRing<int> ring(2);
  bool was_empty = false;
  REQUIRE(ring.TryPush(1, &was_empty));
  CHECK(was_empty);
  REQUIRE(ring.TryPush(2, &was_empty));
  CHECK_FALSE(was_empty);

  SUBCASE("refuses when it is full, and keeps what it has") {
    CHECK_FALSE(ring.TryPush(3, &was_empty));
    std::vector<int> items;
    ring.Drain(&items);
    CHECK(items == std::vector<int>{1, 2});
  }
  SUBCASE("takes work again once drained") {
    std::vector<int> items;
    ring.Drain(&items);
    CHECK(ring.TryPush(3, &was_empty));
    CHECK(was_empty);
  }
}

// Holds its thread in the first event until it is let go.
struct BlockingHandler {
  void Handle(int event, Time) {
    if (event == 0) {
      busy.set_value();
      go.get_future().wait();
    }
    handled.push_back(event);
    if (event == 4)
      done.set_value();
  }
  Time Turn(Time) { return kNever; }

  std::promise<void> busy;
  std::promise<void> go;
  std::promise<void> done;
  std::vector<int> handled;
};

TEST_CASE("A duty that is busy refuses work beyond its ring, but no result") {
  BlockingHandler handler;
  DutyThread<int, BlockingHandler> duty(2, &handler);
  duty.Start();
  REQUIRE(duty.Post(0));
  handler.busy.get_future().wait();
  CHECK(duty.Post(1));
  CHECK(duty.Post(2));
  CHECK_FALSE(duty.Post(3));
  duty.PostResult(4);
  handler.go.set_value();
  handler.done.get_future().wait();
  CHECK(handler.handled == std::vector<int>{0, 1, 2, 4});
}

TEST_CASE("A schema names each fault by pointer and number") {
  const JsonSchema schema(R"({
    "type": "object", "additionalProperties": false, "required": ["port"],
    "properties": {
      "port": {"type": "integer", "minimum": 1, "maximum": 65535},
      "level": {"enum": ["info", "debug"]},
      "list": {"type": "array", "items": {"type": "object",
        "properties": {"name": {"type": "string", "pattern": "^[a-z]+$"}}}}
    }})");
  const auto only_fault = [&](const char* text) {
    const auto faults = schema.Check(Json::parse(text));
    REQUIRE(faults.size() == 1);
    return faults.front();
  };

  SUBCASE("a value above its range") {
    const Error fault = only_fault(R"({"port": 70000})");
    CHECK(fault.code == ResultCode::kFieldOutOfRange);
    CHECK(fault.pointer == "/port");
    CHECK(fault.message.find("allowed 1 to 65535") != std::string::npos);
  }
  SUBCASE("a value of the wrong type") {
    const Error fault = only_fault(R"({"port": "80"})");
    CHECK(fault.code == ResultCode::kFieldWrongType);
    CHECK(fault.message.find("'type'") != std::string::npos);
    CHECK(fault.message.find("allowed 1 to 65535") != std::string::npos);
  }
  SUBCASE("a field that is missing") {
    CHECK(only_fault("{}").code == ResultCode::kFieldMissing);
  }
  SUBCASE("a field that the format lacks") {
    const Error fault = only_fault(R"({"port": 1, "prot": 2})");
    CHECK(fault.code == ResultCode::kFieldUnknown);
    CHECK(fault.message.find("prot") != std::string::npos);
  }
  SUBCASE("a value outside an enumeration, with the values allowed") {
    const Error fault = only_fault(R"({"port": 1, "level": "loud"})");
    CHECK(fault.code == ResultCode::kFieldOutOfRange);
    CHECK(fault.message.find("debug") != std::string::npos);
  }
  SUBCASE("a fault deep inside, by its whole pointer") {
    const Error fault =
        only_fault(R"({"port": 1, "list": [{"name": "a"}, {"name": "A"}]})");
    CHECK(fault.pointer == "/list/1/name");
  }
  SUBCASE("two faults in one pass") {
    CHECK(schema.Check(Json::parse(R"({"port": 0, "level": 3})")).size() == 2);
  }
}

TEST_CASE("Metrics give quantiles within a bucket of the truth") {
  Metrics metrics;
  for (int i = 1; i <= 1000; ++i)
    metrics.Record("search", Millis(i));
  const auto latency = metrics.Snapshot()["latencies_ms"]["search"];
  CHECK(latency["count"] == 1000);
  CHECK(latency["p50"].get<double>() == doctest::Approx(500).epsilon(0.08));
  CHECK(latency["p99"].get<double>() == doctest::Approx(990).epsilon(0.08));
}

}  // namespace
}  // namespace limpetrudder
