#include "app/connection_shares.h"

#include <doctest/doctest.h>

namespace limpetrudder {
namespace {

TEST_CASE("Connections get parts of the process's memory and descriptors") {
  EntrySettings settings;
  settings.memory_mb = 160;
  settings.max_descriptors = 400;
  const ConnectionShares shares = MakeConnectionShares(settings);

  SUBCASE("callers and instances a quarter of the memory each") {
    CHECK(shares.callers.max_bytes == 40 << 20);
    CHECK(shares.peers.max_bytes == 40 << 20);
  }
  SUBCASE("some descriptors are left for servers, the store and files") {
    CHECK(shares.callers.max_connections == 300);
    CHECK(shares.peers.max_connections == 50);
    CHECK(shares.callers.max_connections + shares.peers.max_connections < 400);
  }
}

}  // namespace
}  // namespace limpetrudder
