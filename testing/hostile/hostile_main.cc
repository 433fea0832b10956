#include <cstdlib>
#include <filesystem>
#include <iostream>
#include <string>

#include "testing/hostile/hostile_run.h"

namespace {

constexpr char kUsage[] =
    "usage: limpetrudder_hostile BINARY FOLDER CASE [FIRST_PORT]\n"
    "Exits with 1 if something didn't hold.\n";

constexpr int kDefaultFirstPort = 29500;
constexpr int kLastFirstPort = 32000;

}  // namespace

int main(int argc, char** argv) {
  using limpetrudder::testbed::HostileRun;
  using limpetrudder::testbed::kHostileCaseNames;
  const auto which = argc >= 4
                         ? limpetrudder::ValueOf(kHostileCaseNames, argv[3])
                         : std::nullopt;
  const int first_port = argc >= 5 ? std::atoi(argv[4]) : kDefaultFirstPort;
  if (!which || first_port <= 0 || first_port > kLastFirstPort) {
    std::cerr << kUsage;
    return 2;
  }
  const std::string folder = std::string(argv[2]) + "/" + argv[3];
  std::filesystem::remove_all(folder);
  std::filesystem::create_directories(folder);
  try {
    HostileRun run(argv[1], folder, static_cast<std::uint16_t>(first_port),
                   SetupOf(*which));
    const auto faults = run.Run();
    std::cout << argv[3] << ": " << (faults.empty() ? "held" : "BROKEN") << "; "
              << run.Figures() << "\n";
    for (const auto& fault : faults)
      std::cout << "  " << fault << "\n";
    return faults.empty() ? 0 : 1;
  } catch (const std::exception& error) {
    // NOTE Caught here so that ~HostileRun ends the process.
    std::cout << argv[3] << ": not run, " << error.what() << "\n";
    return 1;
  }
}
