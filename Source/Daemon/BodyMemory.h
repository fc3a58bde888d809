#pragma once

#include <cstddef>
#include <optional>

#include "currantfall/Common/Mutex.h"
#include "currantfall/Common/Names.h"

namespace Currantfall::Daemon {

/// The memory that one entry VM has for request bodies. Lower ranks can't take the last part of it,
/// so that a flood of uploads leaves room for urgent requests. Thread-safe.
class BodyMemory
{
public:
    /// Gives its bytes back when it ends.
    class Reservation
    {
    public:
        Reservation(BodyMemory &memory, std::size_t bytes) : memory(&memory), bytes(bytes) { }
        Reservation(Reservation &&other) noexcept : memory(other.memory), bytes(other.bytes)
        {
            other.memory = nullptr;
        }
        Reservation(const Reservation &) = delete;
        Reservation &operator=(const Reservation &) = delete;
        Reservation &operator=(Reservation &&) = delete;
        ~Reservation();

    private:
        BodyMemory *memory;
        std::size_t bytes;
    };

    explicit BodyMemory(std::size_t capacity) : capacity(capacity) { }

    /// Nothing if the rank's part of the memory is in use.
    std::optional<Reservation> reserve(Common::RankIndex rank, std::size_t bytes);

private:
    Common::Mutex mutex;
    const std::size_t capacity;
    std::size_t used = 0;
};

} // namespace Currantfall::Daemon
