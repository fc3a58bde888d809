#pragma once

#include <cstdint>
#include <vector>

#include <absl/time/time.h>

#include "FileDescriptor.h"
#include "currantfall/Common/Error.h"

namespace Currantfall::Peering {

/// Level-triggered epoll with an eventfd that wakes the waiting thread.
class Poller
{
public:
    struct Event
    {
        std::uint64_t id = 0;
        bool readable = false; ///< Also set on errors and hang-ups, which a read reports.
        bool writable = false;
    };

    static Common::Result<Poller> create();

    /// `id` identifies the descriptor in events and must not be wakeId.
    Common::Result<void> add(const FileDescriptor &descriptor, std::uint64_t id, bool writable);
    void modify(const FileDescriptor &descriptor, std::uint64_t id, bool writable);

    /// Returns when a descriptor is ready, after wake(), or after `timeout`. The result is valid
    /// until the next call.
    const std::vector<Event> &wait(absl::Duration timeout);

    /// Thread-safe.
    void wake() const;

    static constexpr std::uint64_t wakeId = 0;

private:
    Poller(FileDescriptor epoll, FileDescriptor wakeEvent);

    FileDescriptor epoll;
    FileDescriptor wakeEvent;
    std::vector<Event> events;
};

} // namespace Currantfall::Peering
