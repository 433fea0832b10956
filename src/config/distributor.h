#ifndef CONFIG_DISTRIBUTOR_H_
#define CONFIG_DISTRIBUTOR_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "config/manifest.h"
#include "framework/random.h"
#include "framework/time.h"

namespace limpetrudder {

// Actions that the distributor's owner carries out.
struct FetchManifest {
  std::string peer;
};
struct FetchParts {
  std::string peer;  // Empty: from the platform.
  std::vector<std::string> names;
};
struct AnnounceRevision {
  std::string peer;
  std::uint64_t revision = 0;
};
struct ApplyConfig {
  std::shared_ptr<const ConfigInForce> config;
};
// A condition to report to the operators.
struct ConfigAlarm {
  ResultCode code = ResultCode::kOk;
  std::string message;
};
using DistributorAction = std::variant<FetchManifest,
                                       FetchParts,
                                       AnnounceRevision,
                                       ApplyConfig,
                                       ConfigAlarm>;

// The instances that a change is announced to.
struct DistributionPeers {
  std::vector<std::string> local;          // In this data centre.
  std::vector<std::string> remote_relays;  // One for each other data centre.
};

// Brings accepted configurations into force on one instance and distributes
// them to its peers. An instance announces its revision to a few peers; a peer
// with a lower revision pulls the manifest and the parts that it lacks. A lower
// revision is never applied, whatever its source.
//
// Holds no clock and does no I/O. Not thread safe.
class Distributor {
 public:
  explicit Distributor(std::uint64_t seed) : random_(seed) {}

  void SetPeers(DistributionPeers peers) { peers_ = std::move(peers); }

  // The root was read from the platform's key-value service.
  void OnPlatformRoot(const Manifest& manifest, Time now);

  // A message from `peer` carried the revision that is in force there.
  void OnPeerRevision(const std::string& peer,
                      std::uint64_t revision,
                      Time now);

  // `peer` sent its manifest in response to FetchManifest.
  void OnManifest(const std::string& peer, const Manifest& manifest, Time now);

  // Parts arrived in response to FetchParts. A text whose SHA-256 differs from
  // its name is dropped. If parts are still missing then, the fetch has failed.
  void OnParts(const std::string& peer, const PartTexts& texts, Time now);

  // A fetch from `peer` (or the platform, if empty) failed.
  void OnFetchFailed(const std::string& peer);

  // Repeats the announcements of a new revision, and announces the current one
  // to one random peer every second. Returns when to be called next.
  Time Tick(Time now);

  // Returns the pending actions and clears them.
  std::vector<DistributorAction> TakeActions();

  // The revision in force, or 0.
  std::uint64_t revision() const { return manifest_.revision; }
  const Manifest& manifest() const { return manifest_; }
  const PartTexts& texts() const { return texts_; }

 private:
  struct Pull {
    std::string source;
    Time started{};
    std::optional<Manifest> manifest;  // Set once received.
  };

  void ApplyOrPull(const Manifest& manifest,
                   const std::string& source,
                   Time now);
  void Apply(Manifest manifest, Time now);
  void Announce();
  void AnnounceTo(std::vector<std::string> peers, std::size_t count);
  bool IsPullStale(Time now) const;

  Random random_;
  DistributionPeers peers_;
  Manifest manifest_;
  PartTexts texts_;
  DocumentAssembler assembler_;
  std::optional<Pull> pull_;
  int announcements_left_ = 0;
  Time next_announcement_{};
  Time next_periodic_announcement_{};
  std::vector<DistributorAction> actions_;
};

}  // namespace limpetrudder

#endif  // CONFIG_DISTRIBUTOR_H_
