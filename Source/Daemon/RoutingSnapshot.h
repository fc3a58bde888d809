#pragma once

#include <memory>
#include <string>

#include <absl/synchronization/mutex.h>

#include "currantfall/Configuration/Environment.h"

namespace Currantfall::Daemon {

/// What the threads that serve callers need of the steering thread's state. Replaced as a whole,
/// never changed.
struct RoutingSnapshot
{
    std::shared_ptr<const Configuration::Environment> environment; ///< Null before the first one.
    Common::Revision revision = 0;
};

/// Hands the latest snapshot from the steering thread to others.
template<typename Snapshot>
class Published
{
public:
    std::shared_ptr<const Snapshot> read() const
    {
        const absl::ReaderMutexLock lock(&this->mutex);
        return this->current;
    }

    void publish(std::shared_ptr<const Snapshot> next)
    {
        const absl::MutexLock lock(&this->mutex);
        this->current.swap(next);
    }

private:
    mutable absl::Mutex mutex;
    std::shared_ptr<const Snapshot> current = std::make_shared<const Snapshot>();
};

} // namespace Currantfall::Daemon
