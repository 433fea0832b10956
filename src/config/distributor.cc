#include "config/distributor.h"

#include <algorithm>
#include <utility>

#include "framework/hash.h"

namespace limpetrudder {
namespace {

// How many peers an instance tells of a new revision.
constexpr std::size_t kAnnounceFanout = 3;
constexpr Duration kPullTimeout = Millis(800);

}  // namespace

void Distributor::OnPlatformRoot(const Manifest& manifest, Time now) {
  if (manifest.revision < manifest_.revision) {
    actions_.push_back(ConfigAlarm{
        ResultCode::kRevisionTooLow,
        "the platform offers revision " + std::to_string(manifest.revision) +
            " while " + std::to_string(manifest_.revision) + " is in force"});
    return;
  }
  Offer(manifest, std::string(), now);
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
  Offer(manifest, peer, now);
}

void Distributor::Offer(const Manifest& manifest,
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
    return Apply(manifest);
  pull_ = Pull{source, now, manifest};
  actions_.push_back(FetchParts{source, std::move(missing)});
}

void Distributor::OnParts(const std::string& peer,
                          const PartTexts& texts,
                          Time) {
  for (const auto& [name, text] : texts) {
    if (Sha256Hex(*text) == name)
      texts_[name] = text;
  }
  if (!pull_ || pull_->source != peer || !pull_->manifest)
    return;
  const Manifest manifest = *pull_->manifest;
  const bool whole =
      std::all_of(manifest.parts.begin(), manifest.parts.end(),
                  [&](const auto& name) { return texts_.count(name) > 0; });
  if (!whole)
    return OnFetchFailed(peer);
  Apply(manifest);
}

void Distributor::OnFetchFailed(const std::string& peer) {
  if (pull_ && pull_->source == peer)
    pull_.reset();
}

void Distributor::Apply(Manifest manifest) {
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
  Announce();
}

void Distributor::Announce() {
  std::vector<std::string> peers = peers_.local;
  for (std::size_t i = 0; i < kAnnounceFanout && !peers.empty(); ++i) {
    const std::size_t pick = random_.Below(peers.size());
    actions_.push_back(AnnounceRevision{peers[pick], manifest_.revision});
    peers.erase(peers.begin() + static_cast<std::ptrdiff_t>(pick));
  }
  for (const auto& peer : peers_.remote_relays)
    actions_.push_back(AnnounceRevision{peer, manifest_.revision});
}

void Distributor::Turn(Time now) {
  if (IsPullStale(now))
    pull_.reset();
  std::vector<std::string> peers = peers_.local;
  peers.insert(peers.end(), peers_.remote_relays.begin(),
               peers_.remote_relays.end());
  if (peers.empty())
    return;
  const std::size_t pick = random_.Below(peers.size());
  actions_.push_back(AnnounceRevision{peers[pick], manifest_.revision});
}

bool Distributor::IsPullStale(Time now) const {
  return pull_ && now - pull_->started >= kPullTimeout;
}

std::vector<DistributorAction> Distributor::TakeActions() {
  return std::exchange(actions_, {});
}

}  // namespace limpetrudder
