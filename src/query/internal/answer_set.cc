#include "query/internal/answer_set.h"

#include <algorithm>
#include <map>
#include <set>
#include <utility>

namespace limpetrudder::detail {

void AnswerSet::Add(std::size_t shard, ShardAnswer answer) {
  if (!Has(shard, answer.snapshot))
    answers_[shard].push_back(std::move(answer));
}

bool AnswerSet::Has(std::size_t shard, Snapshot snapshot) const {
  const auto& answers = answers_[shard];
  return std::any_of(answers.begin(), answers.end(), [&](const auto& answer) {
    return answer.snapshot == snapshot;
  });
}

std::uint32_t AnswerSet::CountAt(Snapshot snapshot) const {
  std::uint32_t count = 0;
  for (std::size_t shard = 0; shard < answers_.size(); ++shard)
    count += Has(shard, snapshot) ? 1 : 0;
  return count;
}

Snapshot AnswerSet::BestSnapshot() const {
  std::map<Snapshot, std::uint32_t> counts;
  for (const auto& answers : answers_) {
    for (const auto& answer : answers)
      ++counts[answer.snapshot];
  }
  Snapshot best;
  std::uint32_t best_count = 0;
  for (const auto& [snapshot, count] : counts) {
    if (count >= best_count) {
      best = snapshot;
      best_count = count;
    }
  }
  return best;
}

std::vector<Hit> AnswerSet::MergeHits(Snapshot snapshot,
                                      std::size_t limit) const {
  std::vector<const Hit*> found;
  for (const auto& answers : answers_) {
    for (const auto& answer : answers) {
      if (answer.snapshot != snapshot)
        continue;
      for (const auto& hit : answer.hits)
        found.push_back(&hit);
    }
  }
  std::sort(found.begin(), found.end(), [](const Hit* a, const Hit* b) {
    return a->score != b->score ? a->score > b->score : a->id < b->id;
  });
  std::vector<Hit> merged;
  std::set<std::string_view> seen;
  for (const Hit* hit : found) {
    if (merged.size() == limit)
      break;
    if (seen.insert(hit->id).second)
      merged.push_back(*hit);
  }
  return merged;
}

Duration AnswerSet::MaxAge(Snapshot snapshot) const {
  Duration age{0};
  for (const auto& answers : answers_) {
    for (const auto& answer : answers) {
      if (answer.snapshot == snapshot)
        age = std::max(age, answer.snapshot_age);
    }
  }
  return age;
}

}  // namespace limpetrudder::detail
