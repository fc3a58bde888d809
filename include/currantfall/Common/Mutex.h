#pragma once

#include <absl/synchronization/mutex.h>

#if defined(__SANITIZE_THREAD__)

#include <condition_variable>
#include <mutex>

#include <absl/time/time.h>

namespace Currantfall::Common {

/// The part of absl::Mutex that this project uses, on the standard library. Debian's Abseil is not
/// built for ThreadSanitizer, which then reports every access under an absl::Mutex as a race.
class Mutex
{
public:
    void Lock() { this->mutex.lock(); } // NOLINT(readability-identifier-naming)

    void Unlock() // NOLINT(readability-identifier-naming)
    {
        this->mutex.unlock();
        this->changed.notify_all();
    }

    void Await(const absl::Condition &condition) // NOLINT(readability-identifier-naming)
    {
        this->AwaitWithTimeout(condition, absl::InfiniteDuration());
    }

    /// Returns the value of the condition at the end of the wait.
    // NOLINTNEXTLINE(readability-identifier-naming)
    bool AwaitWithTimeout(const absl::Condition &condition, absl::Duration timeout)
    {
        std::unique_lock<std::mutex> lock(this->mutex, std::adopt_lock);
        const auto holds = [&condition] { return condition.Eval(); };
        bool result = true;
        if (timeout == absl::InfiniteDuration()) {
            this->changed.wait(lock, holds);
        } else {
            result = this->changed.wait_for(lock, absl::ToChronoNanoseconds(timeout), holds);
        }
        lock.release();
        return result;
    }

private:
    std::mutex mutex;
    std::condition_variable changed;
};

class MutexLock
{
public:
    explicit MutexLock(Mutex *mutex) : mutex(mutex) { this->mutex->Lock(); }
    ~MutexLock() { this->mutex->Unlock(); }
    MutexLock(const MutexLock &) = delete;
    MutexLock &operator=(const MutexLock &) = delete;

private:
    Mutex *mutex;
};

} // namespace Currantfall::Common

#else

namespace Currantfall::Common {

using Mutex = absl::Mutex;
using MutexLock = absl::MutexLock;

} // namespace Currantfall::Common

#endif
