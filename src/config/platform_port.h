#ifndef CONFIG_PLATFORM_PORT_H_
#define CONFIG_PLATFORM_PORT_H_

#include <cstdint>
#include <string>

namespace limpetrudder {

// The calls that decisions make on the platform's key-value service.
enum class KvCallKind { kRead, kWrite, kErase, kWatch };

struct KvCall {
  KvCallKind kind = KvCallKind::kRead;
  std::string key;
  std::string value;                    // For kWrite.
  std::uint64_t expected_revision = 0;  // For kWrite and kErase: 0 means
                                        // absent. For kWatch: wait for a later
                                        // one.
};

enum class KvStatus {
  kOk,
  kNotFound,
  kConflict,     // Compare-and-swap found another revision.
  kUnchanged,    // A watch ended without a change.
  kUnavailable,  // Nothing was sent, or the platform refused the call.
  kUnknown,      // No reply: a write may have taken effect, now or later.
};

struct KvReply {
  KvStatus status = KvStatus::kUnknown;
  std::uint64_t revision = 0;  // The key's revision in the platform, also after
                               // kConflict; 0 means absent.
  std::string value;
};

inline constexpr char kRootKey[] = "config/root";

// Returns the key that holds the part called `name`.
inline std::string PartKey(const std::string& name) {
  return "config/part/" + name;
}

}  // namespace limpetrudder

#endif  // CONFIG_PLATFORM_PORT_H_
