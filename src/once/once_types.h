#ifndef ONCE_ONCE_TYPES_H_
#define ONCE_ONCE_TYPES_H_

#include <cstdint>
#include <string>
#include <variant>

#include "framework/enum_names.h"
#include "framework/result_code.h"
#include "framework/time.h"

namespace limpetrudder {

// The state of a write that must run at most once.
enum class WriteState {
  kNotRun,   // Final: it has not run and never will.
  kRunning,  // Sent to a server; no reply yet.
  kDone,     // The server replied; the reply is kept.
  kUnknown,  // It may or may not have run; nobody will run it again.
};

inline constexpr EnumNames<WriteState, 4> kWriteStateNames{{
    {WriteState::kNotRun, "not_run"},
    {WriteState::kRunning, "running"},
    {WriteState::kDone, "done"},
    {WriteState::kUnknown, "unknown"},
}};

// A request to run a write under an idempotency key.
struct WriteRequest {
  std::string request_id;
  std::string key;
  std::string caller;
  std::string collection;
  std::string route;  // Selects the shard, such as a stock number.
  std::string body;
  Time deadline{};
};

// The outcome of a write as it is returned to the caller.
struct WriteOutcome {
  ResultCode code = ResultCode::kOk;
  WriteState state = WriteState::kNotRun;
  bool final = false;     // A later response won't differ.
  int server_status = 0;  // For kDone: the server's status and body.
  std::string server_body;
  std::string message;
  Duration retry_after{0};
};

}  // namespace limpetrudder

#endif  // ONCE_ONCE_TYPES_H_
