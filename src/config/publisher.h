#ifndef CONFIG_PUBLISHER_H_
#define CONFIG_PUBLISHER_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "config/manifest.h"
#include "config/platform_port.h"
#include "framework/time.h"

namespace limpetrudder {

// One submission by an operator.
struct Change {
  std::string change_id;
  std::uint64_t base_revision = 0;
  std::string author;
  std::string reason;
  std::string submitted_at;  // UTC, ISO 8601.
  SplitDocument document;
};

// What the operator is told.
struct PublishOutcome {
  ResultCode code = ResultCode::kOk;
  std::uint64_t revision = 0;
  std::string message;
  std::vector<ChangeRecord> since_base;  // For kConfigConflict: who won.
};

// Publishes one change: stores its parts, then swaps the root by
// compare-and-swap. A write without a reply is settled by reading back and
// swapping again from the same root revision, never by a guess: only one of the
// two swaps can win, and the root's history says whose it was.
//
// Holds no clock and does no I/O: the owner carries out NextCall() and hands
// the reply to OnReply(). Not thread safe.
class Publisher {
 public:
  // `in_force` is the highest revision known to the fleet; a platform that was
  // restored from an older copy doesn't make revisions run backwards.
  Publisher(Change change, std::uint64_t in_force);

  // Returns the call to make now, or nothing once outcome() is set.
  const std::optional<KvCall>& next_call() const { return next_call_; }

  // How long to wait before next_call(); grows while the platform is silent.
  Duration delay() const { return delay_; }

  // Takes the reply to next_call(). Precondition: next_call() is set.
  void OnReply(const KvReply& reply);

  const std::optional<PublishOutcome>& outcome() const { return outcome_; }

 private:
  enum class Step {
    kReadRoot,
    kWriteParts,
    kReadUnusedPart,
    kSwapRoot,
    kEraseUnusedPart,
  };

  struct UnusedPart {
    std::string name;
    std::uint64_t kv_revision = 0;
  };

  void OnRoot(const KvReply& reply);
  void OnPartWritten(const KvReply& reply);
  void OnRootSwapped(const KvReply& reply);
  void OnUnusedPartRead(const KvReply& reply);
  void OnUnusedPartErased();
  void BeginReadRoot();
  void BeginNextPart(std::uint64_t expected_revision);
  void BeginReadUnusedPart();
  void BeginSwapRoot();
  void BeginEraseUnusedPart();
  bool RetryOrGiveUp();
  Root NextRoot() const;
  void FindParts();
  void Finish(PublishOutcome outcome);
  std::vector<ChangeRecord> ChangesSinceBase() const;

  Change change_;
  const std::uint64_t in_force_;
  Step step_ = Step::kReadRoot;
  std::optional<KvCall> next_call_;
  std::optional<PublishOutcome> outcome_;
  Duration delay_{0};
  int failures_ = 0;
  bool swap_unknown_ = false;  // A swap was sent and its reply was lost.
  Root root_;
  std::uint64_t root_kv_revision_ = 0;
  std::vector<std::string> parts_to_write_;
  std::vector<UnusedPart> unused_parts_;
  std::size_t unused_parts_read_ = 0;
};

}  // namespace limpetrudder

#endif  // CONFIG_PUBLISHER_H_
