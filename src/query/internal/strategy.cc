#include "query/internal/strategy.h"

#include <algorithm>

namespace limpetrudder::detail {
namespace {

bool IsExcluded(const ServerState& server, const ChoiceInput& input) {
  return input.excluded != nullptr &&
         std::find(input.excluded->begin(), input.excluded->end(), &server) !=
             input.excluded->end();
}

}  // namespace

bool IsEligible(const ServerState& server, const ChoiceInput& input, Time now) {
  return server.MayTakeWork(now) && server.MayHold(input.snapshot) &&
         !IsExcluded(server, input);
}

}  // namespace limpetrudder::detail
