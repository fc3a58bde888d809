#pragma once

#include <cstddef>
#include <functional>
#include <memory>
#include <set>

namespace Currantfall::Entry {

struct ResponseMemoryState;

/// Limits the memory that bodies of responses take, from the first byte that is read until the last
/// one is written to the caller. Runs on the entry thread.
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
        /// that can be revoked is; returns false if that is this one, or none is left.
        bool growTo(std::size_t size);
        /// The body is complete: it is not revoked any more.
        void keep();
        bool revoked() const { return this->isRevoked; }

    private:
        friend class ResponseMemory;
        Reservation(std::shared_ptr<ResponseMemoryState> state, std::function<void()> onRevoked);
        void revoke();

        std::shared_ptr<ResponseMemoryState> state;
        std::function<void()> onRevoked;
        std::size_t size = 0;
        bool isRevoked = false;
    };
    using SharedReservation = std::shared_ptr<Reservation>;

    /// `processBytes` is the memory that the process may use.
    explicit ResponseMemory(std::size_t processBytes);

    /// `onRevoked` is called when another body needs the memory; it must end the reading.
    SharedReservation reserve(std::function<void()> onRevoked);
    /// A reservation for a complete body. It is never refused, because the body exists already.
    SharedReservation reserveComplete(std::size_t size);

    /// Maximum size of one body.
    std::size_t maxBodyBytes() const { return this->bodyLimit; }
    std::size_t used() const;

private:
    std::size_t bodyLimit;
    std::shared_ptr<ResponseMemoryState> state;
};

} // namespace Currantfall::Entry
