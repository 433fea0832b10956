#ifndef DISPATCH_INTERNAL_RECORD_MERGE_H_
#define DISPATCH_INTERNAL_RECORD_MERGE_H_

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace limpetrudder::detail {

// Size of a record in a part's body. A shorter remainder at the end is ignored.
inline constexpr std::size_t kRecordBytes = 16;

// Returns the `count` greatest records of `parts`, greatest first, compared
// byte by byte. Equal records are all kept. Thread safe.
std::string MergeGreatest(const std::vector<std::string_view>& parts,
                          std::size_t count);

}  // namespace limpetrudder::detail

#endif  // DISPATCH_INTERNAL_RECORD_MERGE_H_
