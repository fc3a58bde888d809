#pragma once

#include <algorithm>

#include <absl/time/time.h>

#include "currantfall/Common/Names.h"

namespace Currantfall::Quotas {

/// Limit of a tenant's requests, summed over all VMs. In any time T, at most
/// `requestsPerSecond` x T + `burst` requests of the tenant are admitted, besides the tolerance.
struct QuotaTerms
{
    Common::TenantName tenant;
    double requestsPerSecond = 0.0;
    double burst = 0.0;

    friend bool operator==(const QuotaTerms &left, const QuotaTerms &right) = default;
};

/// By how much all VMs together may exceed the limit of a tenant in `window`.
struct QuotaTolerance
{
    absl::Duration window = absl::Seconds(5);
    double overage = 0.0; ///< Fraction of the limit.
    double extra = 0.0;   ///< Requests.

    friend bool operator==(const QuotaTolerance &left, const QuotaTolerance &right) = default;
};

/// Parts of the tolerance that are used. The rest covers what is not exact between VMs, such as a
/// change of a limit that VMs learn at different times.
struct UsedTolerance
{
    static constexpr double overageForLifetime = 0.5;
    static constexpr double extraForLifetime = 0.25;
    static constexpr double extraForOverdraft = 0.5;
};

/// Shortest time for which a permit is valid. Permits of a limit without a burst would otherwise
/// expire before they can be used.
constexpr absl::Duration minPermitLifetime = absl::Milliseconds(250);

/// How long a permit is valid after it has accrued, wherever it is held. Permits that are used in a
/// time T have therefore accrued in T and the lifetime before it, which is the limit in QuotaTerms.
/// A part of the tolerance makes up for permits that expire on their way between VMs.
inline absl::Duration permitLifetime(const QuotaTerms &terms, const QuotaTolerance &tolerance)
{
    const double rate = terms.requestsPerSecond;
    const absl::Duration refill = absl::Seconds(terms.burst / rate);
    const absl::Duration overage = (tolerance.window + refill) * tolerance.overage;
    const absl::Duration extra = absl::Seconds(tolerance.extra / rate);
    return std::max(refill + overage * UsedTolerance::overageForLifetime
                            + extra * UsedTolerance::extraForLifetime,
                    minPermitLifetime);
}

} // namespace Currantfall::Quotas
