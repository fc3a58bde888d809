#pragma once

#include <cstddef>
#include <functional>
#include <memory>
#include <set>

#include "currantfall/Admission/MemoryBudget.h"

namespace Currantfall::Entry {

struct ResponseMemoryState;

/// Limits the memory that bodies of responses take until they are handed to the connection of the
/// caller, inside the budget of the process. Runs on the entry thread.
class ResponseMemory
{
public:
    /// Memory of one body. Returned to the total when destroyed.
    class Reservation
    {
    public:
        ~Reservation();
        Reservation(const Reservation &) = delete;
        Reservation &operator=(const Reservation &) = delete;

        /// Raises the reservation to `size` bytes. If the total is used up, the largest reservation
        /// that can be revoked of the caller with the most memory is; returns false if that is this
        /// one, or none is left.
        bool growTo(std::size_t size);
        /// The body is complete: it is not revoked any more.
        void keep();
        bool revoked() const { return this->isRevoked; }

    private:
        friend class ResponseMemory;
        Reservation(std::shared_ptr<ResponseMemoryState> state, std::function<void()> onRevoked,
                    Admission::SharedOwner owner);
        void release();
        void revoke();

        Admission::MemoryBudget::SharedHolding holding;
        std::shared_ptr<ResponseMemoryState> state;
        std::function<void()> onRevoked;
        Admission::SharedOwner owner;
        std::size_t size = 0;
        bool isRevoked = false;
    };
    using SharedReservation = std::shared_ptr<Reservation>;

    /// `processBytes` is the memory that the process may use, `budget` what peers may make it hold.
    ResponseMemory(std::size_t processBytes, Admission::MemoryBudget budget);

    /// `onRevoked` is called when another body needs the memory; it must end the reading. `owner`
    /// is the caller; without it, the reservation has an owner of its own.
    SharedReservation reserve(std::function<void()> onRevoked,
                              Admission::SharedOwner owner = nullptr);
    /// Maximum size of one body.
    std::size_t maxBodyBytes() const { return this->bodyLimit; }
    std::size_t used() const;

private:
    std::size_t bodyLimit;
    Admission::MemoryBudget budget;
    std::shared_ptr<ResponseMemoryState> state;
};

} // namespace Currantfall::Entry
