#ifndef QUERY_INTERNAL_ANSWER_SET_H_
#define QUERY_INTERNAL_ANSWER_SET_H_

#include <cstdint>
#include <vector>

#include "query/query_types.h"

namespace limpetrudder::detail {

// The shards' answers to one query, kept apart by snapshot so that two
// snapshots never meet in one answer. Not thread safe.
class AnswerSet {
 public:
  explicit AnswerSet(std::size_t shards) : answers_(shards) {}

  // Keeps an answer; the first for a snapshot stands.
  void Add(std::size_t shard, ShardAnswer answer);

  bool Has(std::size_t shard, Snapshot snapshot) const;
  const std::vector<ShardAnswer>& ForShard(std::size_t shard) const {
    return answers_[shard];
  }

  // How many shards answered at `snapshot`.
  std::uint32_t CountAt(Snapshot snapshot) const;

  // The snapshot that most shards answered at, the newest of equals, or {0, 0}.
  Snapshot BestSnapshot() const;

  // The best `limit` hits of all answers at `snapshot`, by score, then by id;
  // an id that two shards return is listed once.
  std::vector<Hit> MergeHits(Snapshot snapshot, std::size_t limit) const;

  // The greatest age among the answers at `snapshot`.
  Duration MaxAge(Snapshot snapshot) const;

 private:
  std::vector<std::vector<ShardAnswer>> answers_;
};

}  // namespace limpetrudder::detail

#endif  // QUERY_INTERNAL_ANSWER_SET_H_
