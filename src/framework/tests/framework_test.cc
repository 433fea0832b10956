#include <fstream>
#include <future>
#include <set>
#include <sstream>

#include <doctest/doctest.h>

#include "framework/bounded_queue.h"
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
  SUBCASE("match the rows of docs/RESULT_CODES.md") {
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

TEST_CASE("BoundedQueue") {
  BoundedQueue<int> queue(2);
  bool was_empty = false;
  REQUIRE(queue.TryPush(1, &was_empty));
  CHECK(was_empty);
  REQUIRE(queue.TryPush(2, &was_empty));
  CHECK_FALSE(was_empty);

  SUBCASE("rejects an item when it is full and keeps the others") {
    CHECK_FALSE(queue.TryPush(3, &was_empty));
    std::vector<int> items;
    queue.Drain(&items);
    CHECK(items == std::vector<int>{1, 2});
  }
  SUBCASE("accepts items again after it was drained") {
    std::vector<int> items;
    queue.Drain(&items);
    CHECK(queue.TryPush(3, &was_empty));
    CHECK(was_empty);
  }
}

// Blocks its thread in the event 0 until `release` is set.
struct BlockingHandler {
  void Handle(int event, Time) {
    if (event == 0) {
      blocked.set_value();
      release.get_future().wait();
    }
    handled.push_back(event);
    if (event == 4)
      done.set_value();
  }
  Time Tick(Time) { return kNever; }

  std::promise<void> blocked;
  std::promise<void> release;
  std::promise<void> done;
  std::vector<int> handled;
};

TEST_CASE(
    "DutyThread rejects events beyond its capacity, but accepts results") {
  BlockingHandler handler;
  DutyThread<int, BlockingHandler> duty(2, &handler);
  duty.Start();
  REQUIRE(duty.Post(0));
  handler.blocked.get_future().wait();
  CHECK(duty.Post(1));
  CHECK(duty.Post(2));
  CHECK_FALSE(duty.Post(3));
  duty.PostResult(4);
  handler.release.set_value();
  handler.done.get_future().wait();
  CHECK(handler.handled == std::vector<int>{0, 1, 2, 4});
}

TEST_CASE("JsonSchema reports the pointer and result code of each error") {
  const JsonSchema schema(R"({
    "type": "object", "additionalProperties": false, "required": ["port"],
    "properties": {
      "port": {"type": "integer", "minimum": 1, "maximum": 65535},
      "level": {"enum": ["info", "debug"]},
      "list": {"type": "array", "items": {"type": "object",
        "properties": {"name": {"type": "string", "pattern": "^[a-z]+$"}}}}
    }})");
  const auto only_error = [&](const char* text) {
    const auto errors = schema.Check(Json::parse(text));
    REQUIRE(errors.size() == 1);
    return errors.front();
  };

  SUBCASE("for a value above its range") {
    const Error error = only_error(R"({"port": 70000})");
    CHECK(error.code == ResultCode::kFieldOutOfRange);
    CHECK(error.pointer == "/port");
    CHECK(error.message.find("allowed 1 to 65535") != std::string::npos);
  }
  SUBCASE("for a value of the wrong type") {
    const Error error = only_error(R"({"port": "80"})");
    CHECK(error.code == ResultCode::kFieldWrongType);
    CHECK(error.message.find("'type'") != std::string::npos);
    CHECK(error.message.find("allowed 1 to 65535") != std::string::npos);
  }
  SUBCASE("for a missing field") {
    CHECK(only_error("{}").code == ResultCode::kFieldMissing);
  }
  SUBCASE("for an unknown field") {
    const Error error = only_error(R"({"port": 1, "prot": 2})");
    CHECK(error.code == ResultCode::kFieldUnknown);
    CHECK(error.message.find("prot") != std::string::npos);
  }
  SUBCASE("for a value outside an enumeration, with the allowed values") {
    const Error error = only_error(R"({"port": 1, "level": "loud"})");
    CHECK(error.code == ResultCode::kFieldOutOfRange);
    CHECK(error.message.find("debug") != std::string::npos);
  }
  SUBCASE("for a nested value, with its full pointer") {
    const Error error =
        only_error(R"({"port": 1, "list": [{"name": "a"}, {"name": "A"}]})");
    CHECK(error.pointer == "/list/1/name");
  }
  SUBCASE("for two errors in one pass") {
    CHECK(schema.Check(Json::parse(R"({"port": 0, "level": 3})")).size() == 2);
  }
}

TEST_CASE("Metrics report latency quantiles accurate to one bucket") {
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
