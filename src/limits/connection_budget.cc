#include "limits/connection_budget.h"

#include <algorithm>

namespace limpetrudder {
namespace {

bool Moves(ConnectionPhase phase) {
  return phase == ConnectionPhase::kHead || phase == ConnectionPhase::kBody ||
         phase == ConnectionPhase::kSending;
}

}  // namespace

ConnectionBudget::ConnectionBudget(const ConnectionLimits& limits)
    : limits_(limits) {}

void ConnectionBudget::SetTimeouts(Duration idle, Duration head) {
  limits_.idle_timeout = idle;
  limits_.head_timeout = head;
}

void ConnectionBudget::Open(ConnectionId id, Time now) {
  Entry& entry = entries_[id];
  entry.phase_start = now;
  Order& idle = InPhase(ConnectionPhase::kIdle);
  entry.in_phase = idle.insert(idle.end(), id);
  entry.in_moving = resting_.insert(resting_.end(), id);
}

void ConnectionBudget::Close(ConnectionId id) {
  const auto found = entries_.find(id);
  if (found == entries_.end())
    return;
  const Entry& entry = found->second;
  InPhase(entry.phase).erase(entry.in_phase);
  (Moves(entry.phase) ? moving_ : resting_).erase(entry.in_moving);
  bytes_ -= entry.bytes;
  entries_.erase(found);
}

void ConnectionBudget::SetPhase(ConnectionId id,
                                ConnectionPhase phase,
                                Time now) {
  Entry& entry = entries_.at(id);
  // Lists move their elements without allocating memory.
  InPhase(phase).splice(InPhase(phase).end(), InPhase(entry.phase),
                        entry.in_phase);
  Order& from = Moves(entry.phase) ? moving_ : resting_;
  Order& to = Moves(phase) ? moving_ : resting_;
  to.splice(to.end(), from, entry.in_moving);
  entry.phase = phase;
  entry.phase_start = now;
  entry.progress = 0;
}

void ConnectionBudget::AddProgress(ConnectionId id, std::size_t bytes) {
  Entry& entry = entries_.at(id);
  entry.progress += bytes;
  if (entry.progress < kProgressBytes)
    return;
  entry.progress = 0;
  if (Moves(entry.phase))
    moving_.splice(moving_.end(), moving_, entry.in_moving);
}

void ConnectionBudget::SetBytes(ConnectionId id, std::size_t bytes) {
  Entry& entry = entries_.at(id);
  bytes_ += bytes;
  bytes_ -= entry.bytes;
  entry.bytes = bytes;
}

std::optional<ConnectionBudget::ConnectionId>
ConnectionBudget::FirstToGoForBytes() const {
  for (const Order* order : {&InPhase(ConnectionPhase::kClosing), &moving_,
                             &InPhase(ConnectionPhase::kIdle)}) {
    if (!order->empty())
      return order->front();
  }
  return std::nullopt;
}

std::optional<ConnectionBudget::ConnectionId>
ConnectionBudget::FirstToGoForNumber() const {
  for (const Order* order : {&InPhase(ConnectionPhase::kClosing),
                             &InPhase(ConnectionPhase::kIdle), &moving_}) {
    if (!order->empty())
      return order->front();
  }
  return std::nullopt;
}

Time ConnectionBudget::next_expiry() const {
  Time next = kNever;
  for (const auto& [phase, name] : kConnectionPhaseNames) {
    const Order& order = InPhase(phase);
    if (!order.empty())
      next = std::min(next,
                      entries_.at(order.front()).phase_start + timeout(phase));
  }
  return next;
}

std::optional<ConnectionBudget::ConnectionId> ConnectionBudget::FindExpired(
    Time now) const {
  for (const auto& [phase, name] : kConnectionPhaseNames) {
    const Order& order = InPhase(phase);
    if (!order.empty() &&
        entries_.at(order.front()).phase_start + timeout(phase) <= now)
      return order.front();
  }
  return std::nullopt;
}

Duration ConnectionBudget::timeout(ConnectionPhase phase) const {
  switch (phase) {
    case ConnectionPhase::kIdle:
      return limits_.idle_timeout;
    case ConnectionPhase::kHead:
      return limits_.head_timeout;
    case ConnectionPhase::kBody:
      return limits_.body_timeout;
    case ConnectionPhase::kServing:
      return limits_.serving_timeout;
    case ConnectionPhase::kSending:
      return limits_.sending_timeout;
    case ConnectionPhase::kClosing:
      return limits_.closing_timeout;
  }
  return limits_.idle_timeout;
}

}  // namespace limpetrudder
