#ifndef APP_CONNECTION_SHARES_H_
#define APP_CONNECTION_SHARES_H_

#include "app/entry_settings.h"
#include "limits/connection_budget.h"

namespace limpetrudder {

// The parts of the process's memory and descriptors that the connections of its
// ports may take. The rest is for servers, the store, files and the program.
struct ConnectionShares {
  ConnectionLimits callers;
  ConnectionLimits peers;
  ConnectionLimits ready;
};

// Derives the shares from the memory and the descriptors of the settings; from
// the descriptors that the process may open if these are fewer. Thread safe.
ConnectionShares MakeConnectionShares(const EntrySettings& settings);

}  // namespace limpetrudder

#endif  // APP_CONNECTION_SHARES_H_
