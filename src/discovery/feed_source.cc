#include "discovery/feed_source.h"

#include <algorithm>
#include <set>

#include "framework/hash.h"

namespace limpetrudder {
namespace {

// A source that failed isn't asked again for this long.
constexpr Duration kSetAside = Seconds(3);

// After a failure the next source is asked at once, but no more often than
// this.
constexpr Duration kRetry = Millis(50);

// An instance that is ahead is asked no more often than this, since its answer
// may be a whole listing: a megabyte takes half a second on the smallest link.
constexpr Duration kAheadInterval = Millis(500);

// A number in [0, 1) that is an instance's own.
double UnitOf(const std::string& name) {
  return static_cast<double>(Hash64(name) >> 11) * 0x1.0p-53;
}

// Instances that aren't readers call a store of which nothing is heard within a
// span that grows with the fleet beyond the first ones, so that two hundred
// instances make ten calls a second.
constexpr std::size_t kFreeCallers = 80;
constexpr Duration kSpreadPerCaller = Millis(200);
constexpr Duration kLongestSpread = Seconds(20);

// Larger instances are readers first: following the store takes some percent of
// a small one's processor.
double ReaderScore(const InstanceEntry& instance) {
  return instance.cores * 4 + UnitOf(instance.name);
}

}  // namespace

const std::string& FeedSource::RegionOf(const InstanceEntry& instance) const {
  const auto found = regions_.find(instance.data_centre);
  return found == regions_.end() ? instance.data_centre : found->second;
}

std::vector<InstanceEntry> FeedSource::Readers(
    const std::vector<InstanceEntry>& instances) const {
  std::vector<InstanceEntry> sorted = instances;
  std::sort(sorted.begin(), sorted.end(),
            [](const InstanceEntry& a, const InstanceEntry& b) {
              return ReaderScore(a) > ReaderScore(b);
            });
  const std::size_t wanted = std::max<std::size_t>(
      kFewestReaders,
      (instances.size() + kInstancesPerReader - 1) / kInstancesPerReader);
  // One of each region first, so that a region that is cut off has its own.
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

void FeedSource::Update(const std::vector<InstanceEntry>& instances) {
  const auto readers = Readers(instances);
  const std::size_t callers =
      instances.size() - std::min(instances.size(), kFreeCallers);
  spread_ = std::min(kLongestSpread,
                     kSpreadPerCaller * static_cast<std::int64_t>(callers));
  readers_.clear();
  others_.clear();
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
      others_.push_back(instance);
  }
  const std::string& region = RegionOf(own_);
  std::stable_sort(readers_.begin(), readers_.end(),
                   [&](const InstanceEntry& a, const InstanceEntry& b) {
                     return (RegionOf(a) == region) > (RegionOf(b) == region);
                   });
}

bool FeedSource::ShouldReadStore(Time heard, Time now) const {
  return now > NextOwnRead(heard);
}

Time FeedSource::NextOwnRead(Time heard) const {
  if (is_reader_ || readers_.empty() || heard == Time::min())
    return Time::min();
  return std::max(heard + kFresh + OwnPlaceIn(spread_), next_own_read_);
}

void FeedSource::OnOwnRead(Time now) {
  next_own_read_ = now + spread_;
}

Duration FeedSource::OwnPlaceIn(Duration span) const {
  return Scaled(span, UnitOf(own_.name));
}

bool FeedSource::IsSetAside(const std::string& name, Time now) const {
  const auto found = set_aside_.find(name);
  return found != set_aside_.end() && now < found->second;
}

std::optional<InstanceEntry> FeedSource::Ask(Time heard,
                                             bool store_answers,
                                             Time now,
                                             Time* next) {
  *next = kNever;
  // NOTE A reader in touch with the store has no request.
  if (asking_ || (is_reader_ && store_answers && heard != Time::min() &&
                  now - heard <= kFresh)) {
    return std::nullopt;
  }
  if (now < ask_at_) {
    *next = ask_at_;
    return std::nullopt;
  }
  std::optional<InstanceEntry> chosen;
  for (const auto& reader : readers_) {
    if (!IsSetAside(reader.name, now)) {
      chosen = reader;
      break;
    }
  }
  if (!chosen && !others_.empty()) {
    const auto& other = others_[random_.Below(others_.size())];
    if (!IsSetAside(other.name, now))
      chosen = other;
  }
  if (!chosen) {
    *next = now + kSetAside / 4;
    return std::nullopt;
  }
  asking_ = true;
  return chosen;
}

void FeedSource::OnAnswer(const std::string& name, Duration age, Time now) {
  asking_ = false;
  ask_at_ = now;
  if (age > kFresh) {
    set_aside_[name] = now + kSetAside;
    ask_at_ = now + kRetry;
  } else {
    set_aside_.erase(name);
  }
}

std::optional<InstanceEntry> FeedSource::AskAhead(const std::string& name,
                                                  Time now) {
  if (asking_ahead_ || now < ask_ahead_at_)
    return std::nullopt;
  for (const auto* list : {&readers_, &others_}) {
    for (const auto& instance : *list) {
      if (instance.name != name)
        continue;
      asking_ahead_ = true;
      ask_ahead_at_ = now + kAheadInterval;
      return instance;
    }
  }
  return std::nullopt;
}

void FeedSource::OnFailure(const std::string& name, Time now) {
  asking_ = false;
  set_aside_[name] = now + kSetAside;
  ask_at_ = now + kRetry;
}

}  // namespace limpetrudder
