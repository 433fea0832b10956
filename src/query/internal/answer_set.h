#ifndef QUERY_INTERNAL_ANSWER_SET_H_
#define QUERY_INTERNAL_ANSWER_SET_H_

#include <cstdint>
#include <vector>

#include "query/query_types.h"

namespace limpetrudder::detail {

// The shards' answers to one query, kept separately for each snapshot so that
// one merged answer never mixes snapshots. Not thread safe.
class AnswerSet {
 public:
  explicit AnswerSet(std::size_t shards) : answers_(shards) {}

  // Adds an answer of `shard`. Ignored if the shard already has an answer at
  // the same snapshot.
  void Add(std::size_t shard, ShardAnswer answer);

  bool Has(std::size_t shard, Snapshot snapshot) const;
  const std::vector<ShardAnswer>& ForShard(std::size_t shard) const {
    return answers_[shard];
  }

  // Returns the number of shards that answered at `snapshot`.
  std::uint32_t CountAt(Snapshot snapshot) const;

  // Returns the snapshot that most shards answered at, the newest if several
  // tie, or {0, 0} if there are no answers.
  Snapshot BestSnapshot() const;

  // Returns the best `limit` hits of all answers at `snapshot`, ordered by
  // descending score, then by id. An id that several shards return is listed
  // once.
  std::vector<Hit> MergeHits(Snapshot snapshot, std::size_t limit) const;

  // Returns the highest snapshot age among the answers at `snapshot`.
  Duration MaxAge(Snapshot snapshot) const;

 private:
  std::vector<std::vector<ShardAnswer>> answers_;
};

}  // namespace limpetrudder::detail

#endif  // QUERY_INTERNAL_ANSWER_SET_H_
