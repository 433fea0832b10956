#ifndef DISPATCH_INTERNAL_ANSWER_POLICY_H_
#define DISPATCH_INTERNAL_ANSWER_POLICY_H_

#include "dispatch/internal/active_call.h"
#include "framework/time.h"

namespace limpetrudder::detail {

// What a call should do now.
enum class AnswerDecision {
  kWait,
  kAnswer,  // With what is in.
  kGiveUp,  // It can't be answered any more.
};

// Decides when a call has its final answer. A whole answer goes out at once.
// When the time for the latency target is up, an answer above the coverage
// floor goes out rather than wait for the last shards: a late answer is worth a
// fraction, a missing shard in twenty a tenth. Answers the load of days on
// which servers pause, and of shards that nobody serves. Thread safe.
AnswerDecision DecideAnswer(const ActiveCall& call, Time now);

// The time that an instance has from a request's arrival to an answer that its
// caller gets within the latency target. Thread safe.
Duration LocalLatencyTarget(const Route& route, bool new_connection);

// The longest body of a server's answer: a part has no use for more records
// than the merged answer, but servers send some more. Thread safe.
std::size_t MaxBodyBytes(const Route& route);

// The fewest shards that an answer must hold: its share is not below the floor.
std::uint32_t MinParts(const Route& route);

// The fewest legs that make an answer of `call`.
std::uint32_t MinSubQueries(const ActiveCall& call);

// How many of the legs that are still open the answer can do without.
std::uint32_t OptionalSubQueryCount(const ActiveCall& call);

// How many parts a batch of `legs` of the call's legs may lack when the time
// for the target is up. At usual times any that the answer can do without: few
// servers pause at a time. While servers are crowded all batches lack some, and
// each gets its share only, so that the query comes late rather than fails.
std::uint32_t MaxMissingInBatch(const ActiveCall& call,
                                std::size_t sub_queries,
                                bool crowded);

// Whether so many legs have failed that the others don't make an answer.
bool HasTooManyFailures(const ActiveCall& call);

// Returns when DecideAnswer() may decide otherwise without further news.
Time NextAnswerDecision(const ActiveCall& call, Time now);

}  // namespace limpetrudder::detail

#endif  // DISPATCH_INTERNAL_ANSWER_POLICY_H_
