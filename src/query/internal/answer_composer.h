#ifndef QUERY_INTERNAL_ANSWER_COMPOSER_H_
#define QUERY_INTERNAL_ANSWER_COMPOSER_H_

#include "query/internal/query_state.h"

namespace limpetrudder::detail {

// Composes the answer to a query from what came back so far: the hits of the
// snapshot that most shards answered at, and the truth about the rest. Shards
// still open are missing for `late_reason`. With `whole_needed` part of an
// answer becomes a refusal. Thread compatible.
SearchAnswer ComposeAnswer(const QueryState& query,
                           bool whole_needed,
                           ResultCode late_reason,
                           Time now);

}  // namespace limpetrudder::detail

#endif  // QUERY_INTERNAL_ANSWER_COMPOSER_H_
