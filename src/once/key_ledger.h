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

// Run the write now, on one server, on a fresh connection, without any resend.
struct RunWrite {
  std::string key;
  WriteRequest request;
};

// Answer the caller that waits under `request_id`.
struct ReplyWrite {
  std::string request_id;
  WriteOutcome outcome;
};

using LedgerAction = std::variant<RunWrite, ReplyWrite>;

// How the attempt to run a write ended.
enum class RunResult {
  kReplied,    // The server replied.
  kNeverSent,  // No byte of the request left this instance.
  kLost,       // It was sent, at least in part, and no reply came.
};

// Runs each key that this instance issued at most once, and remembers what
// became of it for as long as the key is valid. A key of another instance or of
// an earlier run of this one is never run here.
//
// Holds no clock and does no I/O. Not thread safe.
class KeyLedger {
 public:
  // How long after its issue a key may be run and asked about.
  static constexpr Duration kKeyLifetime = Seconds(900);

  explicit KeyLedger(KeyLedgerSettings settings);

  // Returns a fresh key that only `caller` can use. Issuing costs no memory.
  std::string IssueKey(std::string_view caller, Time now);

  // A caller, or another instance for it, asks to run a write. A repeat of a
  // key gets the outcome of the first; if that one runs still, it waits for it.
  void OnWrite(WriteRequest request, Time now);

  // The last check right before the first byte is sent; call it on the thread
  // that sends. A holder that was frozen since OnWrite() finds here that its
  // deadline has passed. Thread safe.
  static bool MayStillRun(const WriteRequest& request, Time now) {
    return now < request.deadline;
  }

  // A RunWrite ended.
  void OnRunEnded(const std::string& key,
                  RunResult result,
                  int server_status,
                  std::string server_body,
                  Time now);

  // Reports the outcome of a key of this instance to its own caller.
  WriteOutcome Outcome(std::string_view key,
                       std::string_view caller,
                       Time now) const;

  // Makes sure that a key that has not run never will. Returns its outcome.
  WriteOutcome Cancel(std::string_view key, std::string_view caller, Time now);

  // Forgets expired keys.
  void Turn(Time now);

  std::vector<LedgerAction> TakeActions();

  // Whether a write runs; a graceful stop waits for it.
  bool idle() const { return running_ == 0; }
  std::size_t size() const { return entries_.size(); }

 private:
  struct Entry {
    WriteState state = WriteState::kRunning;
    std::uint64_t body_hash = 0;
    int server_status = 0;
    std::string server_body;
    std::vector<std::string> waiting;  // Request ids.
  };

  // Returns why a key can't be run or asked about here, if so.
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
