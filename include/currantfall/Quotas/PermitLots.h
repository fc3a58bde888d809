#pragma once

#include <cstddef>
#include <deque>
#include <vector>

#include "currantfall/Common/Time.h"

namespace Currantfall::Quotas {

/// The right to one request of a tenant, taken from a VM's permits.
struct Permit
{
    /// When the permit began to accrue; its lifetime counts from here.
    Common::Instant accruedAt;

    friend bool operator==(const Permit &left, const Permit &right) = default;
};

/// Permits of one tenant that accrued at about the same time. Fractions of a permit may be held and
/// passed on.
struct PermitLot
{
    double count = 0.0;
    Common::Instant accruedAt;

    friend bool operator==(const PermitLot &left, const PermitLot &right) = default;
};

/// The permits of one tenant that a VM holds. The oldest ones are used first.
class PermitLots
{
public:
    void add(const PermitLot &lot);
    /// Drops permits that accrued before `oldest`.
    void expire(Common::Instant oldest);
    /// Removes `count` permits, or all if there are fewer.
    std::vector<PermitLot> remove(double count);
    /// Multiplies the number of permits, after the limit was lowered.
    void scale(double factor);
    double total() const { return this->sum; }

private:
    /// Sorted by age, the oldest lot first.
    std::deque<PermitLot> lots;
    double sum = 0.0;
};

} // namespace Currantfall::Quotas
