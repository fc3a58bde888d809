#pragma once

#include <concepts>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

#include <absl/time/time.h>

#include "currantfall/Admission/QueuedRequest.h"

namespace Currantfall::Admission {

struct DisciplineSettings
{
    /// Fraction of starts that each rank keeps while it has work, in rank order; sum at most 1.
    std::vector<double> floors;
    /// Tenants that are not listed share one flow per service with weight 1, so that inventing
    /// tenant names gains nothing.
    std::vector<TenantWeight> tenants;
    /// AdaptiveLifo: a rank whose queue was not empty for this long is overloaded.
    absl::Duration overloadInterval = absl::Milliseconds(500);
    /// AdaptiveLifo: longest wait in an overloaded rank.
    absl::Duration overloadedWait = absl::Milliseconds(100);
};

/// A request with its place in the order of arrival.
struct QueueEntry
{
    QueuedRequest request;
    std::uint64_t sequence = 0;
    Common::Instant arrived;

    friend bool operator==(const QueueEntry &left, const QueueEntry &right) = default;
};

/// Work that starts before a new request, as number of requests.
struct WorkAhead
{
    /// Requests of higher ranks.
    double higher = 0.0;
    /// Requests of the own rank.
    double own = 0.0;
    /// Part of the starts that the own rank gets whatever the higher ranks do.
    double floor = 0.0;
    /// Part of the starts that lower ranks with work get whatever the own rank does.
    double lowerFloors = 0.0;
};

/// The order in which queued requests start. A discipline only orders; AdmissionQueue accounts for
/// slots, limits and deadlines.
template<typename Type>
concept QueueDiscipline = std::constructible_from<Type, const DisciplineSettings &> && requires(
        Type discipline, const Type constant, const QueueEntry &entry, Common::Instant now)
{
    discipline.push(entry);
    /// Removes and returns the request to start now.
    {
        discipline.pop(now)
        } -> std::same_as<std::optional<QueueEntry>>;
    /// Removes a request that is in the queue.
    discipline.remove(entry);
    /// Removes and returns requests that the discipline gives up.
    {
        discipline.shed(now)
        } -> std::same_as<std::vector<QueueEntry>>;
    /// Removes and returns the request that has to leave so that `entry` gets its place in a full
    /// queue of at most the given number; nothing if `entry` itself has to be refused.
    {
        discipline.displace(entry, std::size_t())
        } -> std::same_as<std::optional<QueueEntry>>;
    {
        constant.workAhead(entry.request)
        } -> std::same_as<WorkAhead>;
    {
        constant.queuedOf(Common::RankIndex())
        } -> std::same_as<std::size_t>;
};

} // namespace Currantfall::Admission
