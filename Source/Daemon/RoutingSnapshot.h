#pragma once

#include <memory>
#include <string>

#include "currantfall/Common/Mutex.h"
#include "currantfall/Configuration/ClientBlockTable.h"
#include "currantfall/Configuration/Environment.h"

namespace Currantfall::Daemon {

/// What the threads that serve callers need of the steering thread's state. Replaced as a whole,
/// never changed.
struct RoutingSnapshot
{
    std::shared_ptr<const Configuration::Environment> environment; ///< Null before the first one.
    Common::Revision revision = 0;
    std::shared_ptr<const Configuration::ClientBlockTable> clientBlocks;
};

/// Hands the latest snapshot from the steering thread to others.
template<typename Snapshot>
class Published
{
public:
    std::shared_ptr<const Snapshot> read() const
    {
        const Common::MutexLock lock(&this->mutex);
        return this->current;
    }

    void publish(std::shared_ptr<const Snapshot> next)
    {
        const Common::MutexLock lock(&this->mutex);
        this->current.swap(next);
    }

private:
    mutable Common::Mutex mutex;
    std::shared_ptr<const Snapshot> current = std::make_shared<const Snapshot>();
};

} // namespace Currantfall::Daemon
