#include <doctest/doctest.h>

#include "config/distributor.h"
#include "config/tests/test_document.h"

namespace limpetrudder {
namespace {

SplitDocument MakeRevision(std::uint64_t revision) {
  nlohmann::json json = TestDocumentJson(1, 2);
  json["collections"][0]["deadline_ms"] = 100 + revision;
  SplitDocument split = SplitIntoParts(json).assume_value();
  split.manifest.revision = revision;
  return split;
}

template <typename T>
std::vector<T> TakeActionsOf(Distributor* distributor) {
  std::vector<T> found;
  for (auto& action : distributor->TakeActions()) {
    if (auto* match = std::get_if<T>(&action))
      found.push_back(std::move(*match));
  }
  return found;
}

void BringIntoForce(Distributor* distributor, std::uint64_t revision) {
  const SplitDocument split = MakeRevision(revision);
  distributor->OnPlatformRoot(split.manifest, Time());
  distributor->OnParts("", split.texts, Time());
  REQUIRE(distributor->revision() == revision);
  distributor->TakeActions();
}

TEST_SUITE("promise-8") {
  TEST_CASE("Distributor with revision 5 in force") {
    Distributor distributor(1);
    distributor.SetPeers({{"p1", "p2"}, {"r1"}});
    BringIntoForce(&distributor, 5);

    SUBCASE("ignores an older root in the platform and raises an alarm") {
      distributor.OnPlatformRoot(MakeRevision(4).manifest, Time());
      const auto alarms = TakeActionsOf<ConfigAlarm>(&distributor);
      REQUIRE(alarms.size() == 1);
      CHECK(alarms[0].code == ResultCode::kRevisionTooLow);
      CHECK(distributor.revision() == 5);
    }
    SUBCASE("ignores an older manifest from a peer, with its parts") {
      const SplitDocument old = MakeRevision(3);
      distributor.OnManifest("p1", old.manifest, Time());
      distributor.OnParts("p1", old.texts, Time());
      CHECK(distributor.revision() == 5);
      CHECK(TakeActionsOf<ApplyConfig>(&distributor).empty());
    }
    SUBCASE("pulls a newer revision that a peer announces") {
      distributor.OnPeerRevision("p1", 6, Time());
      const auto fetches = TakeActionsOf<FetchManifest>(&distributor);
      REQUIRE(fetches.size() == 1);
      const SplitDocument next = MakeRevision(6);
      distributor.OnManifest("p1", next.manifest, Time());
      const auto parts = TakeActionsOf<FetchParts>(&distributor);
      REQUIRE(parts.size() == 1);
      CHECK(parts[0].names.size() == 1);

      SUBCASE("and announces it once it is in force") {
        distributor.OnParts("p1", next.texts, Time());
        CHECK(distributor.revision() == 6);
        CHECK(TakeActionsOf<AnnounceRevision>(&distributor).size() == 3);
        distributor.Tick(Time() + Seconds(1));
        CHECK(TakeActionsOf<AnnounceRevision>(&distributor).size() >= 3);
      }
      SUBCASE("and keeps revision 5 when a received part was altered") {
        PartTexts bad = next.texts;
        bad[parts[0].names[0]] = std::make_shared<const std::string>("{}");
        distributor.OnParts("p1", bad, Time());
        CHECK(distributor.revision() == 5);
        distributor.OnPeerRevision("p2", 6, Time());
        CHECK(TakeActionsOf<FetchManifest>(&distributor).size() == 1);
      }
      SUBCASE("and pulls from another peer after the first one times out") {
        distributor.OnPeerRevision("p2", 6, Time() + Millis(100));
        CHECK(TakeActionsOf<FetchManifest>(&distributor).empty());
        distributor.OnPeerRevision("p2", 6, Time() + Seconds(2));
        CHECK(TakeActionsOf<FetchManifest>(&distributor).size() == 1);
      }
    }
  }
}

}  // namespace
}  // namespace limpetrudder
