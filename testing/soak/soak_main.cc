#include <cstdlib>
#include <filesystem>
#include <iostream>
#include <string>

#include <getopt.h>

#include "testing/soak/soak.h"

namespace {

const option kOptions[] = {
    {"binary", required_argument, nullptr, 'b'},
    {"other-binary", required_argument, nullptr, 'B'},
    {"folder", required_argument, nullptr, 'f'},
    {"seed", required_argument, nullptr, 's'},
    {"seeds", required_argument, nullptr, 'n'},
    {"entries", required_argument, nullptr, 'e'},
    {"shards", required_argument, nullptr, 'p'},
    {"rate", required_argument, nullptr, 'r'},
    {"seconds", required_argument, nullptr, 't'},
    {"port", required_argument, nullptr, 'o'},
    {nullptr, 0, nullptr, 0},
};

constexpr char kUsage[] =
    "usage: limpetrudder_soak --binary PATH --folder DIR [--seed N]\n"
    "    [--seeds COUNT] [--entries N] [--shards N] [--rate PER_SECOND]\n"
    "    [--seconds OF_FAULTS] [--port FIRST] [--other-binary PATH]\n"
    "Runs COUNT seeds from N on; exits with 1 at a broken promise.\n";

// Linux takes the ports of outgoing connections from 32768 upwards by default.
constexpr int kLastPort = 32767;

// Runs one seed in a folder of its own. Returns whether all promises were kept.
bool RunSeed(limpetrudder::testbed::SoakOptions run) {
  run.folder += "/seed-" + std::to_string(run.seed);
  std::filesystem::remove_all(run.folder);
  std::filesystem::create_directories(run.folder);
  std::cout << "seed " << run.seed << ", logs in " << run.folder << "\n";
  try {
    limpetrudder::testbed::Soak soak(run);
    const auto violations = soak.Run();
    std::cout << "seed " << run.seed << ": "
              << (violations.empty() ? "kept" : "BROKEN") << std::endl;
    return violations.empty();
  } catch (const std::exception& error) {
    // NOTE Caught here so that ~Soak ends the processes of the run.
    std::cout << "seed " << run.seed << ": not run, " << error.what()
              << std::endl;
    return false;
  }
}

}  // namespace

int main(int argc, char** argv) {
  using limpetrudder::Seconds;
  limpetrudder::testbed::SoakOptions options;
  int seeds = 1;
  for (int id = 0;
       (id = getopt_long(argc, argv, "", kOptions, nullptr)) != -1;) {
    const long number = optarg == nullptr ? 0 : std::atol(optarg);
    switch (id) {
      case 'b':
        options.binary = optarg;
        break;
      case 'B':
        options.other_binary = optarg;
        break;
      case 'f':
        options.folder = optarg;
        break;
      case 's':
        options.seed = static_cast<std::uint64_t>(number);
        break;
      case 'n':
        seeds = static_cast<int>(number);
        break;
      case 'e':
        options.entries = static_cast<int>(number);
        break;
      case 'p':
        options.shards = static_cast<int>(number);
        break;
      case 'r':
        options.requests_per_second = static_cast<double>(number);
        break;
      case 't':
        options.fault_duration = Seconds(number);
        break;
      case 'o':
        options.first_port = static_cast<std::uint16_t>(number);
        break;
      default:
        std::cerr << kUsage;
        return 2;
    }
  }
  if (options.binary.empty() || options.folder.empty()) {
    std::cerr << kUsage;
    return 2;
  }
  if (limpetrudder::testbed::Soak::LastPort(options) > kLastPort) {
    std::cerr << "ports beyond " << kLastPort
              << " may be taken by outgoing connections\n";
    return 2;
  }
  int failed = 0;
  for (int i = 0; i < seeds; ++i, ++options.seed)
    failed += RunSeed(options) ? 0 : 1;
  return failed == 0 ? 0 : 1;
}
