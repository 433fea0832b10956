#ifndef APP_INTERNAL_WATCHED_FILE_H_
#define APP_INTERNAL_WATCHED_FILE_H_

#include <cstdint>
#include <string>

namespace limpetrudder {

// A file that may be replaced at any time, compared by its bytes. Not thread
// safe.
class WatchedFile {
 public:
  explicit WatchedFile(std::string path);

  // Whether the bytes differ from those at the last call, or at the start. A
  // file that can't be read counts as unchanged: it may be about to be
  // replaced.
  bool HasChanged();

 private:
  const std::string path_;
  std::uint64_t hash_ = 0;
};

}  // namespace limpetrudder

#endif  // APP_INTERNAL_WATCHED_FILE_H_
