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

// The result that the operator sees.
struct PublishOutcome {
  ResultCode code = ResultCode::kOk;
  std::uint64_t revision = 0;
  std::string message;
  std::vector<ChangeRecord> since_base;  // For kConfigConflict: the changes
                                         // made since base_revision.
};

// Publishes one change: stores its parts, then replaces the root by
// compare-and-swap. If a root write gets no reply, it reads the root again and
// retries the swap from the same root revision. At most one of the two swaps
// takes effect, and the root's history shows which change it made. If the
// platform stays unavailable after such a write, the outcome is
// kConfigOutcomeUnknown.
//
// Holds no clock and does no I/O: the owner carries out next_call() and passes
// the reply to OnReply(). Not thread safe.
class Publisher {
 public:
  // `highest_known_revision` is the highest revision that any instance is known
  // to have in force. The change gets a higher one, even if the platform was
  // restored from an older copy.
  Publisher(Change change, std::uint64_t highest_known_revision);

  // Returns the call to make now, or nothing once outcome() is set.
  const std::optional<KvCall>& next_call() const { return next_call_; }

  // How long to wait before next_call(); doubles with each failed call, up to
  // a limit.
  Duration delay() const { return delay_; }

  // Processes the reply to next_call(). Precondition: next_call() is set.
  void OnReply(const KvReply& reply);

  // Set once the publication has ended.
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
  void ClassifyParts();
  void Finish(PublishOutcome outcome);
  std::vector<ChangeRecord> ChangesSinceBase() const;

  Change change_;
  const std::uint64_t highest_known_revision_;
  Step step_ = Step::kReadRoot;
  std::optional<KvCall> next_call_;
  std::optional<PublishOutcome> outcome_;
  Duration delay_{0};
  int failures_ = 0;
  // Whether a root write was sent and its reply was lost.
  bool swap_outcome_unknown_ = false;
  Root root_;
  std::uint64_t root_kv_revision_ = 0;
  std::vector<std::string> parts_to_write_;
  std::vector<UnusedPart> unused_parts_;
  std::size_t unused_parts_read_ = 0;
};

}  // namespace limpetrudder

#endif  // CONFIG_PUBLISHER_H_
