#include "config/distributor.h"

#include <algorithm>
#include <utility>

#include "framework/hash.h"

namespace limpetrudder {
namespace {

// How many local peers each announcement goes to.
constexpr std::size_t kAnnounceFanout = 3;
constexpr Duration kPullTimeout = Millis(800);

// How many times an instance announces a new revision, each time to newly
// picked random peers. With a single announcement to three peers, one instance
// in seventeen would learn of the change only from the periodic announcements.
constexpr int kAnnouncementsPerRevision = 3;
constexpr Duration kAnnounceInterval = Millis(150);

// How often an instance announces its revision to one random peer, so that a
// peer that missed the announcements of a change catches up.
constexpr Duration kPeriodicAnnounceInterval = Seconds(1);

}  // namespace

void Distributor::OnPlatformRoot(const Manifest& manifest, Time now) {
  if (manifest.revision < manifest_.revision) {
    actions_.push_back(
        ConfigAlarm{ResultCode::kRevisionTooLow,
                    "the platform holds revision " +
                        std::to_string(manifest.revision) + ", but revision " +
                        std::to_string(manifest_.revision) + " is in force"});
    return;
  }
  ApplyOrPull(manifest, std::string(), now);
}

void Distributor::OnPeerRevision(const std::string& peer,
                                 std::uint64_t revision,
                                 Time now) {
  if (revision <= manifest_.revision)
    return;
  if (pull_ && !IsPullStale(now))
    return;
  pull_ = Pull{peer, now, std::nullopt};
  actions_.push_back(FetchManifest{peer});
}

void Distributor::OnManifest(const std::string& peer,
                             const Manifest& manifest,
                             Time now) {
  ApplyOrPull(manifest, peer, now);
}

void Distributor::ApplyOrPull(const Manifest& manifest,
                              const std::string& source,
                              Time now) {
  if (manifest.revision <= manifest_.revision)
    return;
  if (pull_ && pull_->manifest &&
      pull_->manifest->revision >= manifest.revision && !IsPullStale(now)) {
    return;
  }
  std::vector<std::string> missing;
  for (const auto& name : manifest.parts) {
    if (!texts_.count(name))
      missing.push_back(name);
  }
  if (missing.empty())
    return Apply(manifest, now);
  pull_ = Pull{source, now, manifest};
  actions_.push_back(FetchParts{source, std::move(missing)});
}

void Distributor::OnParts(const std::string& peer,
                          const PartTexts& texts,
                          Time now) {
  for (const auto& [name, text] : texts) {
    if (Sha256Hex(*text) == name)
      texts_[name] = text;
  }
  if (!pull_ || pull_->source != peer || !pull_->manifest)
    return;
  const Manifest manifest = *pull_->manifest;
  const bool complete =
      std::all_of(manifest.parts.begin(), manifest.parts.end(),
                  [&](const auto& name) { return texts_.count(name) > 0; });
  if (!complete)
    return OnFetchFailed(peer);
  Apply(manifest, now);
}

void Distributor::OnFetchFailed(const std::string& peer) {
  if (pull_ && pull_->source == peer)
    pull_.reset();
}

void Distributor::Apply(Manifest manifest, Time now) {
  pull_.reset();
  if (manifest.revision <= manifest_.revision)
    return;
  auto document = assembler_.Assemble(manifest, texts_);
  if (!document) {
    actions_.push_back(
        ConfigAlarm{document.error().code, document.error().message});
    return;
  }
  manifest_ = std::move(manifest);
  std::erase_if(texts_, [&](const auto& entry) {
    return std::find(manifest_.parts.begin(), manifest_.parts.end(),
                     entry.first) == manifest_.parts.end();
  });
  auto config = std::make_shared<ConfigInForce>();
  config->revision = manifest_.revision;
  config->document = std::move(document.assume_value());
  actions_.push_back(ApplyConfig{std::move(config)});
  announcements_left_ = kAnnouncementsPerRevision - 1;
  next_announcement_ = now + kAnnounceInterval;
  Announce();
}

void Distributor::Announce() {
  AnnounceTo(peers_.local, kAnnounceFanout);
  AnnounceTo(peers_.remote_relays, peers_.remote_relays.size());
}

void Distributor::AnnounceTo(std::vector<std::string> peers,
                             std::size_t count) {
  for (std::size_t i = 0; i < count && !peers.empty(); ++i) {
    const std::size_t pick = random_.Below(peers.size());
    actions_.push_back(
        AnnounceRevision{std::move(peers[pick]), manifest_.revision});
    std::swap(peers[pick], peers.back());
    peers.pop_back();
  }
}

Time Distributor::Tick(Time now) {
  if (IsPullStale(now))
    pull_.reset();
  if (announcements_left_ > 0 && now >= next_announcement_) {
    --announcements_left_;
    next_announcement_ = now + kAnnounceInterval;
    Announce();
  }
  if (now >= next_periodic_announcement_) {
    next_periodic_announcement_ = now + kPeriodicAnnounceInterval;
    std::vector<std::string> peers = peers_.local;
    peers.insert(peers.end(), peers_.remote_relays.begin(),
                 peers_.remote_relays.end());
    AnnounceTo(std::move(peers), 1);
  }
  return announcements_left_ > 0
             ? std::min(next_announcement_, next_periodic_announcement_)
             : next_periodic_announcement_;
}

bool Distributor::IsPullStale(Time now) const {
  return pull_ && now - pull_->started >= kPullTimeout;
}

std::vector<DistributorAction> Distributor::TakeActions() {
  return std::exchange(actions_, {});
}

}  // namespace limpetrudder
