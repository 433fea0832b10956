#ifndef QUERY_INTERNAL_ANSWER_BOOK_H_
#define QUERY_INTERNAL_ANSWER_BOOK_H_

#include <cstdint>
#include <vector>

#include "query/query_types.h"

namespace limpetrudder::detail {

// The shards' answers to one query, kept apart by snapshot so that two
// snapshots never meet in one answer. Not thread safe.
class AnswerBook {
 public:
  explicit AnswerBook(std::size_t shards) : answers_(shards) {}

  // Keeps an answer; the first for a snapshot stands.
  void Add(std::size_t shard, ShardAnswer answer);

  bool Has(std::size_t shard, Snapshot snapshot) const;
  const std::vector<ShardAnswer>& of(std::size_t shard) const {
    return answers_[shard];
  }

  // How many shards answered at `snapshot`.
  std::uint32_t CountAt(Snapshot snapshot) const;

  // The snapshot that most shards answered at, the newest of equals, or {0, 0}.
  Snapshot Best() const;

  // The best `limit` hits of all answers at `snapshot`, by score, then by id;
  // an id that two shards return is listed once.
  std::vector<Hit> Merge(Snapshot snapshot, std::size_t limit) const;

  // The greatest age among the answers at `snapshot`.
  Duration Age(Snapshot snapshot) const;

 private:
  std::vector<std::vector<ShardAnswer>> answers_;
};

}  // namespace limpetrudder::detail

#endif  // QUERY_INTERNAL_ANSWER_BOOK_H_
