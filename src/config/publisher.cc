#include "config/publisher.h"

#include <algorithm>
#include <set>
#include <utility>

namespace limpetrudder {
namespace {

constexpr int kMaxFailures = 8;
constexpr Duration kInitialDelay = Millis(50);
constexpr Duration kMaxDelay = Seconds(2);

bool IsFailure(KvStatus status) {
  return status == KvStatus::kUnavailable || status == KvStatus::kUnknown;
}

std::set<std::string> StoredParts(const Root& root) {
  std::set<std::string> parts(root.manifest.parts.begin(),
                              root.manifest.parts.end());
  for (const auto& part : root.dropped)
    parts.insert(part.name);
  return parts;
}

}  // namespace

Publisher::Publisher(Change change, std::uint64_t highest_known_revision)
    : change_(std::move(change)),
      highest_known_revision_(highest_known_revision) {
  BeginReadRoot();
}

void Publisher::OnReply(const KvReply& reply) {
  switch (step_) {
    case Step::kReadRoot:
      return OnRoot(reply);
    case Step::kWriteParts:
      return OnPartWritten(reply);
    case Step::kReadUnusedPart:
      return OnUnusedPartRead(reply);
    case Step::kSwapRoot:
      return OnRootSwapped(reply);
    case Step::kEraseUnusedPart:
      return OnUnusedPartErased();
  }
}

void Publisher::BeginReadRoot() {
  step_ = Step::kReadRoot;
  next_call_ = KvCall{KvCallKind::kRead, kRootKey, std::string(), 0};
}

void Publisher::OnRoot(const KvReply& reply) {
  if (IsFailure(reply.status)) {
    RetryOrGiveUp();
    return;
  }
  root_ = Root();
  root_kv_revision_ = reply.revision;
  if (reply.status == KvStatus::kOk) {
    auto root = ReadRoot(reply.value);
    if (!root)
      return Finish({ResultCode::kConfigCorrupt, 0, root.error().message, {}});
    root_ = std::move(root.assume_value());
  }
  const std::string digest = change_.document.manifest.Digest();
  for (const auto& record : root_.history) {
    if (record.change_id != change_.change_id)
      continue;
    if (record.digest != digest) {
      return Finish({ResultCode::kChangeReused,
                     record.revision,
                     "change id \"" + change_.change_id +
                         "\" was used before for another document",
                     {}});
    }
    return Finish({ResultCode::kOk, record.revision, "accepted", {}});
  }
  const std::uint64_t current =
      std::max(root_.manifest.revision, highest_known_revision_);
  if (current != change_.base_revision) {
    return Finish({ResultCode::kConfigConflict, current,
                   "based on revision " +
                       std::to_string(change_.base_revision) + ", but " +
                       std::to_string(current) + " is in force",
                   ChangesSinceBase()});
  }
  ClassifyParts();
  BeginNextPart(0);
}

std::vector<ChangeRecord> Publisher::ChangesSinceBase() const {
  std::vector<ChangeRecord> changes;
  for (const auto& record : root_.history) {
    if (record.revision > change_.base_revision)
      changes.push_back(record);
  }
  return changes;
}

void Publisher::ClassifyParts() {
  const std::set<std::string> stored = StoredParts(root_);
  const std::set<std::string> kept = StoredParts(NextRoot());
  parts_to_write_.clear();
  unused_parts_.clear();
  unused_parts_read_ = 0;
  for (const auto& [name, text] : change_.document.texts) {
    if (!stored.count(name))
      parts_to_write_.push_back(name);
  }
  for (const auto& name : stored) {
    if (!kept.count(name))
      unused_parts_.push_back({name, 0});
  }
}

void Publisher::BeginNextPart(std::uint64_t expected_revision) {
  if (parts_to_write_.empty())
    return BeginReadUnusedPart();
  step_ = Step::kWriteParts;
  const std::string& name = parts_to_write_.back();
  next_call_ = KvCall{KvCallKind::kWrite, PartKey(name),
                      *change_.document.texts.at(name), expected_revision};
}

void Publisher::OnPartWritten(const KvReply& reply) {
  if (IsFailure(reply.status)) {
    RetryOrGiveUp();
    return;
  }
  // A part that already exists is written again, which changes its revision.
  // So another publisher that found it unused can't erase it: its erase expects
  // the revision that it read.
  if (reply.status == KvStatus::kConflict)
    return BeginNextPart(reply.revision);
  parts_to_write_.pop_back();
  BeginNextPart(0);
}

void Publisher::BeginReadUnusedPart() {
  if (unused_parts_read_ == unused_parts_.size())
    return BeginSwapRoot();
  step_ = Step::kReadUnusedPart;
  next_call_ =
      KvCall{KvCallKind::kRead, PartKey(unused_parts_[unused_parts_read_].name),
             std::string(), 0};
}

void Publisher::OnUnusedPartRead(const KvReply& reply) {
  if (IsFailure(reply.status)) {
    RetryOrGiveUp();
    return;
  }
  unused_parts_[unused_parts_read_].kv_revision = reply.revision;
  ++unused_parts_read_;
  BeginReadUnusedPart();
}

Root Publisher::NextRoot() const {
  Root next;
  next.manifest = change_.document.manifest;
  next.manifest.revision =
      std::max(root_.manifest.revision, highest_known_revision_) + 1;
  const std::uint64_t revision = next.manifest.revision;
  const std::set<std::string> used(next.manifest.parts.begin(),
                                   next.manifest.parts.end());
  for (const auto& part : root_.dropped) {
    if (!used.count(part.name) &&
        part.dropped_at + kRetainedRevisions > revision) {
      next.dropped.push_back(part);
    }
  }
  for (const auto& name : root_.manifest.parts) {
    if (!used.count(name))
      next.dropped.push_back({name, revision});
  }
  next.history = root_.history;
  next.history.push_back({change_.change_id, revision, change_.base_revision,
                          change_.author, change_.reason, change_.submitted_at,
                          next.manifest.Digest()});
  while (next.history.size() > kMaxHistory)
    next.history.erase(next.history.begin());
  return next;
}

void Publisher::BeginSwapRoot() {
  step_ = Step::kSwapRoot;
  next_call_ = KvCall{KvCallKind::kWrite, kRootKey, WriteRoot(NextRoot()),
                      root_kv_revision_};
}

void Publisher::OnRootSwapped(const KvReply& reply) {
  if (reply.status == KvStatus::kOk) {
    root_ = NextRoot();
    return BeginEraseUnusedPart();
  }
  if (reply.status == KvStatus::kUnknown)
    swap_outcome_unknown_ = true;
  if (IsFailure(reply.status) && !RetryOrGiveUp())
    return;
  BeginReadRoot();
}

void Publisher::BeginEraseUnusedPart() {
  if (unused_parts_.empty())
    return Finish({ResultCode::kOk, root_.manifest.revision, "accepted", {}});
  step_ = Step::kEraseUnusedPart;
  next_call_ = KvCall{KvCallKind::kErase, PartKey(unused_parts_.back().name),
                      std::string(), unused_parts_.back().kv_revision};
}

void Publisher::OnUnusedPartErased() {
  // Errors are ignored: a part that isn't erased only takes up space.
  unused_parts_.pop_back();
  BeginEraseUnusedPart();
}

bool Publisher::RetryOrGiveUp() {
  ++failures_;
  if (failures_ < kMaxFailures) {
    delay_ =
        delay_.count() == 0 ? kInitialDelay : std::min(delay_ * 2, kMaxDelay);
    return true;
  }
  if (swap_outcome_unknown_) {
    Finish({ResultCode::kConfigOutcomeUnknown,
            0,
            "the platform didn't say whether change \"" + change_.change_id +
                "\" took effect; submit it again with the same change id",
            {}});
  } else {
    Finish({ResultCode::kPlatformUnavailable,
            0,
            "the platform can't be reached; the change was not made",
            {}});
  }
  return false;
}

void Publisher::Finish(PublishOutcome outcome) {
  next_call_.reset();
  outcome_ = std::move(outcome);
}

}  // namespace limpetrudder
