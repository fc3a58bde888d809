#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

#include <absl/time/time.h>

#include "currantfall/Common/Outcome.h"
#include "currantfall/Common/Time.h"

namespace Currantfall::Execution {

/// Retries and hedges that a service may use: a fraction of its first attempts.
class RetryBudget
{
public:
    /// Starts with `reserve` retries and never saves up more than `capacity`.
    explicit RetryBudget(double fraction = 0.1, double reserve = 2.0, double capacity = 100.0);

    void onFirstAttempt();
    bool available() const;
    /// Takes one retry; false if there is none.
    [[nodiscard]] bool tryTake();

private:
    double fraction;
    double capacity;
    double tokens;
};

/// Where a repeated attempt would go.
enum class RepeatTarget {
    BackendServer, ///< Executes whatever arrives.
    KeyOwner,      ///< The key's issuer or deputy, which deduplicates by key.
};

/// What the decision about a retry depends on.
struct RetryQuestion
{
    bool idempotent = false;
    bool keyed = false;
    RepeatTarget repeatTarget = RepeatTarget::BackendServer;
    Common::Outcome lastOutcome = Common::Outcome::OutcomeUnknown;
    std::vector<std::string> triedServers;
    std::vector<std::string> candidateServers;
    absl::Duration remainingDeadline = absl::ZeroDuration();
    /// Expected duration of another attempt.
    absl::Duration expectedDuration = absl::ZeroDuration();
};

enum class RetryVerdict {
    Retry,
    Answered,         ///< There is nothing to repeat.
    NotSafe,          ///< A repeat might execute the request twice.
    DeadlineTooShort, ///< Another attempt can't finish in time.
    NoCandidate,
    BudgetEmpty,
};

/// Decides about a retry without taking it from the budget.
RetryVerdict mayRetry(const RetryQuestion &question, const RetryBudget &budget);

/// Candidates in the order in which a retry tries them: untried ones first, tried ones last.
std::vector<std::string> retryOrder(const std::vector<std::string> &candidates,
                                    const std::vector<std::string> &tried);

struct HedgeQuestion
{
    bool idempotent = false;
    /// Start of the request's only attempt.
    Common::Instant firstStart;
    std::size_t openAttempts = 1;
    /// High quantile of the service's response time; nullopt while there are too few samples.
    std::optional<absl::Duration> highQuantile;
    Common::Instant deadline;
    bool untriedCandidate = false;
};

/// The time at which a second attempt may start while the first one still runs; nullopt if none
/// may. Take it from the budget (RetryBudget::tryTake) when it starts.
std::optional<Common::Instant> hedgeAt(const HedgeQuestion &question, const RetryBudget &budget);

} // namespace Currantfall::Execution
