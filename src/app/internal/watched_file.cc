#include "app/internal/watched_file.h"

#include <fstream>
#include <iterator>
#include <utility>

#include "framework/hash.h"

namespace limpetrudder {

WatchedFile::WatchedFile(std::string path) : path_(std::move(path)) {
  HasChanged();
}

bool WatchedFile::HasChanged() {
  std::ifstream file(path_, std::ios::binary);
  if (!file)
    return false;
  const std::string bytes{std::istreambuf_iterator<char>(file), {}};
  const std::uint64_t hash = Hash64(bytes);
  return std::exchange(hash_, hash) != hash;
}

}  // namespace limpetrudder
