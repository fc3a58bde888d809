#include "ResponseMemory.h"

#include <algorithm>
#include <utility>

namespace Currantfall::Entry {

namespace {

// A body that grows is copied, so that the largest one counts twice for a moment.
constexpr double totalFraction = 0.2;
constexpr double bodyFraction = 0.1;
constexpr std::size_t maxBodyLimit = std::size_t { 64 } * 1024 * 1024;
// Bodies up to this size are never revoked or refused: ending them would free little, and large
// ones of some servers must not end the responses of all others.
constexpr std::size_t smallBodyBytes = std::size_t { 64 } * 1024;

std::size_t fractionOf(std::size_t bytes, double fraction)
{
    return static_cast<std::size_t>(static_cast<double>(bytes) * fraction);
}

} // namespace

struct ResponseMemoryState
{
    std::size_t limit = 0;
    std::size_t used = 0;
    /// Reservations of bodies that are still being read.
    std::set<ResponseMemory::Reservation *> open;
};

ResponseMemory::ResponseMemory(std::size_t processBytes, Admission::MemoryBudget budget)
    : bodyLimit(std::min(fractionOf(processBytes, bodyFraction), maxBodyLimit)),
      budget(std::move(budget)), state(std::make_shared<ResponseMemoryState>())
{
    this->state->limit = fractionOf(processBytes, totalFraction);
}

ResponseMemory::SharedReservation ResponseMemory::reserve(std::function<void()> onRevoked,
                                                          Admission::SharedOwner owner)
{
    if (!owner) {
        owner = std::make_shared<Admission::MemoryOwner>();
    }
    SharedReservation result(new Reservation(this->state, std::move(onRevoked), owner));
    this->state->open.insert(result.get());
    result->holding = this->budget.open([reservation = result.get()] { reservation->revoke(); },
                                        Common::monotonicNow(), std::move(owner));
    return result;
}

std::size_t ResponseMemory::used() const
{
    return this->state->used;
}

ResponseMemory::Reservation::Reservation(std::shared_ptr<ResponseMemoryState> state,
                                         std::function<void()> onRevoked,
                                         Admission::SharedOwner owner)
    : state(std::move(state)), onRevoked(std::move(onRevoked)), owner(std::move(owner))
{ }

ResponseMemory::Reservation::~Reservation()
{
    this->state->open.erase(this);
    this->state->used -= this->size;
}

bool ResponseMemory::Reservation::growTo(std::size_t wanted)
{
    if (this->isRevoked) {
        return false;
    }
    if (wanted <= this->size) {
        return true;
    }
    this->state->used += wanted - this->size;
    this->size = wanted;
    if (!this->holding->resize(wanted, Common::monotonicNow())) {
        this->release();
        return false;
    }
    while (this->size > smallBodyBytes && this->state->used > this->state->limit) {
        const auto largest
                = std::max_element(this->state->open.begin(), this->state->open.end(),
                                   [](const Reservation *left, const Reservation *right) {
                                       return std::pair(left->owner->bytes, left->size)
                                              < std::pair(right->owner->bytes, right->size);
                                   });
        if (largest == this->state->open.end()) {
            return false;
        }
        if (*largest == this) {
            return false;
        }
        (*largest)->revoke();
    }
    return true;
}

void ResponseMemory::Reservation::keep()
{
    this->state->open.erase(this);
    this->holding->setRevocation(Admission::Revocation::Never);
}

void ResponseMemory::Reservation::release()
{
    this->state->open.erase(this);
    this->isRevoked = true;
    this->state->used -= this->size;
    this->size = 0;
    (void)this->holding->resize(0, Common::monotonicNow());
}

void ResponseMemory::Reservation::revoke()
{
    this->release();
    this->onRevoked();
}

} // namespace Currantfall::Entry
