#include <doctest/doctest.h>

#include "discovery/server_directory.h"

namespace limpetrudder {
namespace {

ServerEntry Entry(const std::string& id, std::uint64_t sequence) {
  ServerEntry entry;
  entry.id = id;
  entry.service = "shop-1";
  entry.address = "10.0.0.1:80";
  entry.data_centre = "kgn-a";
  entry.slots = 2;
  entry.started_ms = 1000;
  entry.sequence = sequence;
  return entry;
}

const Time kStart = Time(Seconds(100));

TEST_CASE("A directory of servers") {
  ServerDirectory directory;
  REQUIRE(directory.OnEntry(Entry("a", 5)));
  REQUIRE(directory.TakeChange().updated.size() == 1);

  SUBCASE("reports no change for a heartbeat") {
    CHECK_FALSE(directory.OnEntry(Entry("a", 6)));
    CHECK(directory.TakeChange().empty());
  }
  SUBCASE("reports a change when a server drains") {
    ServerEntry draining = Entry("a", 6);
    draining.draining = true;
    CHECK(directory.OnEntry(draining));
    CHECK(directory.TakeChange().updated.front().draining);

    SUBCASE("and ignores an older entry that arrives later") {
      CHECK_FALSE(directory.OnEntry(Entry("a", 5)));
      CHECK(directory.Entries().front().draining);
    }
  }
  SUBCASE("takes a new process under an old id, whose sequence starts again") {
    ServerEntry reborn = Entry("a", 1);
    reborn.started_ms = 2000;
    CHECK(directory.OnEntry(reborn));

    SUBCASE("and ignores entries of the earlier process") {
      CHECK_FALSE(directory.OnEntry(Entry("a", 9)));
      CHECK(directory.Entries().front().started_ms == 2000);
    }
  }
  SUBCASE("drops a server at once if its entry is removed without an outage") {
    directory.OnRemoved("a", kStart);
    CHECK(directory.TakeChange().removed == std::vector<std::string>{"a"});
    CHECK(directory.Entries().empty());
  }
  SUBCASE("after an outage of the store that lost an entry") {
    directory.OnStoreRecovered(kStart);
    directory.OnListing({}, kStart);

    SUBCASE("keeps the server for the grace period") {
      CHECK(directory.TakeChange().empty());
      CHECK(directory.Tick(kStart + Seconds(2)) > kStart + Seconds(2));
      CHECK(directory.Entries().size() == 1);
    }
    SUBCASE("drops the server if its entry isn't back after the grace period") {
      directory.Tick(kStart + ServerDirectory::kRecoveryGrace);
      CHECK(directory.TakeChange().removed.size() == 1);
    }
    SUBCASE("keeps the server if its entry is back") {
      directory.OnEntry(Entry("a", 6));
      CHECK(directory.Tick(kStart + Seconds(10)) == kNever);
      CHECK(directory.Entries().size() == 1);
    }
  }
  SUBCASE("drops a draining server at once after an outage") {
    ServerEntry draining = Entry("a", 6);
    draining.draining = true;
    directory.OnEntry(draining);
    directory.OnStoreRecovered(kStart);
    directory.OnListing({}, kStart);
    CHECK(directory.TakeChange().removed.size() == 1);
  }
  SUBCASE("reports only the last of two changes of one server") {
    directory.OnRemoved("a", kStart);
    directory.OnEntry(Entry("a", 6));
    const DirectoryChange change = directory.TakeChange();
    CHECK(change.removed.empty());
    CHECK(change.updated.size() == 1);
  }
}

}  // namespace
}  // namespace limpetrudder
