#include "once/key_ledger.h"

#include <utility>

#include "framework/hash.h"
#include "framework/http_status.h"

namespace limpetrudder {
namespace {

constexpr Duration kRetryAfterFull = Seconds(1);
constexpr std::size_t kSignatureDigits = 16;

WriteOutcome NotRun(ResultCode code, std::string message, bool final) {
  WriteOutcome outcome;
  outcome.code = code;
  outcome.state = WriteState::kNotRun;
  outcome.final = final;
  outcome.message = std::move(message);
  return outcome;
}

std::uint64_t BodyHash(const WriteRequest& request) {
  std::uint64_t hash = Hash64(request.collection);
  hash = Hash64(request.route, hash);
  return Hash64(request.body, hash);
}

}  // namespace

KeyLedger::KeyLedger(KeyLedgerSettings settings)
    : settings_(std::move(settings)) {}

std::string KeyLedger::Sign(const IdempotencyKey& key,
                            std::string_view caller) const {
  std::string text = settings_.secret;
  text += '~' + std::to_string(key.sequence);
  text += '~' + std::to_string(key.issued_at_ms);
  text += '~';
  text += caller;
  return Sha256Hex(text).substr(0, kSignatureDigits);
}

std::string KeyLedger::IssueKey(std::string_view caller, Time now) {
  IdempotencyKey key;
  key.issuer = settings_.instance;
  key.address = settings_.peer_address;
  key.incarnation = settings_.incarnation;
  key.sequence = next_sequence_++;
  key.issued_at_ms = WholeMillis(now.time_since_epoch());
  key.signature = Sign(key, caller);
  return FormatKey(key);
}

std::optional<WriteOutcome> KeyLedger::CheckKey(std::string_view text,
                                                std::string_view caller,
                                                Time now) const {
  const auto parsed = ParseKey(text);
  if (!parsed)
    return NotRun(ResultCode::kKeyMalformed, "the key can't be read", true);
  const IdempotencyKey& key = parsed.assume_value();
  if (key.issuer != settings_.instance) {
    return NotRun(ResultCode::kKeyNotIssued,
                  "the key belongs to instance " + key.issuer, true);
  }
  if (key.incarnation != settings_.incarnation) {
    // NOTE An earlier incarnation of this instance may have run the key. Its
    // entries are lost, so the state is unknown.
    WriteOutcome outcome;
    outcome.code = ResultCode::kIssuerGone;
    outcome.state = WriteState::kUnknown;
    outcome.final = true;
    outcome.message = "the instance restarted since it issued the key";
    return outcome;
  }
  if (key.signature != Sign(key, caller)) {
    return NotRun(ResultCode::kKeyNotIssued,
                  "the key was never issued to this caller", true);
  }
  const Time issued(std::chrono::milliseconds(key.issued_at_ms));
  if (issued > now || now - issued >= kKeyLifetime) {
    WriteOutcome outcome;
    outcome.code = ResultCode::kKeyExpired;
    outcome.state = WriteState::kUnknown;
    outcome.final = true;
    outcome.message =
        "the key has expired; this attempt has not run, and whether an earlier "
        "one did is no longer known";
    return outcome;
  }
  return std::nullopt;
}

WriteOutcome KeyLedger::OutcomeOf(const Entry& entry) const {
  WriteOutcome outcome;
  outcome.state = entry.state;
  outcome.final = entry.state != WriteState::kRunning;
  switch (entry.state) {
    case WriteState::kNotRun:
      outcome.code = ResultCode::kWriteNotRun;
      outcome.message = "the write has not run and never will";
      break;
    case WriteState::kRunning:
      outcome.code = ResultCode::kWriteRunning;
      break;
    case WriteState::kDone:
      outcome.code = http_status::IsSuccess(entry.server_status)
                         ? ResultCode::kOk
                         : ResultCode::kWriteRefused;
      outcome.server_status = entry.server_status;
      outcome.server_body = entry.server_body;
      break;
    case WriteState::kUnknown:
      outcome.code = ResultCode::kOutcomeUnknown;
      outcome.message = "the write may have run; nobody will run it again";
      break;
  }
  return outcome;
}

KeyLedger::Entry& KeyLedger::AddEntry(const std::string& key,
                                      Entry entry,
                                      Time now) {
  expiries_.push_back({now + kKeyLifetime, key});
  return entries_[key] = std::move(entry);
}

void KeyLedger::OnWrite(WriteRequest request, Time now) {
  if (auto refusal = CheckKey(request.key, request.caller, now))
    return Reply(request.request_id, std::move(*refusal));
  const auto known = entries_.find(request.key);
  if (known != entries_.end()) {
    Entry& entry = known->second;
    if (entry.state != WriteState::kNotRun &&
        entry.body_hash != BodyHash(request)) {
      return Reply(request.request_id,
                   NotRun(ResultCode::kKeyBodyDiffers,
                          "the key was used before with another body", true));
    }
    if (entry.state == WriteState::kRunning) {
      entry.waiting_requests.push_back(request.request_id);
      return;
    }
    return Reply(request.request_id, OutcomeOf(entry));
  }
  if (!MayStillRun(request, now)) {
    return Reply(
        request.request_id,
        NotRun(ResultCode::kDeadlinePassed,
               "the deadline had passed before the write began", false));
  }
  if (entries_.size() >= settings_.max_entries) {
    WriteOutcome outcome =
        NotRun(ResultCode::kLedgerFull, "too many keys are remembered", false);
    outcome.retry_after = kRetryAfterFull;
    return Reply(request.request_id, std::move(outcome));
  }
  Entry entry;
  entry.body_hash = BodyHash(request);
  entry.waiting_requests.push_back(request.request_id);
  AddEntry(request.key, std::move(entry), now);
  ++running_;
  const std::string key = request.key;
  actions_.push_back(RunWrite{key, std::move(request)});
}

void KeyLedger::OnRunEnded(const std::string& key,
                           RunResult result,
                           int server_status,
                           std::string server_body,
                           Time) {
  const auto found = entries_.find(key);
  if (found == entries_.end() || found->second.state != WriteState::kRunning) {
    return;
  }
  Entry& entry = found->second;
  --running_;
  switch (result) {
    case RunResult::kReplied:
      entry.state = WriteState::kDone;
      entry.server_status = server_status;
      entry.server_body = std::move(server_body);
      break;
    case RunResult::kNeverSent:
      entry.state = WriteState::kNotRun;
      break;
    case RunResult::kNoReply:
      entry.state = WriteState::kUnknown;
      break;
  }
  for (const auto& request_id : std::exchange(entry.waiting_requests, {}))
    Reply(request_id, OutcomeOf(entry));
}

WriteOutcome KeyLedger::Outcome(std::string_view key,
                                std::string_view caller,
                                Time now) const {
  if (auto refusal = CheckKey(key, caller, now))
    return *refusal;
  const auto found = entries_.find(std::string(key));
  if (found == entries_.end()) {
    return NotRun(ResultCode::kWriteNotRun,
                  "the write has not run; the key is still valid", false);
  }
  return OutcomeOf(found->second);
}

WriteOutcome KeyLedger::Cancel(std::string_view key,
                               std::string_view caller,
                               Time now) {
  if (auto refusal = CheckKey(key, caller, now))
    return *refusal;
  const std::string name(key);
  if (!entries_.count(name)) {
    Entry entry;
    entry.state = WriteState::kNotRun;
    AddEntry(name, std::move(entry), now);
  }
  return Outcome(key, caller, now);
}

void KeyLedger::RemoveExpired(Time now) {
  while (!expiries_.empty() && expiries_.front().at <= now) {
    const auto found = entries_.find(expiries_.front().key);
    if (found != entries_.end() &&
        found->second.state == WriteState::kRunning) {
      // NOTE The entry of a running write is kept until the write ends.
      expiries_.push_back({now + kKeyLifetime, expiries_.front().key});
    } else if (found != entries_.end()) {
      entries_.erase(found);
    }
    expiries_.pop_front();
  }
}

void KeyLedger::Reply(const std::string& request_id, WriteOutcome outcome) {
  actions_.push_back(ReplyWrite{request_id, std::move(outcome)});
}

std::vector<LedgerAction> KeyLedger::TakeActions() {
  return std::exchange(actions_, {});
}

}  // namespace limpetrudder
