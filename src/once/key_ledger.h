#ifndef ONCE_KEY_LEDGER_H_
#define ONCE_KEY_LEDGER_H_

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <variant>
#include <vector>

#include "framework/time.h"
#include "once/idempotency_key.h"
#include "once/once_types.h"

namespace limpetrudder {

struct KeyLedgerSettings {
  std::string instance;
  std::string peer_address;
  std::uint64_t incarnation = 0;  // Differs for each start of the instance.
  std::string secret;             // Signs keys; differs for each start as well.
  std::size_t max_entries = 100'000;
};

// Tells the owner to run the write now, on one server, on a fresh connection
// and without resending it.
struct RunWrite {
  std::string key;
  WriteRequest request;
};

// Tells the owner to reply to the caller that waits under `request_id`.
struct ReplyWrite {
  std::string request_id;
  WriteOutcome outcome;
};

using LedgerAction = std::variant<RunWrite, ReplyWrite>;

// How the attempt of the owner to run a write ended.
enum class RunResult {
  kReplied,    // The server replied.
  kNeverSent,  // No byte of the request left this instance.
  kNoReply,    // The request was sent, at least in part, and no reply came.
};

// Runs the write of each key that this instance issued at most once, and keeps
// its outcome for as long as the key is valid. Never runs a key of another
// instance or of an earlier incarnation of this one.
//
// Reads no clock and does no I/O. Not thread safe.
class KeyLedger {
 public:
  // How long after its issue a key can be run and its outcome requested.
  static constexpr Duration kKeyLifetime = Seconds(900);

  explicit KeyLedger(KeyLedgerSettings settings);

  // Returns a new key that only `caller` can use. An issued key takes no memory
  // until it is used.
  std::string IssueKey(std::string_view caller, Time now);

  // Handles the request of a caller, or of another instance on its behalf, to
  // run a write. A request with a key that was used before gets the outcome of
  // the first one. If that one still runs, it waits for it.
  void OnWrite(WriteRequest request, Time now);

  // Returns whether the write may still be sent. Call it right before the first
  // byte is sent, on the thread that sends. If the process was frozen since
  // OnWrite(), this check finds that the deadline has passed. Thread safe.
  static bool MayStillRun(const WriteRequest& request, Time now) {
    return now < request.deadline;
  }

  // The run that a RunWrite started has ended.
  void OnRunEnded(const std::string& key,
                  RunResult result,
                  int server_status,
                  std::string server_body,
                  Time now);

  // Returns the outcome of a key of this instance to the caller it was issued
  // to.
  WriteOutcome Outcome(std::string_view key,
                       std::string_view caller,
                       Time now) const;

  // Prevents a key that has not run from ever running. Returns its outcome.
  WriteOutcome Cancel(std::string_view key, std::string_view caller, Time now);

  // Removes the entries of expired keys.
  void RemoveExpired(Time now);

  std::vector<LedgerAction> TakeActions();

  // Whether no write runs. A graceful stop waits for this.
  bool idle() const { return running_ == 0; }
  std::size_t size() const { return entries_.size(); }

 private:
  struct Entry {
    WriteState state = WriteState::kRunning;
    std::uint64_t body_hash = 0;
    int server_status = 0;
    std::string server_body;
    std::vector<std::string> waiting_requests;  // Request ids.
  };

  // Returns the refusal if the key can't be run here or its outcome requested.
  std::optional<WriteOutcome> CheckKey(std::string_view text,
                                       std::string_view caller,
                                       Time now) const;
  std::string Sign(const IdempotencyKey& key, std::string_view caller) const;
  WriteOutcome OutcomeOf(const Entry& entry) const;
  void Reply(const std::string& request_id, WriteOutcome outcome);
  Entry& AddEntry(const std::string& key, Entry entry, Time now);

  KeyLedgerSettings settings_;
  std::uint64_t next_sequence_ = 1;
  std::size_t running_ = 0;
  std::unordered_map<std::string, Entry> entries_;
  struct Expiry {
    Time at{};
    std::string key;
  };
  std::deque<Expiry> expiries_;
  std::vector<LedgerAction> actions_;
};

}  // namespace limpetrudder

#endif  // ONCE_KEY_LEDGER_H_
