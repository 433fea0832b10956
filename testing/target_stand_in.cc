#include "testing/target_stand_in.h"

#include <algorithm>
#include <utility>

#include "framework/clock.h"
#include "testing/service_time.h"

namespace limpetrudder::testbed {
namespace {

using Clock = std::chrono::steady_clock;

constexpr std::uint64_t kHeldVersions = 3;

std::chrono::microseconds MillisToMicros(double millis) {
  return std::chrono::microseconds(static_cast<std::int64_t>(millis * 1000));
}

// Returns the share of the words in `terms` that `title` contains.
double MatchScore(const std::string& title, const std::string& terms) {
  int total = 0;
  int found = 0;
  std::size_t begin = 0;
  while (begin < terms.size()) {
    const std::size_t end = std::min(terms.find(' ', begin), terms.size());
    if (end > begin) {
      ++total;
      const std::string term = terms.substr(begin, end - begin);
      found += title.find(term) != std::string::npos ? 1 : 0;
    }
    begin = end + 1;
  }
  return total == 0 ? 0 : static_cast<double>(found) / total;
}

template <typename T>
void UpdateField(const nlohmann::json& json, const char* name, T* value) {
  if (json.contains(name))
    *value = json.at(name).get<T>();
}

}  // namespace

TargetStandIn::TargetStandIn(asio::io_context* context,
                             std::string name,
                             const std::string& address,
                             std::string shard,
                             TargetBehaviour behaviour,
                             std::vector<CatalogueItem> items,
                             std::uint64_t seed)
    : context_(context),
      name_(std::move(name)),
      shard_(std::move(shard)),
      behaviour_(std::move(behaviour)),
      items_(std::move(items)),
      random_(seed),
      http_(context, address, [this](ServerRequest request, Responder respond) {
        OnRequest(std::move(request), std::move(respond));
      }) {}

void TargetStandIn::Change(const Json& json) {
  UpdateField(json, "slots", &behaviour_.slots);
  UpdateField(json, "connections", &behaviour_.connections);
  UpdateField(json, "connect_cost_ms", &behaviour_.connect_cost_ms);
  UpdateField(json, "service_ms", &behaviour_.service_ms);
  UpdateField(json, "service_sigma", &behaviour_.service_sigma);
  UpdateField(json, "straggler_share", &behaviour_.straggler_share);
  UpdateField(json, "straggler_factor", &behaviour_.straggler_factor);
  UpdateField(json, "slow_factor", &behaviour_.slow_factor);
  UpdateField(json, "queue", &behaviour_.queue);
  UpdateField(json, "cold_requests", &behaviour_.cold_requests);
  UpdateField(json, "health_lag_ms", &behaviour_.health_lag_ms);
  UpdateField(json, "advance_ms", &behaviour_.advance_ms);
  UpdateField(json, "advance_lag_ms", &behaviour_.advance_lag_ms);
  UpdateField(json, "map_epoch", &behaviour_.map_epoch);
  UpdateField(json, "draining", &behaviour_.draining);
  UpdateField(json, "crossed", &behaviour_.crossed);
  UpdateField(json, "redirect", &behaviour_.redirect);
  UpdateField(json, "frozen", &behaviour_.frozen);
  if (!behaviour_.frozen) {
    for (auto& [request, respond] : std::exchange(frozen_requests_, {}))
      OnRequest(std::move(request), std::move(respond));
  }
  if (json.contains("silence_share")) {
    for (std::uint64_t connection : seen_connections_) {
      if (random_.Unit() < json["silence_share"].get<double>())
        silent_connections_.insert(connection);
    }
  }
  if (json.contains("dead")) {
    if (json["dead"].get<bool>())
      http_.Close();
    else
      http_.Open();
  }
}

bool TargetStandIn::IsSilent(std::uint64_t connection) const {
  return silent_connections_.count(connection) > 0;
}

void TargetStandIn::OnRequest(ServerRequest request, Responder respond) {
  if (IsSilent(request.connection)) {
    ++counters_["swallowed"];
    return;
  }
  if (behaviour_.frozen) {
    frozen_requests_.emplace_back(std::move(request), std::move(respond));
    return;
  }
  if (request.path == "/v1/health")
    return respond({200, LaggedReport().dump()});
  if (request.path == "/v1/cancel") {
    return OnCancel(Json::parse(request.body, nullptr, false), respond);
  }
  const bool write = request.path == "/v1/write";
  const bool is_new = seen_connections_.insert(request.connection).second;
  if (!is_new || behaviour_.connect_cost_ms <= 0)
    return HandleWork(request, std::move(respond), write);
  auto timer = std::make_shared<asio::steady_timer>(
      *context_, MillisToMicros(behaviour_.connect_cost_ms));
  timer->async_wait(
      [this, timer, request, respond, write](const asio::error_code&) {
        HandleWork(request, respond, write);
      });
}

void TargetStandIn::Respond(const Responder& respond, int status, Json body) {
  body["state"] = behaviour_.draining ? "draining" : "serving";
  body["held"] = HeldSnapshots();
  respond({status, body.dump()});
}

void TargetStandIn::HandleWork(const ServerRequest& request,
                               Responder respond,
                               bool write) {
  ++counters_[write ? "writes" : "searches"];
  Json body = Json::parse(request.body, nullptr, false);
  if (!body.is_object())
    return Respond(respond, 400, {{"error", "malformed"}});
  if (write && !behaviour_.redirect.empty()) {
    return respond({307, "", "text/plain"});
  }
  const std::string attempt = body.value("attempt", std::string());
  if (http_.connections() > behaviour_.connections) {
    ++counters_["over_connections"];
    return Respond(respond, 503,
                   {{"attempt", attempt},
                    {"error", "connections"},
                    {"retry_after_ms", 50}});
  }
  if (behaviour_.draining) {
    ++counters_["refused_draining"];
    return Respond(respond, 503, {{"attempt", attempt}, {"error", "draining"}});
  }
  if (body.value("deadline_unix_ms", UnixMillis()) < UnixMillis())
    return Respond(respond, 504,
                   {{"attempt", attempt}, {"error", "deadline_passed"}});
  if (!write) {
    if (body.value("map_epoch", std::uint64_t{0}) != behaviour_.map_epoch &&
        body.value("map_epoch", std::uint64_t{0}) != 0) {
      return Respond(respond, 409,
                     {{"attempt", attempt}, {"error", "map_not_held"}});
    }
    const std::uint64_t version = body.value("version", std::uint64_t{0});
    const std::uint64_t newest = NewestVersion();
    if (version != 0 && (version > newest || version + kHeldVersions <= newest))
      return Respond(respond, 409,
                     {{"attempt", attempt}, {"error", "version_not_held"}});
    if (version == 0)
      body["version"] = newest;
  }
  if (waiting_.size() >= static_cast<std::size_t>(behaviour_.queue)) {
    ++counters_["shed"];
    return Respond(
        respond, 429,
        {{"attempt", attempt}, {"error", "shed"}, {"retry_after_ms", 50}});
  }
  auto job = std::make_shared<Job>();
  job->attempt = attempt;
  job->request = std::move(body);
  job->respond = std::move(respond);
  job->write = write;
  waiting_.push_back(std::move(job));
  counters_["most_waiting"] =
      std::max<std::uint64_t>(counters_["most_waiting"], waiting_.size());
  StartJobs();
}

void TargetStandIn::StartJobs() {
  while (!waiting_.empty() &&
         running_.size() < static_cast<std::size_t>(behaviour_.slots)) {
    auto job = waiting_.front();
    waiting_.pop_front();
    Run(job);
  }
}

double TargetStandIn::SampleServiceMs() {
  double ms = behaviour_.slow_factor *
              Sample({behaviour_.service_ms, behaviour_.service_sigma,
                      behaviour_.straggler_share, behaviour_.straggler_factor},
                     &random_);
  if (behaviour_.cold_requests > 0) {
    --behaviour_.cold_requests;
    ms *= behaviour_.cold_factor;
  }
  return ms;
}

void TargetStandIn::Run(const std::shared_ptr<Job>& job) {
  ++counters_["started"];
  job->running = true;
  running_.push_back(job);
  if (job->write)
    ++runs_by_key_[job->request.value("key", std::string())];
  job->timer = std::make_shared<asio::steady_timer>(
      *context_, MillisToMicros(SampleServiceMs()));
  job->timer->async_wait([this, job](const asio::error_code& error) {
    // NOTE The job may be cancelled after the timer has fired.
    if (!error && job->running)
      FinishJob(job);
  });
}

void TargetStandIn::FinishJob(const std::shared_ptr<Job>& job) {
  ++counters_["finished"];
  std::erase(running_, job);
  if (job->write) {
    Respond(job->respond, 200,
            {{"key", job->request.value("key", "")}, {"result", "held"}});
  } else {
    Respond(job->respond, 200, SearchResponse(*job));
  }
  StartJobs();
}

void TargetStandIn::OnCancel(const Json& body, const Responder& respond) {
  const std::string attempt =
      body.is_object() ? body.value("attempt", std::string()) : std::string();
  const auto is_cancelled = [&](const auto& job) {
    return !job->write && job->attempt == attempt;
  };
  ++counters_["cancels"];
  const auto waiting =
      std::find_if(waiting_.begin(), waiting_.end(), is_cancelled);
  if (waiting != waiting_.end()) {
    Respond((*waiting)->respond, 499, {{"attempt", attempt}});
    waiting_.erase(waiting);
  }
  const auto running =
      std::find_if(running_.begin(), running_.end(), is_cancelled);
  if (running != running_.end()) {
    const auto job = *running;
    job->timer->cancel();
    job->running = false;
    running_.erase(running);
    Respond(job->respond, 499, {{"attempt", attempt}});
    StartJobs();
  }
  respond({200, "{}"});
}

nlohmann::json TargetStandIn::SearchResponse(const Job& job) {
  const std::string terms = job.request.value("terms", std::string());
  const std::uint64_t version = job.request.at("version");
  Json hits = Json::array();
  for (const auto& item : items_) {
    const double score = MatchScore(item.title, terms);
    if (score > 0)
      hits.push_back(
          {{"id", item.id}, {"title", item.title}, {"score", score}});
  }
  const std::string reported_attempt =
      behaviour_.crossed && !last_attempt_.empty() ? last_attempt_
                                                   : job.attempt;
  last_attempt_ = job.attempt;
  return {{"attempt", reported_attempt},
          {"shard", job.request.value("shard", shard_)},
          {"map_epoch", behaviour_.map_epoch},
          {"version", version},
          {"age_ms", behaviour_.advance_ms * (NewestVersion() - version)},
          {"hits", std::move(hits)}};
}

std::uint64_t TargetStandIn::NewestVersion() const {
  if (behaviour_.advance_ms <= 0)
    return kHeldVersions;
  // NOTE Wall time, so that servers in different processes advance together.
  return static_cast<std::uint64_t>((UnixMillis() - behaviour_.advance_lag_ms) /
                                    behaviour_.advance_ms);
}

nlohmann::json TargetStandIn::HeldSnapshots() const {
  Json held = Json::array();
  const std::uint64_t newest = NewestVersion();
  for (std::uint64_t i = kHeldVersions; i-- > 0;)
    held.push_back({behaviour_.map_epoch, newest - i});
  return held;
}

nlohmann::json TargetStandIn::Report() {
  return {{"state", behaviour_.draining ? "draining" : "serving"},
          {"held", HeldSnapshots()},
          {"in_flight", running_.size()},
          {"waiting", waiting_.size()}};
}

nlohmann::json TargetStandIn::LaggedReport() {
  const auto now = Clock::now();
  reports_.push_back({now, Report()});
  const auto visible =
      now - std::chrono::milliseconds(behaviour_.health_lag_ms);
  while (reports_.size() > 1 && reports_[1].at <= visible)
    reports_.pop_front();
  return reports_.front().report;
}

nlohmann::json TargetStandIn::Counters() const {
  Json json = counters_;
  json["connections"] = http_.connections();
  json["most_connections"] = http_.max_connections();
  json["runs_by_key"] = runs_by_key_;
  return json;
}

}  // namespace limpetrudder::testbed
