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
  const bool may_hold = server.MayHold(input.snapshot) ||
                        (input.include_unreported &&
                         server.MayHaveAdvancedTo(input.snapshot, now));
  return may_hold && server.MayTakeWork(now) && !IsExcluded(server, input);
}

}  // namespace limpetrudder::detail
