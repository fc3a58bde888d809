#include "currantfall/Quotas/TenantQuota.h"

#include <algorithm>
#include <utility>

namespace Currantfall::Quotas {

namespace {

// Permits accrue in steps of this fraction of their lifetime, but not more often than minStep. A
// lot counts as old as its first part.
constexpr double stepFraction = 0.05;
constexpr absl::Duration minStep = absl::Milliseconds(20);
// Parts of a permit that together are a whole one may add up to a little less.
constexpr double roundingError = 1e-6;
constexpr absl::Duration demandTime = absl::Seconds(2);
constexpr absl::Duration inflowTime = absl::Seconds(1);
// Time after a shortage in which requests wait only for permits that come in regularly.
constexpr absl::Duration shortageMemory = absl::Seconds(1);
// Time after a shortage in which permits may have accrued for a single request.
constexpr absl::Duration singleWaitDelay = absl::Milliseconds(200);
// Requests that may wait while no shortage is known, besides those that the whole limit would let
// in meanwhile.
constexpr double minWaiting = 4.0;
constexpr absl::Duration minRetryAfter = absl::Milliseconds(200);
constexpr absl::Duration maxRetryAfter = absl::Seconds(5);

} // namespace

TenantQuota::TenantQuota(QuotaTerms terms, const QuotaTolerance &tolerance, Common::Instant now)
    : quotaTerms(std::move(terms)), tolerance(tolerance),
      lifetime(permitLifetime(this->quotaTerms, tolerance)), accruedUntil(now), wanted(demandTime),
      inflow(inflowTime), backlogUpdatedAt(now)
{ }

void TenantQuota::setTerms(const QuotaTerms &terms, Common::Instant now)
{
    this->accrue(now);
    if (terms.requestsPerSecond < this->quotaTerms.requestsPerSecond) {
        this->lots.scale(terms.requestsPerSecond / this->quotaTerms.requestsPerSecond);
    }
    this->quotaTerms = terms;
    this->lifetime = permitLifetime(terms, this->tolerance);
}

void TenantQuota::setShare(double newShare, Common::Instant now)
{
    this->accrue(now);
    // What has accrued since the last step would otherwise count at the new share.
    this->accruedUntil = now;
    this->share = newShare;
}

void TenantQuota::accrue(Common::Instant now)
{
    this->accruedUntil = std::max(this->accruedUntil, now - this->lifetime);
    const absl::Duration step = std::max(this->lifetime * stepFraction, minStep);
    const double perStep
            = this->quotaTerms.requestsPerSecond * this->share * absl::ToDoubleSeconds(step);
    while (now - this->accruedUntil >= step) {
        this->addLot({ perStep, this->accruedUntil }, now);
        this->accruedUntil = this->accruedUntil + step;
    }
    this->lots.expire(now - this->lifetime);
}

void TenantQuota::addLot(const PermitLot &lot, Common::Instant now)
{
    this->inflow.add(lot.count, now);
    const double repaid = std::min(lot.count, this->debt);
    this->debt -= repaid;
    this->lots.add({ lot.count - repaid, lot.accruedAt });
}

double TenantQuota::available(Common::Instant now)
{
    this->accrue(now);
    return this->lots.total() - this->debt;
}

std::optional<Permit> TenantQuota::take(Common::Instant now)
{
    if (this->available(now) < 1.0 - this->overdraft - roundingError) {
        return std::nullopt;
    }
    Permit permit { now };
    double missing = 1.0;
    for (const PermitLot &lot : this->lots.remove(1.0)) {
        permit.accruedAt = std::min(permit.accruedAt, lot.accruedAt);
        missing -= lot.count;
    }
    this->debt += std::max(missing, 0.0);
    return permit;
}

void TenantQuota::giveBack(const Permit &permit, Common::Instant now)
{
    this->accrue(now);
    const double repaid = std::min(1.0, this->debt);
    this->debt -= repaid;
    this->lots.add({ 1.0 - repaid, permit.accruedAt });
    this->lots.expire(now - this->lifetime);
}

void TenantQuota::add(const std::vector<PermitLot> &newLots, Common::Instant now)
{
    this->accrue(now);
    for (const PermitLot &lot : newLots) {
        if (lot.accruedAt >= now - this->lifetime) {
            this->addLot(lot, now);
        }
    }
}

std::vector<PermitLot> TenantQuota::release(double count, Common::Instant now)
{
    return this->lots.remove(std::min(count, this->available(now)));
}

bool TenantQuota::mayWait(absl::Duration maxWait, Common::Instant now) const
{
    if (this->waiting == 0 && now - this->shortageAt >= singleWaitDelay) {
        return true;
    }
    const bool shortage = now - this->shortageAt < shortageMemory;
    const double rate = shortage ? this->inflow.perSecond(now) : this->quotaTerms.requestsPerSecond;
    const double admissible = rate * absl::ToDoubleSeconds(maxWait) + (shortage ? 0.0 : minWaiting);
    return static_cast<double>(this->waiting) + 1.0 <= admissible;
}

absl::Duration TenantQuota::refuse(Common::Instant now)
{
    // A VM without permits of its own may get its even part of the limit when the others need less.
    const double rate = std::max(
            { this->inflow.perSecond(now), this->quotaTerms.requestsPerSecond * this->share, 0.1 });
    const double elapsed = absl::ToDoubleSeconds(now - this->backlogUpdatedAt);
    this->backlog = std::max(this->backlog - elapsed * rate, 0.0) + 1.0;
    this->backlogUpdatedAt = now;
    return std::clamp(absl::Seconds(this->backlog / rate), minRetryAfter, maxRetryAfter);
}

} // namespace Currantfall::Quotas
