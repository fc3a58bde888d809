#pragma once

#include <cstddef>
#include <optional>
#include <utility>

#include <absl/time/time.h>
#include <boost/circular_buffer.hpp>

#include "currantfall/Common/Mutex.h"

namespace Currantfall::Common {

/// A bounded FIFO between threads. Producers never block: a full ring refuses, so that overload
/// shows at the sender. Any number of producers and consumers may use it at the same time.
template<typename Value>
class BoundedRing
{
public:
    explicit BoundedRing(std::size_t capacity) : values(capacity) { }

    /// Returns false, without taking the value, if the ring is full or closed.
    [[nodiscard]] bool tryPush(Value &&value)
    {
        const MutexLock lock(&this->mutex);
        if (this->isClosed || this->values.full()) {
            return false;
        }
        this->values.push_back(std::move(value));
        return true;
    }

    /// Waits up to `timeout` for a value. Returns nothing on timeout or once the ring is closed and
    /// empty.
    std::optional<Value> popWithin(absl::Duration timeout)
    {
        const MutexLock lock(&this->mutex);
        this->mutex.AwaitWithTimeout(absl::Condition(this, &BoundedRing::readable), timeout);
        if (this->values.empty()) {
            return std::nullopt;
        }
        std::optional<Value> value(std::move(this->values.front()));
        this->values.pop_front();
        return value;
    }

    /// Refuses further values and wakes consumers; values already queued can still be taken.
    void close()
    {
        const MutexLock lock(&this->mutex);
        this->isClosed = true;
    }

    bool closed() const
    {
        const MutexLock lock(&this->mutex);
        return this->isClosed;
    }

    std::size_t size() const
    {
        const MutexLock lock(&this->mutex);
        return this->values.size();
    }

private:
    bool readable() const { return this->isClosed || !this->values.empty(); }

    mutable Mutex mutex;
    boost::circular_buffer<Value> values;
    bool isClosed = false;
};

} // namespace Currantfall::Common
