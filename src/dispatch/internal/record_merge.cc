#include "dispatch/internal/record_merge.h"

#include <algorithm>
#include <functional>

namespace limpetrudder::detail {

std::string MergeGreatest(const std::vector<std::string_view>& parts,
                          std::size_t count) {
  std::vector<std::string_view> records;
  for (std::string_view part : parts) {
    for (; part.size() >= kRecordBytes; part.remove_prefix(kRecordBytes))
      records.push_back(part.substr(0, kRecordBytes));
  }
  const std::size_t kept = std::min(count, records.size());
  // NOTE string_view compares as unsigned bytes, as char_traits<char> does.
  std::partial_sort(records.begin(),
                    records.begin() + static_cast<std::ptrdiff_t>(kept),
                    records.end(), std::greater<>());
  std::string merged;
  merged.reserve(kept * kRecordBytes);
  for (std::size_t i = 0; i < kept; ++i)
    merged.append(records[i]);
  return merged;
}

}  // namespace limpetrudder::detail
