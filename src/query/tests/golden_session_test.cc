#include <cstdlib>
#include <fstream>
#include <iterator>

#include <doctest/doctest.h>

#include "query/tests/session.h"

namespace limpetrudder {
namespace {

// Compares a transcript with its golden file. If UPDATE_GOLDEN is set, writes
// the file first; review the difference before committing it.
void CheckGolden(const std::string& name, const std::string& transcript) {
  const std::string path = std::string(TEST_DATA_DIR) + "/" + name + ".txt";
  if (std::getenv("UPDATE_GOLDEN") != nullptr)
    std::ofstream(path) << transcript;
  std::ifstream file(path);
  const std::string expected{std::istreambuf_iterator<char>(file),
                             std::istreambuf_iterator<char>()};
  CHECK_MESSAGE(transcript == expected, "session ", name);
}

TEST_CASE("Golden session 1: a search, a lost shard, refused searches") {
  Session session({});
  session.Note("a baker searches the catalogue");
  session.Ask();
  session.Note("both servers of shard-1 are lost");
  session.server(1, 0).dead = true;
  session.server(1, 1).dead = true;
  session.Ask();
  session.Note("a till needs the whole answer");
  session.Ask(CallerClass::kTill);
  session.Note("a deadline that has passed");
  session.Ask(CallerClass::kBrowse, Duration(0));
  CheckGolden("session_1_search", session.transcript());
}

TEST_CASE("Golden session 2: a search moves to a newer snapshot") {
  Session session({});
  session.Note("all servers hold versions 1 to 3");
  for (int shard = 0; shard < 3; ++shard) {
    for (int replica = 0; replica < 2; ++replica)
      session.server(shard, replica).held = {{1, 1}, {1, 2}, {1, 3}};
  }
  session.Ask();
  session.Note("shard-2 drops version 3 between the choice and the send");
  for (int replica = 0; replica < 2; ++replica)
    session.server(2, replica).held = {{1, 4}, {1, 5}};
  session.server(0, 0).held = {{1, 3}, {1, 4}};
  session.server(0, 1).held = {{1, 3}, {1, 4}};
  session.server(1, 0).held = {{1, 3}, {1, 4}};
  session.server(1, 1).held = {{1, 3}, {1, 4}};
  session.Ask();
  CheckGolden("session_2_versions", session.transcript());
}

TEST_CASE("Golden session 3: a slow attempt is hedged and then cancelled") {
  Session session({});
  session.WarmUp();
  session.server(0, 0).service = Millis(120);
  session.server(0, 1).service = Millis(120);
  session.Search();
  session.Run(Millis(1));
  session.server(0, 0).service = Millis(10);
  session.server(0, 1).service = Millis(10);
  session.Run(Millis(300));
  CheckGolden("session_3_hedge", session.transcript());
}

}  // namespace
}  // namespace limpetrudder
