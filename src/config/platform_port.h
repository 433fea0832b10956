#ifndef CONFIG_PLATFORM_PORT_H_
#define CONFIG_PLATFORM_PORT_H_

#include <cstdint>
#include <string>

namespace limpetrudder {

// A call to the platform's key-value service, and its reply.
enum class KvCallKind { kRead, kWrite, kErase, kWatch };

struct KvCall {
  KvCallKind kind = KvCallKind::kRead;
  std::string key;
  std::string value;                    // For kWrite.
  std::uint64_t expected_revision = 0;  // For kWrite and kErase: the key's
                                        // current revision, 0 if it is absent.
                                        // For kWatch: wait for a higher one.
};

enum class KvStatus {
  kOk,
  kNotFound,
  kConflict,     // Compare-and-swap found another revision.
  kUnchanged,    // A watch ended without a change.
  kUnavailable,  // Nothing was sent, or the platform rejected the call.
  kUnknown,      // No reply: a write may have taken effect, now or later.
};

struct KvReply {
  KvStatus status = KvStatus::kUnknown;
  std::uint64_t revision = 0;  // The key's revision in the platform, also after
                               // kConflict; 0 if the key is absent.
  std::string value;
};

inline constexpr char kRootKey[] = "config/root";

// Returns the key that holds the part called `name`.
inline std::string PartKey(const std::string& name) {
  return "config/part/" + name;
}

}  // namespace limpetrudder

#endif  // CONFIG_PLATFORM_PORT_H_
