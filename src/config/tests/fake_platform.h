#ifndef CONFIG_TESTS_FAKE_PLATFORM_H_
#define CONFIG_TESTS_FAKE_PLATFORM_H_

#include <map>
#include <string>

#include "config/platform_port.h"

namespace limpetrudder {

// A stand-in for the platform's key-value service, held in memory. A reply to a
// root write can be lost after the write took effect, and a root write can be
// delayed.
class FakePlatform {
 public:
  KvReply Call(const KvCall& call) {
    ++calls_;
    if (outage_)
      return {KvStatus::kUnavailable, 0, std::string()};
    if (writes_to_delay_ > 0 && call.kind == KvCallKind::kWrite &&
        call.key == kRootKey) {
      --writes_to_delay_;
      delayed_writes_.push_back(call);
      return {KvStatus::kUnknown, 0, std::string()};
    }
    KvReply reply = Execute(call);
    if (replies_to_lose_ > 0 && call.kind == KvCallKind::kWrite &&
        call.key == kRootKey) {
      --replies_to_lose_;
      return {KvStatus::kUnknown, 0, std::string()};
    }
    return reply;
  }

  // Loses the replies to the next `count` root writes.
  void LoseReplies(int count) { replies_to_lose_ = count; }

  // Delays the next `count` root writes until ApplyDelayedWrites().
  void DelayWrites(int count) { writes_to_delay_ = count; }

  void SetOutage(bool outage) { outage_ = outage; }

  // Executes the delayed writes.
  void ApplyDelayedWrites() {
    for (const auto& call : delayed_writes_)
      Execute(call);
    delayed_writes_.clear();
  }

  std::string Value(const std::string& key) const {
    const auto found = values_.find(key);
    return found == values_.end() ? std::string() : found->second.text;
  }

  std::size_t size() const { return values_.size(); }
  int calls() const { return calls_; }

 private:
  struct Entry {
    std::uint64_t revision = 0;
    std::string text;
  };

  KvReply Execute(const KvCall& call) {
    const auto found = values_.find(call.key);
    const std::uint64_t revision =
        found == values_.end() ? 0 : found->second.revision;
    switch (call.kind) {
      case KvCallKind::kRead:
      case KvCallKind::kWatch:
        if (revision == 0)
          return {KvStatus::kNotFound, 0, std::string()};
        return {KvStatus::kOk, revision, found->second.text};
      case KvCallKind::kWrite:
        if (revision != call.expected_revision)
          return {KvStatus::kConflict, revision, std::string()};
        values_[call.key] = {++last_revision_, call.value};
        return {KvStatus::kOk, last_revision_, std::string()};
      case KvCallKind::kErase:
        if (revision != call.expected_revision)
          return {KvStatus::kConflict, revision, std::string()};
        values_.erase(call.key);
        return {KvStatus::kOk, 0, std::string()};
    }
    return {};
  }

  std::map<std::string, Entry> values_;
  std::vector<KvCall> delayed_writes_;
  std::uint64_t last_revision_ = 0;
  int calls_ = 0;
  int replies_to_lose_ = 0;
  int writes_to_delay_ = 0;
  bool outage_ = false;
};

}  // namespace limpetrudder

#endif  // CONFIG_TESTS_FAKE_PLATFORM_H_
