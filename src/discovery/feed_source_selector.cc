#include "discovery/feed_source_selector.h"

#include <algorithm>
#include <set>

#include "framework/hash.h"

namespace limpetrudder {
namespace {

// How long no changes are requested from a source that failed.
constexpr Duration kSourceBackoff = Seconds(3);

// Time from a failure to the request to the next source.
constexpr Duration kMinRequestInterval = Millis(50);

// Minimum time between two requests for newer routes. A response may be a whole
// listing: one megabyte takes half a second on the smallest link.
constexpr Duration kNewerRoutesInterval = Millis(500);

// Maps the name of an instance to a number in [0, 1).
double UnitHash(const std::string& name) {
  return static_cast<double>(Hash64(name) >> 11) * 0x1.0p-53;
}

// Non-readers spread their calls to an unreachable store over a period that
// grows with each instance beyond kMaxUnspreadInstances, so that two hundred
// instances make ten calls a second.
constexpr std::size_t kMaxUnspreadInstances = 80;
constexpr Duration kSpreadPerInstance = Millis(200);
constexpr Duration kMaxSpread = Seconds(20);

// Prefers instances with more cores as readers: reading the store takes some
// percent of a small instance's processor.
double ReaderScore(const InstanceEntry& instance) {
  return instance.cores * 4 + UnitHash(instance.name);
}

}  // namespace

const std::string& FeedSourceSelector::RegionOf(
    const InstanceEntry& instance) const {
  const auto found = regions_.find(instance.data_centre);
  return found == regions_.end() ? instance.data_centre : found->second;
}

std::vector<InstanceEntry> FeedSourceSelector::Readers(
    const std::vector<InstanceEntry>& instances) const {
  std::vector<InstanceEntry> sorted = instances;
  std::sort(sorted.begin(), sorted.end(),
            [](const InstanceEntry& a, const InstanceEntry& b) {
              return ReaderScore(a) > ReaderScore(b);
            });
  const std::size_t wanted = std::max<std::size_t>(
      kMinReaders,
      (instances.size() + kInstancesPerReader - 1) / kInstancesPerReader);
  // One reader of each region comes first, so that a region that is cut off has
  // a reader of its own.
  std::vector<InstanceEntry> readers;
  std::vector<InstanceEntry> rest;
  std::set<std::string> regions;
  for (auto& instance : sorted) {
    if (regions.insert(RegionOf(instance)).second)
      readers.push_back(instance);
    else
      rest.push_back(instance);
  }
  for (std::size_t i = 0; i < rest.size() && readers.size() < wanted; ++i)
    readers.push_back(rest[i]);
  if (readers.size() > wanted)
    readers.resize(wanted);
  return readers;
}

void FeedSourceSelector::Update(const std::vector<InstanceEntry>& instances) {
  const auto readers = Readers(instances);
  const std::size_t spread_instances =
      instances.size() - std::min(instances.size(), kMaxUnspreadInstances);
  read_spread_ =
      std::min(kMaxSpread, kSpreadPerInstance *
                               static_cast<std::int64_t>(spread_instances));
  readers_.clear();
  non_readers_.clear();
  is_reader_ = readers.empty();
  std::set<std::string> names;
  for (const auto& reader : readers) {
    names.insert(reader.name);
    if (reader.name == own_.name)
      is_reader_ = true;
    else
      readers_.push_back(reader);
  }
  for (const auto& instance : instances) {
    if (names.count(instance.name) == 0 && instance.name != own_.name)
      non_readers_.push_back(instance);
  }
  const std::string& region = RegionOf(own_);
  std::stable_sort(readers_.begin(), readers_.end(),
                   [&](const InstanceEntry& a, const InstanceEntry& b) {
                     return (RegionOf(a) == region) > (RegionOf(b) == region);
                   });
}

bool FeedSourceSelector::ShouldReadStore(Time last_response, Time now) const {
  return now > NextStoreRead(last_response);
}

Time FeedSourceSelector::NextStoreRead(Time last_response) const {
  if (is_reader_ || readers_.empty() || last_response == Time::min())
    return Time::min();
  return std::max(last_response + kMaxStaleness + OwnOffsetIn(read_spread_),
                  next_store_read_);
}

void FeedSourceSelector::OnStoreRead(Time now) {
  next_store_read_ = now + read_spread_;
}

Duration FeedSourceSelector::OwnOffsetIn(Duration span) const {
  return Scaled(span, UnitHash(own_.name));
}

bool FeedSourceSelector::IsInBackoff(const std::string& name, Time now) const {
  const auto found = backoff_until_.find(name);
  return found != backoff_until_.end() && now < found->second;
}

std::optional<InstanceEntry> FeedSourceSelector::StartRequest(
    Time last_response,
    bool store_reachable,
    Time now,
    Time* next) {
  *next = kNever;
  // A reader with a recent response from the store needs no other source.
  if (request_pending_ ||
      (is_reader_ && store_reachable && last_response != Time::min() &&
       now - last_response <= kMaxStaleness)) {
    return std::nullopt;
  }
  if (now < next_request_) {
    *next = next_request_;
    return std::nullopt;
  }
  std::optional<InstanceEntry> chosen;
  for (const auto& reader : readers_) {
    if (!IsInBackoff(reader.name, now)) {
      chosen = reader;
      break;
    }
  }
  if (!chosen && !non_readers_.empty()) {
    const auto& other = non_readers_[random_.Below(non_readers_.size())];
    if (!IsInBackoff(other.name, now))
      chosen = other;
  }
  if (!chosen) {
    *next = now + kSourceBackoff / 4;
    return std::nullopt;
  }
  request_pending_ = true;
  return chosen;
}

void FeedSourceSelector::OnResponse(const std::string& name,
                                    Duration age,
                                    Time now) {
  request_pending_ = false;
  next_request_ = now;
  if (age > kMaxStaleness) {
    backoff_until_[name] = now + kSourceBackoff;
    next_request_ = now + kMinRequestInterval;
  } else {
    backoff_until_.erase(name);
  }
}

std::optional<InstanceEntry> FeedSourceSelector::StartNewerRoutesRequest(
    const std::string& name,
    Time now) {
  if (newer_routes_request_pending_ || now < next_newer_routes_request_)
    return std::nullopt;
  for (const auto* list : {&readers_, &non_readers_}) {
    for (const auto& instance : *list) {
      if (instance.name != name)
        continue;
      newer_routes_request_pending_ = true;
      next_newer_routes_request_ = now + kNewerRoutesInterval;
      return instance;
    }
  }
  return std::nullopt;
}

void FeedSourceSelector::OnFailure(const std::string& name, Time now) {
  request_pending_ = false;
  backoff_until_[name] = now + kSourceBackoff;
  next_request_ = now + kMinRequestInterval;
}

}  // namespace limpetrudder
