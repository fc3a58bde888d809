#include "currantfall/Admission/MemoryBudget.h"

#include <algorithm>
#include <set>
#include <utility>

namespace Currantfall::Admission {

struct MemoryBudget::State
{
    explicit State(MemoryBudgetSettings settings) : settings(settings) { }

    /// The limit that applies to a holding of this size.
    std::size_t limitFor(std::size_t bytes) const
    {
        return bytes <= this->settings.smallBytes
                       ? this->settings.bytes
                       : static_cast<std::size_t>(static_cast<double>(this->settings.bytes)
                                                  * this->settings.largeFraction);
    }

    /// The holding that is revoked so that `growing` fits. Returns nullptr if there is none.
    Holding *victim(const Holding &growing, Common::Instant now) const
    {
        const auto hasMore = [](const Holding *left, const Holding *right) {
            return std::pair(left->owner->bytes, left->bytes)
                   < std::pair(right->owner->bytes, right->bytes);
        };
        Holding *stalled = nullptr;
        Holding *complete = nullptr;
        std::size_t most = 0;
        for (Holding *holding : this->revocable) {
            if (holding->bytes == 0) {
                continue;
            }
            if (holding->stalled(now) && (stalled == nullptr || hasMore(stalled, holding))) {
                stalled = holding;
            }
            if (holding->revocation == Revocation::Always) {
                most = std::max(most, holding->owner->bytes);
            } else if (complete == nullptr || hasMore(complete, holding)) {
                complete = holding;
            }
        }
        if (stalled != nullptr) {
            return stalled;
        }
        Holding *latest = nullptr;
        for (Holding *holding : this->revocable) {
            if (holding->revocation == Revocation::Always && holding->bytes > 0
                && holding->owner->bytes >= most / 2
                && (latest == nullptr || holding->openedAt >= latest->openedAt)) {
                latest = holding;
            }
        }
        const bool onlyGrowing = latest == nullptr || latest == &growing;
        return onlyGrowing && complete != nullptr
                               && complete->owner->bytes > 2 * growing.owner->bytes
                       ? complete
                       : latest;
    }

    MemoryBudgetSettings settings;
    std::size_t used = 0;
    /// Of the memory in use, what holdings have that are never revoked.
    std::size_t inUse = 0;
    std::size_t revocations = 0;
    /// Holdings that may be revoked, always or when they are stalled.
    std::set<Holding *> revocable;
};

MemoryBudget::MemoryBudget(MemoryBudgetSettings settings) : state(std::make_shared<State>(settings))
{ }

MemoryBudget::SharedHolding MemoryBudget::open(std::function<void()> onRevoked, Common::Instant now,
                                               SharedOwner owner)
{
    SharedHolding holding(new Holding(this->state, std::move(onRevoked), std::move(owner), now));
    this->state->revocable.insert(holding.get());
    return holding;
}

MemoryBudget::SharedHolding MemoryBudget::openInUse(std::size_t bytes, Common::Instant now,
                                                    SharedOwner owner)
{
    SharedHolding holding(new Holding(this->state, {}, std::move(owner), now));
    holding->revocation = Revocation::Never;
    (void)holding->resize(bytes, now);
    return holding;
}

bool MemoryBudget::couldHold(std::size_t bytes) const
{
    const std::size_t limit = this->state->limitFor(bytes);
    return this->state->inUse <= limit && bytes <= limit - this->state->inUse;
}

std::size_t MemoryBudget::used() const
{
    return this->state->used;
}

std::size_t MemoryBudget::revocations() const
{
    return this->state->revocations;
}

MemoryBudget::Holding::Holding(std::shared_ptr<State> state, std::function<void()> onRevoked,
                               SharedOwner owner, Common::Instant openedAt)
    : state(std::move(state)), onRevoked(std::move(onRevoked)),
      owner(owner ? std::move(owner) : std::make_shared<MemoryOwner>()), openedAt(openedAt),
      windowStart(openedAt)
{ }

MemoryBudget::Holding::~Holding()
{
    this->setSize(0);
    this->state->revocable.erase(this);
}

void MemoryBudget::Holding::setSize(std::size_t size)
{
    if (this->revocation == Revocation::Never) {
        this->state->inUse += size - this->bytes;
    }
    this->state->used += size - this->bytes;
    this->owner->bytes += size - this->bytes;
    this->bytes = size;
}

bool MemoryBudget::Holding::resize(std::size_t size, Common::Instant now)
{
    if (this->isRevoked) {
        return false;
    }
    const std::size_t before = this->bytes;
    this->setSize(size);
    if (size <= before) {
        return true;
    }
    this->noteProgress(size - before, now);
    return this->makeRoom(now);
}

bool MemoryBudget::Holding::makeRoom(Common::Instant now)
{
    const std::shared_ptr<State> shared = this->state;
    const std::size_t limit = shared->limitFor(this->bytes);
    const bool refusable = this->revocation == Revocation::Always;
    while (shared->used > limit) {
        Holding *victim = shared->victim(*this, now);
        if (victim == nullptr) {
            return true;
        }
        ++shared->revocations;
        shared->revocable.erase(victim);
        victim->setSize(0);
        victim->isRevoked = true;
        if (victim == this) {
            return false;
        }
        // The callback may destroy the holding.
        const std::function<void()> onRevoked = victim->onRevoked;
        onRevoked();
        if (refusable && this->isRevoked) {
            return false;
        }
    }
    return true;
}

void MemoryBudget::Holding::noteProgress(std::size_t bytesMoved, Common::Instant now)
{
    const absl::Duration window = this->state->settings.progressWindow;
    const absl::Duration elapsed = now - this->windowStart;
    if (elapsed >= window) {
        this->movedBefore = elapsed < 2 * window ? this->moved : 0.0;
        this->moved = 0.0;
        this->windowStart = elapsed < 2 * window ? this->windowStart + window : now;
    }
    this->moved += static_cast<double>(bytesMoved);
}

void MemoryBudget::Holding::setRevocation(Revocation wanted)
{
    if (this->isRevoked || wanted == this->revocation) {
        return;
    }
    const std::size_t size = this->bytes;
    this->setSize(0);
    this->revocation = wanted;
    this->setSize(size);
    if (wanted == Revocation::Never) {
        this->state->revocable.erase(this);
    } else {
        this->state->revocable.insert(this);
    }
}

bool MemoryBudget::Holding::stalled(Common::Instant now) const
{
    const MemoryBudgetSettings &settings = this->state->settings;
    if (now - this->openedAt < settings.progressWindow) {
        return false;
    }
    // Of the two windows, the part that lies in the last `progressWindow`.
    const double windows = absl::FDivDuration(now - this->windowStart, settings.progressWindow);
    const double recent = windows < 1.0
                                  ? this->moved + this->movedBefore * (1.0 - std::max(windows, 0.0))
                          : windows < 2.0 ? this->moved * (2.0 - windows)
                                          : 0.0;
    return recent < settings.minProgressPerSecond * absl::ToDoubleSeconds(settings.progressWindow);
}

} // namespace Currantfall::Admission
