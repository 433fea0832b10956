#include "query/answer_json.h"

namespace limpetrudder {

nlohmann::ordered_json WriteCode(ResultCode code) {
  return {{"number", NumberOf(code)}, {"name", NameOf(code)}};
}

nlohmann::ordered_json WriteDecisions(const std::vector<Decision>& decisions) {
  auto list = nlohmann::ordered_json::array();
  for (const auto& decision : decisions) {
    nlohmann::ordered_json entry;
    entry["at_ms"] = ToMillis(decision.at);
    entry["decision"] = NameOf(kDecisionKindNames, decision.kind);
    if (!decision.shard.empty())
      entry["shard"] = decision.shard;
    if (!decision.target.empty())
      entry["target"] = decision.target;
    if (decision.kind == DecisionKind::kPinned ||
        decision.kind == DecisionKind::kRepinned) {
      entry["version"] = decision.attempt;
    } else if (decision.attempt != 0) {
      entry["attempt"] = decision.attempt;
    }
    if (decision.reason != ResultCode::kOk)
      entry["reason"] = NameOf(decision.reason);
    list.push_back(std::move(entry));
  }
  return list;
}

nlohmann::ordered_json WriteAnswer(const SearchAnswer& answer) {
  nlohmann::ordered_json json;
  json["request_id"] = answer.request_id;
  json["code"] = WriteCode(answer.code);
  json["execution"] = NameOf(kExecutionNames, answer.execution);
  json["hits"] = nlohmann::ordered_json::array();
  for (const auto& hit : answer.hits) {
    json["hits"].push_back(
        {{"id", hit.id}, {"title", hit.title}, {"score", hit.score}});
  }
  json["snapshot"] = {{"map_epoch", answer.snapshot.map_epoch},
                      {"version", answer.snapshot.version},
                      {"age_ms", WholeMillis(answer.snapshot_age)}};
  auto missing = nlohmann::ordered_json::array();
  for (const auto& shard : answer.coverage.missing) {
    missing.push_back(
        {{"shard", shard.shard}, {"reason", NameOf(shard.reason)}});
  }
  json["coverage"] = {{"shards_total", answer.coverage.shards_total},
                      {"shards_answered", answer.coverage.shards_answered},
                      {"complete", answer.coverage.complete()},
                      {"missing", std::move(missing)}};
  json["took_ms"] = ToMillis(answer.took);
  json["sub_queries"] = answer.sub_queries;
  json["extra_sub_queries"] = answer.extra_sub_queries;
  if (answer.retry_after.count() > 0)
    json["retry_after_ms"] = WholeMillis(answer.retry_after);
  if (!answer.decisions.empty())
    json["decisions"] = WriteDecisions(answer.decisions);
  return json;
}

}  // namespace limpetrudder
