#include "currantfall/Quotas/PermitLots.h"

#include <algorithm>
#include <iterator>

namespace Currantfall::Quotas {

namespace {

// Bounds the memory and time that the permits of a tenant take. Beyond it, neighbouring lots are
// merged.
constexpr std::size_t maxLots = 64;

} // namespace

void PermitLots::add(const PermitLot &lot)
{
    if (lot.count <= 0.0) {
        return;
    }
    const auto later = std::upper_bound(
            this->lots.begin(), this->lots.end(), lot,
            [](const auto &left, const auto &right) { return left.accruedAt < right.accruedAt; });
    if (later != this->lots.begin() && std::prev(later)->accruedAt == lot.accruedAt) {
        std::prev(later)->count += lot.count;
    } else {
        this->lots.insert(later, lot);
    }
    this->sum += lot.count;
    if (this->lots.size() > maxLots) {
        // The merged lot gets the earlier time, so that no permit lives longer than allowed.
        const double count = this->lots.front().count;
        const Common::Instant accruedAt = this->lots.front().accruedAt;
        this->lots.pop_front();
        this->lots.front().count += count;
        this->lots.front().accruedAt = accruedAt;
    }
}

void PermitLots::expire(Common::Instant oldest)
{
    while (!this->lots.empty() && this->lots.front().accruedAt < oldest) {
        this->sum -= this->lots.front().count;
        this->lots.pop_front();
    }
    if (this->lots.empty()) {
        // Removes what rounding has left.
        this->sum = 0.0;
    }
}

std::vector<PermitLot> PermitLots::remove(double count)
{
    std::vector<PermitLot> removed;
    while (count > 0.0 && !this->lots.empty()) {
        PermitLot &oldest = this->lots.front();
        const double taken = std::min(count, oldest.count);
        removed.push_back({ taken, oldest.accruedAt });
        count -= taken;
        this->sum -= taken;
        if (taken < oldest.count) {
            oldest.count -= taken;
        } else {
            this->lots.pop_front();
        }
    }
    if (this->lots.empty()) {
        this->sum = 0.0;
    }
    return removed;
}

void PermitLots::scale(double factor)
{
    for (PermitLot &lot : this->lots) {
        lot.count *= factor;
    }
    this->sum *= factor;
}

} // namespace Currantfall::Quotas
