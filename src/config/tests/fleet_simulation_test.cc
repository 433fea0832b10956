#include <algorithm>
#include <memory>
#include <optional>
#include <vector>

#include <doctest/doctest.h>

#include "config/distributor.h"
#include "config/publisher.h"
#include "config/tests/fake_platform.h"
#include "config/tests/test_document.h"

namespace limpetrudder {
namespace {

constexpr int kInstances = 6;
constexpr int kRelays = 2;

// Simulates instances, the platform and an operator, joined by a queue that
// drops, delays and reorders messages. Each step takes one random action and
// then checks the invariants.
class FleetSimulation {
 public:
  explicit FleetSimulation(std::uint64_t seed) : random_(seed) {
    for (int i = 0; i < kInstances; ++i)
      Restart(i);
  }

  void Step() {
    now_ += Millis(static_cast<std::int64_t>(random_.Below(200)));
    switch (random_.Below(12)) {
      case 0:
        Publish();
        break;
      case 1:
        StepPublisher();
        break;
      case 2:
        if (CanRestart())
          Restart(restart_candidate_);
        break;
      case 3:
        platform_.SetOutage(random_.Below(2) == 0);
        break;
      case 4:
        platform_.LoseReplies(static_cast<int>(random_.Below(3)));
        break;
      case 5:
        isolated_instance_ = static_cast<int>(random_.Below(kInstances + 1));
        break;
      case 6:
        ReadRootAt(static_cast<int>(random_.Below(kRelays)));
        break;
      case 7:
        instances_[random_.Below(kInstances)]->Tick(now_);
        break;
      default:
        DeliverRandomMessage();
        break;
    }
    HandleActions();
    CheckInvariants();
  }

  // Ends all faults and runs until all messages are delivered.
  void EndFaultsAndSettle() {
    platform_.SetOutage(false);
    platform_.LoseReplies(0);
    isolated_instance_ = kInstances;
    drops_messages_ = false;
    for (int round = 0; round < 60; ++round) {
      now_ += Millis(1000);
      StepPublisher();
      for (int relay = 0; relay < kRelays; ++relay)
        ReadRootAt(relay);
      for (auto& instance : instances_)
        instance->Tick(now_);
      HandleActions();
      while (!queue_.empty()) {
        DeliverRandomMessage();
        HandleActions();
      }
      CheckInvariants();
    }
    while (publisher_)
      StepPublisher();
  }

  void CheckConverged() {
    const std::uint64_t first = instances_[0]->revision();
    for (const auto& instance : instances_)
      REQUIRE(instance->revision() == first);
    REQUIRE(first >= accepted_revision_);
  }

  std::uint64_t accepted_revision() const { return accepted_revision_; }

 private:
  enum class MessageKind {
    kAnnounce,
    kManifest,
    kParts,
    kManifestRequest,
    kPartsRequest
  };

  struct Message {
    MessageKind kind = MessageKind::kAnnounce;
    int from = 0;
    int to = 0;
    std::uint64_t revision = 0;
    Manifest manifest;
    std::vector<std::string> names;
    PartTexts texts;
  };

  void Restart(int i) {
    if (static_cast<int>(instances_.size()) <= i) {
      instances_.emplace_back();
      last_revisions_.push_back(0);
    }
    instances_[static_cast<std::size_t>(i)] =
        std::make_unique<Distributor>(random_.Next());
    last_revisions_[static_cast<std::size_t>(i)] = 0;
    DistributionPeers peers;
    for (int other = 0; other < kInstances; ++other) {
      if (other != i)
        peers.local.push_back(std::to_string(other));
    }
    instances_[static_cast<std::size_t>(i)]->SetPeers(peers);
  }

  // Picks a random instance. It may lose its state only while another one has
  // at least its revision in force.
  bool CanRestart() {
    restart_candidate_ = static_cast<int>(random_.Below(kInstances));
    const auto& candidate =
        instances_[static_cast<std::size_t>(restart_candidate_)];
    return std::any_of(instances_.begin(), instances_.end(),
                       [&](const auto& other) {
                         return other != candidate &&
                                other->revision() >= candidate->revision();
                       });
  }

  void Publish() {
    if (publisher_)
      return;
    std::uint64_t highest = 0;
    for (const auto& instance : instances_)
      highest = std::max(highest, instance->revision());
    nlohmann::json json = TestDocumentJson(1, 2);
    json["collections"][0]["deadline_ms"] = 100 + random_.Below(1000);
    Change change{"change-" + std::to_string(++changes_),
                  std::max(highest, accepted_revision_),
                  "operator",
                  "reason",
                  "",
                  std::move(SplitIntoParts(json).assume_value())};
    publisher_ = std::make_unique<Publisher>(std::move(change), highest);
  }

  void StepPublisher() {
    if (!publisher_)
      return;
    publisher_->OnReply(platform_.Call(*publisher_->next_call()));
    if (!publisher_->outcome())
      return;
    if (publisher_->outcome()->code == ResultCode::kOk)
      accepted_revision_ =
          std::max(accepted_revision_, publisher_->outcome()->revision);
    publisher_.reset();
  }

  void ReadRootAt(int relay) {
    const KvReply reply =
        platform_.Call({KvCallKind::kRead, kRootKey, std::string(), 0});
    if (reply.status != KvStatus::kOk)
      return;
    instances_[static_cast<std::size_t>(relay)]->OnPlatformRoot(
        ReadRoot(reply.value).assume_value().manifest, now_);
  }

  void HandleAction(int from, const DistributorAction& action) {
    if (const auto* announce = std::get_if<AnnounceRevision>(&action)) {
      queue_.push_back({MessageKind::kAnnounce, from, std::stoi(announce->peer),
                        announce->revision});
    } else if (const auto* fetch = std::get_if<FetchManifest>(&action)) {
      queue_.push_back(
          {MessageKind::kManifestRequest, from, std::stoi(fetch->peer)});
    } else if (const auto* parts = std::get_if<FetchParts>(&action)) {
      if (parts->peer.empty()) {
        FetchFromPlatform(from, parts->names);
        return;
      }
      Message request{MessageKind::kPartsRequest, from, std::stoi(parts->peer)};
      request.names = parts->names;
      queue_.push_back(std::move(request));
    }
  }

  void FetchFromPlatform(int to, const std::vector<std::string>& names) {
    PartTexts texts;
    for (const auto& name : names) {
      const KvReply reply =
          platform_.Call({KvCallKind::kRead, PartKey(name), std::string(), 0});
      if (reply.status == KvStatus::kOk)
        texts[name] = std::make_shared<const std::string>(reply.value);
    }
    instances_[static_cast<std::size_t>(to)]->OnParts(std::string(), texts,
                                                      now_);
  }

  void HandleActions() {
    for (int i = 0; i < kInstances; ++i) {
      for (const auto& action :
           instances_[static_cast<std::size_t>(i)]->TakeActions()) {
        HandleAction(i, action);
      }
    }
  }

  void DeliverRandomMessage() {
    if (queue_.empty())
      return;
    // A random message comes next, which models delays and reordering.
    const auto pick = static_cast<std::ptrdiff_t>(random_.Below(queue_.size()));
    const Message message = queue_[static_cast<std::size_t>(pick)];
    queue_.erase(queue_.begin() + pick);
    const bool isolated =
        message.from == isolated_instance_ || message.to == isolated_instance_;
    if (isolated || (drops_messages_ && random_.Below(5) == 0))
      return;
    Distributor& to = *instances_[static_cast<std::size_t>(message.to)];
    const std::string from = std::to_string(message.from);
    switch (message.kind) {
      case MessageKind::kAnnounce:
        return to.OnPeerRevision(from, message.revision, now_);
      case MessageKind::kManifestRequest: {
        Message reply{MessageKind::kManifest, message.to, message.from};
        reply.manifest = to.manifest();
        queue_.push_back(std::move(reply));
        return;
      }
      case MessageKind::kPartsRequest: {
        Message reply{MessageKind::kParts, message.to, message.from};
        for (const auto& name : message.names) {
          const auto found = to.texts().find(name);
          if (found != to.texts().end())
            reply.texts.insert(*found);
        }
        queue_.push_back(std::move(reply));
        return;
      }
      case MessageKind::kManifest:
        return to.OnManifest(from, message.manifest, now_);
      case MessageKind::kParts:
        return to.OnParts(from, message.texts, now_);
    }
  }

  void CheckInvariants() {
    for (std::size_t i = 0; i < instances_.size(); ++i) {
      const std::uint64_t revision = instances_[i]->revision();
      REQUIRE(revision >= last_revisions_[i]);
      last_revisions_[i] = revision;
      if (revision == 0)
        continue;
      const std::string digest = instances_[i]->manifest().Digest();
      const auto known = digests_.emplace(revision, digest).first;
      REQUIRE(known->second == digest);
    }
  }

  Random random_;
  Time now_ = Time() + Seconds(100);
  FakePlatform platform_;
  std::vector<std::unique_ptr<Distributor>> instances_;
  std::vector<std::uint64_t> last_revisions_;
  std::unique_ptr<Publisher> publisher_;
  std::vector<Message> queue_;
  std::map<std::uint64_t, std::string> digests_;
  std::uint64_t accepted_revision_ = 0;
  int changes_ = 0;
  int isolated_instance_ = kInstances;
  int restart_candidate_ = 0;
  bool drops_messages_ = true;
};

TEST_SUITE("promise-8") {
  TEST_CASE(
      "Under random faults no instance lowers its revision, each revision has "
      "one content, and all instances agree once the faults end") {
    std::uint64_t max_accepted_revision = 0;
    for (std::uint64_t seed = 1; seed <= 3000; ++seed) {
      CAPTURE(seed);
      FleetSimulation simulation(seed);
      for (int step = 0; step < 150; ++step)
        simulation.Step();
      simulation.EndFaultsAndSettle();
      simulation.CheckConverged();
      max_accepted_revision =
          std::max(max_accepted_revision, simulation.accepted_revision());
    }
    CHECK(max_accepted_revision >= 3);
  }
}

}  // namespace
}  // namespace limpetrudder
