#pragma once

#include <mutex>

#include <absl/time/time.h>
#include <nlohmann/json.hpp>

#include "currantfall/Common/Error.h"

namespace Currantfall::Standins {

enum class Outage {
    None,
    Close,              ///< Connections are accepted and closed without an answer.
    ServiceUnavailable, ///< Requests get status 503.
};

struct Faults
{
    Outage outage = Outage::None;
    absl::Duration delay = absl::ZeroDuration();
    /// Row writes still to come that take effect without an answer.
    std::size_t loseAnswers = 0;
    absl::Duration vmListLag = absl::ZeroDuration();

    nlohmann::json toJson() const;
};

/// The faults in force. Thread-safe.
class FaultPlan
{
public:
    /// Applies the members of `{"outage": false|true|"close"|"503", "delay_ms", "lose_answers",
    /// "vm_list_lag_ms"}`; members that are absent keep their values. Applies nothing if one is
    /// malformed. `true` is "close".
    Common::Result<Faults> apply(const nlohmann::json &change);

    Faults current() const;
    /// Counts one lost answer; false if none is left.
    bool takeLostAnswer();

private:
    mutable std::mutex mutex;
    Faults faults;
};

} // namespace Currantfall::Standins
