#include "Poller.h"

#include <array>
#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <utility>

#include "Socket.h"

namespace Currantfall::Peering {

namespace {

constexpr int eventsPerWait = 64;

epoll_event interest(std::uint64_t id, bool writable)
{
    epoll_event event {};
    event.events = EPOLLIN;
    if (writable) {
        event.events |= EPOLLOUT;
    }
    event.data.u64 = id;
    return event;
}

} // namespace

Common::Result<Poller> Poller::create()
{
    FileDescriptor epoll(::epoll_create1(EPOLL_CLOEXEC));
    FileDescriptor wakeEvent(::eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK));
    if (!epoll.valid() || !wakeEvent.valid()) {
        return tl::unexpected(systemError("create poller"));
    }
    Poller poller(std::move(epoll), std::move(wakeEvent));
    const Common::Result<void> added = poller.add(poller.wakeEvent, wakeId, false);
    if (!added) {
        return tl::unexpected(added.error());
    }
    return poller;
}

Poller::Poller(FileDescriptor epoll, FileDescriptor wakeEvent)
    : epoll(std::move(epoll)), wakeEvent(std::move(wakeEvent))
{ }

Common::Result<void> Poller::add(const FileDescriptor &descriptor, std::uint64_t id, bool writable)
{
    epoll_event event = interest(id, writable);
    if (::epoll_ctl(this->epoll.value(), EPOLL_CTL_ADD, descriptor.value(), &event) != 0) {
        return tl::unexpected(systemError("add descriptor to poller"));
    }
    return {};
}

void Poller::modify(const FileDescriptor &descriptor, std::uint64_t id, bool writable)
{
    epoll_event event = interest(id, writable);
    ::epoll_ctl(this->epoll.value(), EPOLL_CTL_MOD, descriptor.value(), &event);
}

const std::vector<Poller::Event> &Poller::wait(absl::Duration timeout)
{
    this->events.clear();
    std::array<epoll_event, eventsPerWait> ready {};
    const auto milliseconds = static_cast<int>(
            absl::ToInt64Milliseconds(absl::Ceil(timeout, absl::Milliseconds(1))));
    const int count = ::epoll_wait(this->epoll.value(), ready.data(), eventsPerWait, milliseconds);
    for (int index = 0; index < count; ++index) {
        const epoll_event &event = ready.at(static_cast<std::size_t>(index));
        if (event.data.u64 == wakeId) {
            std::uint64_t ignored = 0;
            [[maybe_unused]] const auto size
                    = ::read(this->wakeEvent.value(), &ignored, sizeof(ignored));
            continue;
        }
        const bool failed = (event.events & (EPOLLERR | EPOLLHUP)) != 0;
        this->events.push_back({ event.data.u64, failed || (event.events & EPOLLIN) != 0,
                                 (event.events & EPOLLOUT) != 0 });
    }
    return this->events;
}

void Poller::wake() const
{
    const std::uint64_t one = 1;
    [[maybe_unused]] const auto size = ::write(this->wakeEvent.value(), &one, sizeof(one));
}

} // namespace Currantfall::Peering
