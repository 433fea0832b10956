#ifndef CONFIG_TESTS_FAKE_PLATFORM_H_
#define CONFIG_TESTS_FAKE_PLATFORM_H_

#include <map>
#include <string>

#include "config/platform_port.h"

namespace limpetrudder {

// The platform's key-value service, as one map. Replies can be lost after a
// write took effect, and writes can be held back to land later.
class FakePlatform {
 public:
  KvReply Call(const KvCall& call) {
    ++calls_;
    if (outage_)
      return {KvStatus::kUnavailable, 0, std::string()};
    if (held_back_ > 0 && call.kind == KvCallKind::kWrite &&
        call.key == kRootKey) {
      --held_back_;
      late_.push_back(call);
      return {KvStatus::kUnknown, 0, std::string()};
    }
    KvReply reply = Carry(call);
    if (lost_replies_ > 0 && call.kind == KvCallKind::kWrite &&
        call.key == kRootKey) {
      --lost_replies_;
      return {KvStatus::kUnknown, 0, std::string()};
    }
    return reply;
  }

  void LoseReplies(int count) { lost_replies_ = count; }
  void HoldBackWrites(int count) { held_back_ = count; }
  void SetOutage(bool outage) { outage_ = outage; }

  // Carries out the writes held back.
  void DeliverLateWrites() {
    for (const auto& call : late_)
      Carry(call);
    late_.clear();
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

  KvReply Carry(const KvCall& call) {
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
  std::vector<KvCall> late_;
  std::uint64_t last_revision_ = 0;
  int calls_ = 0;
  int lost_replies_ = 0;
  int held_back_ = 0;
  bool outage_ = false;
};

}  // namespace limpetrudder

#endif  // CONFIG_TESTS_FAKE_PLATFORM_H_
