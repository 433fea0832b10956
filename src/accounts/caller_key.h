#ifndef ACCOUNTS_CALLER_KEY_H_
#define ACCOUNTS_CALLER_KEY_H_

#include <string>

namespace limpetrudder {

enum class CallerKeyState {
  kAbsent,
  kMalformed,  // Or more than one.
  kPresent,
};

// The key with which a caller named its account. Never logged.
struct CallerKey {
  CallerKeyState state = CallerKeyState::kAbsent;
  std::string key;  // Empty unless the state is kPresent.
};

}  // namespace limpetrudder

#endif  // ACCOUNTS_CALLER_KEY_H_
