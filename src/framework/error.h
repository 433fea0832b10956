#ifndef FRAMEWORK_ERROR_H_
#define FRAMEWORK_ERROR_H_

#include <string>
#include <vector>

#include <boost/outcome.hpp>

#include "framework/result_code.h"

namespace limpetrudder {

// One error: its code, the JSON pointer to the value at fault (may be empty)
// and a message for people.
struct Error {
  ResultCode code = ResultCode::kOk;
  std::string pointer;
  std::string message;
};

template <typename T, typename E = Error>
using Result = BOOST_OUTCOME_V2_NAMESPACE::unchecked<T, E>;

// A validated document, or every error that was found in it. A document is
// never accepted in part.
template <typename T>
using CheckedResult = Result<T, std::vector<Error>>;

// Returns a failed Result. Thread safe.
inline auto Failure(ResultCode code, std::string message) {
  return BOOST_OUTCOME_V2_NAMESPACE::failure(
      Error{code, std::string(), std::move(message)});
}

}  // namespace limpetrudder

#endif  // FRAMEWORK_ERROR_H_
