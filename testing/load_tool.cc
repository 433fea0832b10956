#include "testing/load_tool.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <mutex>
#include <thread>

#include "framework/random.h"
#include "net/http_client.h"

namespace limpetrudder::testbed {
namespace {

using Json = nlohmann::ordered_json;
using Clock = std::chrono::steady_clock;

constexpr std::size_t kClientCapacity = 65536;
constexpr Duration kTimeout = Seconds(5);

double Quantile(std::vector<double>* sorted, double q) {
  if (sorted->empty())
    return 0;
  const auto index = static_cast<std::size_t>(
      std::lround(q * static_cast<double>(sorted->size() - 1)));
  return (*sorted)[index];
}

Json Quantiles(std::vector<double>* values) {
  std::sort(values->begin(), values->end());
  const auto round = [](double value) { return std::round(value * 100) / 100; };
  return {{"count", values->size()},
          {"p50", round(Quantile(values, 0.5))},
          {"p90", round(Quantile(values, 0.9))},
          {"p99", round(Quantile(values, 0.99))},
          {"p999", round(Quantile(values, 0.999))}};
}

// Results, written on the client's thread and read after the client stopped.
struct Tally {
  std::vector<double> answered_ms;  // Whole or partial answers.
  std::vector<double> refused_ms;
  std::map<std::string, std::uint64_t> codes;
  std::uint64_t whole = 0;
  double shards_total = 0;
  double shards_answered = 0;
  double sub_queries = 0;
  double extra_sub_queries = 0;
  std::uint64_t mixed = 0;
};

void CountResponse(const HttpResponse& response, double millis, Tally* tally) {
  if (response.status != TransferStatus::kAnswered) {
    ++tally->codes["no_reply"];
    return;
  }
  const auto body = nlohmann::json::parse(response.body, nullptr, false);
  if (!body.is_object() || !body.contains("code")) {
    ++tally->codes["unreadable"];
    return;
  }
  ++tally->codes[body["code"].value("name", "unreadable")];
  tally->sub_queries += body.value("sub_queries", 0.0);
  tally->extra_sub_queries += body.value("extra_sub_queries", 0.0);
  if (response.http_status != 200) {
    tally->refused_ms.push_back(millis);
    return;
  }
  tally->answered_ms.push_back(millis);
  const auto& coverage = body["coverage"];
  tally->shards_total += coverage.value("shards_total", 0.0);
  tally->shards_answered += coverage.value("shards_answered", 0.0);
  tally->whole += coverage.value("complete", false) ? 1 : 0;
}

}  // namespace

Json RunLoad(const LoadOptions& options) {
  HttpClient client(kClientCapacity);
  client.Start();
  Random random(options.seed);
  Tally tally;
  std::mutex mutex;
  std::uint64_t outstanding = 0;
  std::uint64_t counted = 0;
  const auto start = Clock::now();
  const auto due_at = [&](double seconds) {
    return start + std::chrono::duration_cast<Clock::duration>(
                       std::chrono::duration<double>(seconds));
  };
  double send_at = 0;
  std::uint64_t tag = 0;
  const double end = options.warmup_seconds + options.seconds;
  while (true) {
    send_at += -std::log(1.0 - random.Unit()) / options.rate;
    if (send_at >= end)
      break;
    std::this_thread::sleep_until(due_at(send_at));
    HttpRequest request;
    request.tag = ++tag;
    request.method = "POST";
    request.address = options.addresses[random.Below(options.addresses.size())];
    request.path = "/v1/search";
    request.headers = {"Authorization: Bearer " +
                       options.tokens[random.Below(options.tokens.size())]};
    request.body =
        Json{{"collection", options.collection}, {"terms", options.terms}}
            .dump();
    request.timeout = kTimeout;
    const bool is_counted = send_at >= options.warmup_seconds;
    const auto due = due_at(send_at);
    {
      std::lock_guard lock(mutex);
      ++outstanding;
      counted += is_counted ? 1 : 0;
    }
    client.Send(std::move(request), [&, due,
                                     is_counted](HttpResponse response) {
      const double millis =
          std::chrono::duration<double, std::milli>(Clock::now() - due).count();
      std::lock_guard lock(mutex);
      --outstanding;
      if (is_counted)
        CountResponse(response, millis, &tally);
    });
  }
  while (true) {
    std::this_thread::sleep_for(std::chrono::milliseconds(20));
    std::lock_guard lock(mutex);
    if (outstanding == 0)
      break;
  }
  client.Stop();
  Json result;
  result["sent"] = counted;
  result["answered_per_s"] =
      std::round(static_cast<double>(tally.answered_ms.size()) /
                 options.seconds * 10) /
      10;
  result["whole_per_s"] =
      std::round(static_cast<double>(tally.whole) / options.seconds * 10) / 10;
  result["answered_ms"] = Quantiles(&tally.answered_ms);
  result["refused_ms"] = Quantiles(&tally.refused_ms);
  result["coverage"] =
      tally.shards_total > 0 ? tally.shards_answered / tally.shards_total : 0;
  result["extra_load"] = tally.sub_queries > 0
                             ? tally.extra_sub_queries /
                                   (tally.sub_queries - tally.extra_sub_queries)
                             : 0;
  result["codes"] = tally.codes;
  return result;
}

Json LatencyFloor(int shards, const ServiceTime& service) {
  constexpr int kQueries = 200'000;
  Random random(1);
  std::vector<double> slowest;
  slowest.reserve(kQueries);
  for (int i = 0; i < kQueries; ++i) {
    double longest = 0;
    for (int shard = 0; shard < shards; ++shard)
      longest = std::max(longest, Sample(service, &random));
    slowest.push_back(longest);
  }
  return Quantiles(&slowest);
}

}  // namespace limpetrudder::testbed
