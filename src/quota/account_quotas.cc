#include "quota/account_quotas.h"

#include <algorithm>
#include <utility>

namespace limpetrudder {
namespace {

// Marks the refs of this instance's own asks.
constexpr std::uint64_t kOwnRef = std::uint64_t{1} << 63;

constexpr bool IsGates(std::uint64_t id) {
  return id % 2 == 1;
}

}  // namespace

AccountQuotas::AccountQuotas(QuotaBounds bounds,
                             const QuotaMember& own,
                             std::map<std::string, std::string> regions,
                             std::uint64_t seed)
    : own_name_(own.name),
      owners_(own, std::move(regions)),
      limits_([](const std::string&) { return std::nullopt; }),
      keeper_(bounds, &owners_, &limits_, &outputs_, seed),
      gate_(&owners_, &outputs_, ~seed) {}

std::optional<Time> AccountQuotas::Admit(std::uint64_t call,
                                         const std::string& account,
                                         Time now) {
  const auto valid_until = gate_.Admit(call, account, now);
  DeliverOwn(now);
  return valid_until;
}

void AccountQuotas::GiveBack(const std::string& account,
                             Time valid_until,
                             Time now) {
  gate_.GiveBack(account, valid_until, now);
}

void AccountQuotas::OnAsk(std::uint64_t ref, const QuotaAsk& ask, Time now) {
  keeper_.OnAsk(ref, ask, /*own=*/false, now);
  DeliverOwn(now);
}

void AccountQuotas::OnAnswer(std::uint64_t id,
                             const std::optional<QuotaAnswer>& answer,
                             Time now) {
  if (answer)
    keeper_.OnHeard(now);
  if (IsGates(id))
    gate_.OnAnswer(id, answer, now);
  else
    keeper_.OnAnswer(id, answer, now);
  DeliverOwn(now);
}

Time AccountQuotas::Tick(Time now) {
  const Time next = std::min(gate_.Tick(now), keeper_.Tick(now));
  DeliverOwn(now);
  return next;
}

void AccountQuotas::DeliverOwn(Time now) {
  bool delivered = true;
  while (std::exchange(delivered, false)) {
    for (auto& ask : std::exchange(outputs_.asks, {})) {
      if (ask.instance == own_name_) {
        keeper_.OnAsk(ask.id | kOwnRef, ask.ask, /*own=*/true, now);
        delivered = true;
      } else {
        outputs_.asks.push_back(std::move(ask));
      }
    }
    for (const auto& answer : std::exchange(outputs_.answers, {})) {
      if ((answer.ref & kOwnRef) != 0) {
        gate_.OnAnswer(answer.ref & ~kOwnRef, answer.answer, now);
        delivered = true;
      } else {
        outputs_.answers.push_back(answer);
      }
    }
  }
}

QuotaOutputs AccountQuotas::TakeOutputs() {
  return std::exchange(outputs_, {});
}

}  // namespace limpetrudder
