#ifndef QUERY_INTERNAL_ANSWER_COMPOSER_H_
#define QUERY_INTERNAL_ANSWER_COMPOSER_H_

#include "query/internal/query_state.h"

namespace limpetrudder::detail {

// Composes the answer to a query from the shard answers received so far: the
// merged hits at the snapshot that most shards answered at, and the coverage
// with the reason for each missing shard. Open shards are reported as missing
// because of `late_reason`. If `whole_needed`, an incomplete answer has no hits
// and the code kNotWhole. Thread compatible.
SearchAnswer ComposeAnswer(const QueryState& query,
                           bool whole_needed,
                           ResultCode late_reason,
                           Time now);

}  // namespace limpetrudder::detail

#endif  // QUERY_INTERNAL_ANSWER_COMPOSER_H_
