#pragma once

#include <cstddef>

#include <absl/time/time.h>

#include "currantfall/Common/Time.h"

namespace Currantfall::Admission {

/// Stops attempts at a backend server that fails one after the other: does not accept connections,
/// refuses all work, or does not answer.
class CircuitBreaker
{
public:
    enum class State {
        Closed,   ///< Attempts are allowed.
        Open,     ///< Attempts are refused until the open time has passed.
        HalfOpen, ///< One probe at a time is allowed.
    };

    struct Settings
    {
        /// Consecutive failures that open the breaker.
        std::size_t failuresToOpen = 3;
        absl::Duration initialOpenTime = absl::Milliseconds(500);
        /// The open time doubles up to this after each failed probe.
        absl::Duration longestOpenTime = absl::Seconds(8);
        /// A probe without a result after this time counts as failed.
        absl::Duration probeTimeout = absl::Seconds(2);
    };

    CircuitBreaker() : CircuitBreaker(Settings()) { }
    explicit CircuitBreaker(Settings settings);

    /// True if an attempt may be made now. In the half-open state this takes the only probe, so it
    /// is called only directly before an attempt.
    [[nodiscard]] bool tryAttempt(Common::Instant now);
    /// Gives an attempt back that was allowed and has told nothing about the server.
    void attemptNotMade();
    void succeeded();
    void failed(Common::Instant now);

    State state(Common::Instant now) const;
    /// When the next attempt can be allowed; `now` if it already is.
    Common::Instant nextAttempt(Common::Instant now) const;

private:
    void open(Common::Instant now);

    Settings settings;
    std::size_t failures = 0;
    bool opened = false;
    bool probing = false;
    absl::Duration openTime;
    Common::Instant openUntil;
    Common::Instant probeEnds;
};

} // namespace Currantfall::Admission
