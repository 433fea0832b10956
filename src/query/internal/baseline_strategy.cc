#include "query/internal/baseline_strategy.h"

namespace limpetrudder::detail {

ServerChoice BaselineStrategy::Choose(const ChoiceInput& input,
                                      Time now,
                                      Random*) {
  const auto& servers = input.shard->servers;
  for (std::size_t i = 0; i < servers.size(); ++i) {
    const auto& server =
        servers[input.shard->next_round_robin++ % servers.size()];
    if (IsEligible(*server, input, now))
      return {server, false};
  }
  return {};
}

}  // namespace limpetrudder::detail
