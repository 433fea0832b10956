#ifndef DISPATCH_INTERNAL_ANSWER_POLICY_H_
#define DISPATCH_INTERNAL_ANSWER_POLICY_H_

#include "dispatch/internal/active_call.h"
#include "framework/time.h"

namespace limpetrudder::detail {

// What to do with a call now.
enum class AnswerDecision {
  kWait,
  kAnswer,  // With the parts received so far.
  kGiveUp,  // It can't be answered any more.
};

// Decides when a call gets its final answer. A complete answer is sent at once.
// At the latency target, a partial answer above the coverage floor is sent
// rather than wait for the last shards: a late answer is worth a fraction of a
// timely one, and one missing shard in twenty costs a tenth. Applies when
// servers pause and when shards have no server. Thread safe.
AnswerDecision DecideAnswer(const ActiveCall& call, Time now);

// Returns the time that an instance has, from the arrival of a request, to send
// an answer that reaches its caller within the latency target. Thread safe.
Duration LocalLatencyTarget(const Route& route, bool new_connection);

// Returns the size limit of the body of a server's answer. For a part it is a
// multiple of the merged answer's records, since servers send some more than
// are used. Thread safe.
std::size_t MaxBodyBytes(const Route& route);

// Returns the least number of shards whose share is not below the route's
// coverage floor.
std::uint32_t MinParts(const Route& route);

// Returns the least number of answered sub-queries that make an answer of
// `call`.
std::uint32_t MinSubQueries(const ActiveCall& call);

// Returns how many of the sub-queries that haven't failed the answer of `call`
// can do without.
std::uint32_t OptionalSubQueryCount(const ActiveCall& call);

// Returns how many parts a batch of `batch_size` sub-queries of the call may
// lack at the latency target. Usually that is all that the answer can do
// without, since few servers pause at a time. While servers are overloaded
// every batch lacks some parts, so each gets only its share; the query is then
// late rather than failed.
std::uint32_t MaxMissingInBatch(const ActiveCall& call,
                                std::size_t batch_size,
                                bool overloaded);

// Whether so many sub-queries have failed that the others don't make an answer.
bool HasTooManyFailures(const ActiveCall& call);

// Returns when DecideAnswer() may decide otherwise without any other event.
Time NextAnswerDecision(const ActiveCall& call, Time now);

}  // namespace limpetrudder::detail

#endif  // DISPATCH_INTERNAL_ANSWER_POLICY_H_
