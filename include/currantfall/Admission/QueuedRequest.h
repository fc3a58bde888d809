#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <utility>
#include <vector>

#include <absl/time/time.h>

#include "currantfall/Common/Names.h"
#include "currantfall/Common/Outcome.h"
#include "currantfall/Common/Time.h"

namespace Currantfall::Admission {

using RequestId = std::uint64_t;

/// The unit of fairness within a rank.
struct FlowKey
{
    Common::TenantName tenant;
    Common::ServiceName service;

    // clang-tidy 14 takes the literal zero of rewritten comparisons for a null pointer.
    // NOLINTNEXTLINE(modernize-use-nullptr)
    friend auto operator<=>(const FlowKey &left, const FlowKey &right) = default;

    template<typename State>
    friend State AbslHashValue(State state, const FlowKey &flow)
    {
        return State::combine(std::move(state), flow.tenant, flow.service);
    }
};

struct QueuedRequest
{
    RequestId id = 0;
    Common::RankIndex rank = 0;
    FlowKey flow;
    Common::Instant deadline;
    std::size_t bodyBytes = 0;

    friend bool operator==(const QueuedRequest &left, const QueuedRequest &right) = default;
};

struct TenantWeight
{
    Common::TenantName name;
    double weight = 1.0;

    friend bool operator==(const TenantWeight &left, const TenantWeight &right) = default;
};

/// Why a request is not taken, and when a retry makes sense.
struct Refusal
{
    Common::Reason reason = Common::Reason::Overloaded;
    absl::Duration retryAfter = absl::ZeroDuration();

    friend bool operator==(const Refusal &left, const Refusal &right) = default;
};

/// A request that left the queue without being started; its outcome is `not-run`.
struct DroppedRequest
{
    QueuedRequest request;
    /// DeadlineTooShort: it can no longer end in time. Overloaded: displaced or shed.
    Refusal refusal;

    friend bool operator==(const DroppedRequest &left, const DroppedRequest &right) = default;
};

} // namespace Currantfall::Admission
