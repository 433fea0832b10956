#ifndef FRAMEWORK_ERROR_H_
#define FRAMEWORK_ERROR_H_

#include <string>
#include <vector>

#include <boost/outcome.hpp>

#include "framework/result_code.h"

namespace limpetrudder {

// One fault: its number, where it is (a JSON pointer, may be empty) and a
// message for people.
struct Error {
  ResultCode code = ResultCode::kOk;
  std::string pointer;
  std::string message;
};

template <typename T, typename E = Error>
using Result = BOOST_OUTCOME_V2_NAMESPACE::unchecked<T, E>;

// A document is accepted or refused whole, with every fault found in one pass.
template <typename T>
using CheckedResult = Result<T, std::vector<Error>>;

inline auto Failure(ResultCode code, std::string message) {
  return BOOST_OUTCOME_V2_NAMESPACE::failure(
      Error{code, std::string(), std::move(message)});
}

}  // namespace limpetrudder

#endif  // FRAMEWORK_ERROR_H_
