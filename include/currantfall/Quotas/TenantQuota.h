#pragma once

#include <algorithm>
#include <cstddef>
#include <optional>
#include <vector>

#include "currantfall/Common/Time.h"
#include "currantfall/Quotas/DecayingRate.h"
#include "currantfall/Quotas/PermitLots.h"
#include "currantfall/Quotas/QuotaTerms.h"

namespace Currantfall::Quotas {

/// A VM's part of one tenant's limit: the permits that accrue on this VM, those that it has got
/// from other VMs, and how many the tenant's requests need here.
class TenantQuota
{
public:
    TenantQuota(QuotaTerms terms, const QuotaTolerance &tolerance, Common::Instant now);

    const QuotaTerms &terms() const { return this->quotaTerms; }
    /// A lower limit takes effect on the permits that are held as well.
    void setTerms(const QuotaTerms &terms, Common::Instant now);
    /// Sets the fraction of the limit that accrues on this VM.
    void setShare(double share, Common::Instant now);
    /// Sets by how much of a permit this VM may run ahead of what accrues.
    void setOverdraft(double overdraft) { this->overdraft = overdraft; }

    /// Permits that this VM holds; negative if it has run ahead.
    double available(Common::Instant now);
    /// Returns nothing if there is no permit.
    std::optional<Permit> take(Common::Instant now);
    /// Returns the permit of a request that did not run.
    void giveBack(const Permit &permit, Common::Instant now);
    /// Adds permits of another VM.
    void add(const std::vector<PermitLot> &lots, Common::Instant now);
    /// Removes permits for another VM.
    std::vector<PermitLot> release(double count, Common::Instant now);

    /// Records that requests want this number of permits.
    void recordDemand(double count, Common::Instant now) { this->wanted.add(count, now); }
    /// Permits per second that requests want here, or get through this VM.
    double demand(Common::Instant now) const { return this->wanted.perSecond(now); }

    /// Requests that wait here for a permit.
    std::size_t waiting = 0;
    /// Permits that this VM must hold so that all of them can go on.
    double neededForWaiting() const
    {
        return std::max(static_cast<double>(this->waiting) - this->overdraft, 0.0);
    }
    /// Whether a further request would soon get a permit if it waited for `maxWait`.
    bool mayWait(absl::Duration maxWait, Common::Instant now) const;
    /// Records that permits could not be had although they were wanted.
    void recordShortage(Common::Instant now) { this->shortageAt = now; }
    /// Returns when the caller of a refused request should come back. Later refusals get later
    /// times, as far as permits come in.
    absl::Duration refuse(Common::Instant now);

private:
    void accrue(Common::Instant now);
    void addLot(const PermitLot &lot, Common::Instant now);

    QuotaTerms quotaTerms;
    QuotaTolerance tolerance;
    absl::Duration lifetime;
    double share = 0.0;
    double overdraft = 0.0;
    PermitLots lots;
    /// Permits that were used before they accrued.
    double debt = 0.0;
    Common::Instant accruedUntil;
    DecayingRate wanted;
    DecayingRate inflow;
    Common::Instant shortageAt = Common::Instant::fromOrigin(-absl::InfiniteDuration());
    /// Refused requests that have not been let in again, by estimate.
    double backlog = 0.0;
    Common::Instant backlogUpdatedAt;
};

} // namespace Currantfall::Quotas
