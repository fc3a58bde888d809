#pragma once

namespace Currantfall::Admission {

/// Limits the retries of one service to a fraction of its first attempts, so that a failure of many
/// backend servers can't multiply the load.
class RetryBudget
{
public:
    struct Settings
    {
        /// Retries earned per first attempt.
        double ratio = 0.1;
        /// Retries available at the start, before any first attempt.
        double initial = 3.0;
        /// Most retries that can be saved up.
        double maximum = 50.0;
    };

    RetryBudget() : RetryBudget(Settings()) { }
    explicit RetryBudget(Settings settings) : settings(settings), tokens(settings.initial) { }

    void recordFirstAttempt();
    /// Takes one retry; false if the budget is used up.
    [[nodiscard]] bool tryRetry();

    double available() const { return this->tokens; }

private:
    Settings settings;
    double tokens;
};

} // namespace Currantfall::Admission
