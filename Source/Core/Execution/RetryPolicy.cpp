#include "currantfall/Execution/RetryPolicy.h"

#include <algorithm>

#include "currantfall/Common/Invariant.h"

namespace Currantfall::Execution {

namespace {

// Ten additions of 0.1 give slightly less than 1.
constexpr double rounding = 1e-9;

bool isSafeToRepeat(const RetryQuestion &question)
{
    if (question.idempotent) {
        return true;
    }
    if (!question.keyed) {
        // Without a key nothing downstream can recognise a second copy.
        return false;
    }
    return question.lastOutcome == Common::Outcome::NotRun
           || question.repeatTarget == RepeatTarget::KeyOwner;
}

} // namespace

RetryBudget::RetryBudget(double fraction, double reserve, double capacity)
    : fraction(fraction), capacity(capacity), tokens(std::min(reserve, capacity))
{ }

void RetryBudget::onFirstAttempt()
{
    this->tokens = std::min(this->tokens + this->fraction, this->capacity);
}

bool RetryBudget::available() const
{
    return this->tokens >= 1.0 - rounding;
}

bool RetryBudget::tryTake()
{
    if (!this->available()) {
        return false;
    }
    this->tokens -= 1.0;
    Common::requireInvariant(this->tokens >= -rounding, "retry-budget",
                             "the retry budget is never negative", [this] {
                                 return nlohmann::json { { "tokens", this->tokens },
                                                         { "fraction", this->fraction },
                                                         { "capacity", this->capacity } };
                             });
    return true;
}

RetryVerdict mayRetry(const RetryQuestion &question, const RetryBudget &budget)
{
    if (question.lastOutcome == Common::Outcome::Answered) {
        return RetryVerdict::Answered;
    }
    if (!isSafeToRepeat(question)) {
        return RetryVerdict::NotSafe;
    }
    if (question.candidateServers.empty()) {
        return RetryVerdict::NoCandidate;
    }
    if (question.remainingDeadline <= absl::ZeroDuration()
        || question.remainingDeadline < question.expectedDuration) {
        return RetryVerdict::DeadlineTooShort;
    }
    return budget.available() ? RetryVerdict::Retry : RetryVerdict::BudgetEmpty;
}

std::vector<std::string> retryOrder(const std::vector<std::string> &candidates,
                                    const std::vector<std::string> &tried)
{
    std::vector<std::string> order = candidates;
    std::stable_partition(order.begin(), order.end(), [&tried](const std::string &candidate) {
        return std::find(tried.begin(), tried.end(), candidate) == tried.end();
    });
    return order;
}

std::optional<Common::Instant> hedgeAt(const HedgeQuestion &question, const RetryBudget &budget)
{
    if (!question.idempotent || !question.highQuantile || question.openAttempts != 1
        || !question.untriedCandidate || !budget.available()) {
        return std::nullopt;
    }
    const Common::Instant start = question.firstStart + *question.highQuantile;
    // A hedge that starts in that time before the deadline would mostly be work for nothing.
    if (start + *question.highQuantile > question.deadline) {
        return std::nullopt;
    }
    return start;
}

} // namespace Currantfall::Execution
