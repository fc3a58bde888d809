#include "BodyMemory.h"

#include <algorithm>

namespace Currantfall::Daemon {

namespace {

// Rank 0 may use all memory, each further rank a quarter less, but no less than a quarter.
constexpr std::size_t shareQuarters = 4;

std::size_t limitOf(Common::RankIndex rank, std::size_t capacity)
{
    const std::size_t kept = std::min(rank, shareQuarters - 1);
    return capacity / shareQuarters * (shareQuarters - kept);
}

} // namespace

BodyMemory::Reservation::~Reservation()
{
    if (this->memory == nullptr) {
        return;
    }
    const Common::MutexLock lock(&this->memory->mutex);
    this->memory->used -= this->bytes;
}

std::optional<BodyMemory::Reservation> BodyMemory::reserve(Common::RankIndex rank,
                                                           std::size_t bytes)
{
    const Common::MutexLock lock(&this->mutex);
    if (this->used + bytes > limitOf(rank, this->capacity)) {
        return std::nullopt;
    }
    this->used += bytes;
    return Reservation(*this, bytes);
}

} // namespace Currantfall::Daemon
