#pragma once

#include <cstdint>
#include <string>

#include <absl/time/time.h>
#include <nlohmann/json.hpp>

#include "currantfall/Common/Error.h"

namespace Currantfall::BackendStandin {

enum class Distribution {
    Fixed,
    Exponential,
};

/// How a backend server behaves. Fractions are the share of requests that a fault hits; which ones
/// it hits depends only on the seed and the order of the requests.
struct Behaviour
{
    absl::Duration serviceTime = absl::Milliseconds(10); ///< Mean.
    Distribution distribution = Distribution::Fixed;
    absl::Duration connectionCost = absl::Milliseconds(1);
    /// After a start, service times are multiplied by coldFactor, falling linearly to 1.
    absl::Duration coldStart = absl::ZeroDuration();
    double coldFactor = 5.0;
    /// Requests above the slots are shed. Otherwise they run, which counts as a slot overrun.
    bool shed = true;
    /// Health says "draining" and new work is shed.
    bool draining = false;
    /// All answers to requests say that the server leaves. It still takes work, and its health says
    /// nothing of it. Setting this back counts as a restart: the server states a later start.
    bool leaving = false;
    double pause = 0.0; ///< Refuses and asks the entry VM for no requests for `pauseTime`.
    absl::Duration pauseTime = absl::Seconds(1);
    absl::Duration reportLag = absl::ZeroDuration();
    /// Health says this number of slots in use; -1 is the truth.
    std::int64_t reportInUse = -1;
    /// Health says this state; empty is the truth.
    std::string reportState;
    /// Answers come this much later, after the slot was released.
    absl::Duration answerDelay = absl::ZeroDuration();
    double truncate = 0.0; ///< Sends half of the declared length, then closes.
    double hang = 0.0;     ///< Never does the work nor answers; holds the slot until cancelled.
    double closeAfterRun = 0.0; ///< Does the work, then closes without an answer.
    double mismatch = 0.0;      ///< Answers with the attempt and content of another request.

    friend bool operator==(const Behaviour &left, const Behaviour &right) = default;
};

/// `current` with the fields of a JSON object replaced. Unknown fields and wrong types are errors.
Common::Result<Behaviour> changed(const Behaviour &current, const nlohmann::json &changes);

nlohmann::json toJson(const Behaviour &behaviour);

} // namespace Currantfall::BackendStandin
