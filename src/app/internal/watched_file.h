#ifndef APP_INTERNAL_WATCHED_FILE_H_
#define APP_INTERNAL_WATCHED_FILE_H_

#include <cstdint>
#include <string>

namespace limpetrudder {

// Detects changes of a file that may be replaced at any time, by a hash of its
// bytes. Not thread safe.
class WatchedFile {
 public:
  explicit WatchedFile(std::string path);

  // Returns whether the bytes differ from those at the previous call or, at the
  // first call, at construction. A file that can't be read counts as unchanged,
  // since it may be about to be replaced.
  bool HasChanged();

 private:
  const std::string path_;
  std::uint64_t hash_ = 0;
};

}  // namespace limpetrudder

#endif  // APP_INTERNAL_WATCHED_FILE_H_
