#include "Relay.h"

#include <algorithm>
#include <ctime>
#include <iterator>
#include <sys/eventfd.h>
#include <sys/socket.h>
#include <utility>

#include "Socket.h"

namespace Currantfall::Standins {

namespace {

using Common::Instant;
using Peering::FileDescriptor;

void resetOnClose(const FileDescriptor &socket)
{
    const linger discard { 1, 0 };
    ::setsockopt(socket.value(), SOL_SOCKET, SO_LINGER, &discard, sizeof(discard));
}

} // namespace

std::string toString(const Endpoint &endpoint)
{
    return Peering::endpointText(endpoint.address, endpoint.port);
}

Common::Result<std::unique_ptr<Relay>> Relay::create(const std::vector<LinkPair> &pairs)
{
    FileDescriptor wakeEvent(::eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK));
    if (!wakeEvent.valid()) {
        return tl::unexpected(Peering::systemError("create eventfd"));
    }
    std::unique_ptr<Relay> relay(new Relay(std::move(wakeEvent)));
    for (const LinkPair &pair : pairs) {
        Link link;
        link.listen = pair.listen;
        link.target = pair.target;
        Common::Result<FileDescriptor> listener
                = Peering::listenOn(pair.listen.address, pair.listen.port);
        if (!listener) {
            return tl::unexpected(listener.error());
        }
        const Common::Result<std::uint16_t> port = Peering::localPort(*listener);
        if (!port) {
            return tl::unexpected(port.error());
        }
        link.listen.port = *port;
        link.listener = std::move(*listener);
        relay->links.push_back(std::move(link));
    }
    relay->wanted.resize(pairs.size());
    return relay;
}

Relay::Relay(FileDescriptor wakeEvent)
    : log(Common::Log::forComponent("standin-link")), wakeEvent(std::move(wakeEvent))
{ }

std::vector<std::string> Relay::listening() const
{
    std::vector<std::string> result;
    result.reserve(this->links.size());
    std::transform(this->links.begin(), this->links.end(), std::back_inserter(result),
                   [](const Link &link) { return toString(link.listen); });
    return result;
}

void Relay::update(const std::function<bool(const std::string &listening)> &chosen,
                   const std::function<void(LinkSettings &settings)> &change)
{
    const std::vector<std::string> names = this->listening();
    std::unique_lock lock(this->mutex);
    for (std::size_t index = 0; index < names.size(); ++index) {
        if (chosen(names[index])) {
            change(this->wanted[index]);
        }
    }
    const std::uint64_t version = ++this->wantedVersion;
    this->wake();
    this->applied.wait(lock, [&] { return this->appliedVersion >= version || this->stopping; });
}

std::vector<LinkSettings> Relay::settings() const
{
    const std::lock_guard lock(this->mutex);
    return this->wanted;
}

void Relay::run()
{
    while (this->takeUpdates()) {
        this->wait(Common::monotonicNow());
        const Instant now = Common::monotonicNow();
        for (Link &link : this->links) {
            for (Connection &connection : link.connections) {
                this->serve(link, connection, now);
            }
            link.connections.remove_if([](const Connection &connection) {
                return connection.failed
                       || (connection.channels[0].finished() && connection.channels[1].finished());
            });
            if (link.listener.valid() && this->ready(link.listener) != 0) {
                this->acceptConnection(link);
            }
        }
    }
}

void Relay::stop()
{
    const std::lock_guard lock(this->mutex);
    this->stopping = true;
    this->applied.notify_all();
    this->wake();
}

bool Relay::takeUpdates()
{
    const std::lock_guard lock(this->mutex);
    if (this->appliedVersion != this->wantedVersion) {
        for (std::size_t index = 0; index < this->links.size(); ++index) {
            this->links[index].settings = this->wanted[index];
            this->applySettings(this->links[index]);
        }
        this->appliedVersion = this->wantedVersion;
        this->applied.notify_all();
    }
    return !this->stopping;
}

void Relay::resetAll(Link &link)
{
    for (const Connection &connection : link.connections) {
        resetOnClose(connection.sockets[0]);
        resetOnClose(connection.sockets[1]);
    }
    link.connections.clear();
}

void Relay::applySettings(Link &link)
{
    if (link.appliedResets != link.settings.resets) {
        link.appliedResets = link.settings.resets;
        resetAll(link);
    }
    link.pacers.fill(Pacer()); // Bytes sent at the earlier bandwidth must not hold up later ones.
    if (link.settings.cut) {
        link.connections.clear();
        link.listener.reset();
        return;
    }
    if (link.listener.valid()) {
        return;
    }
    Common::Result<FileDescriptor> listener
            = Peering::listenOn(link.listen.address, link.listen.port);
    if (!listener) {
        this->log.error(listener.error().toString());
        return;
    }
    link.listener = std::move(*listener);
}

void Relay::acceptConnection(Link &link)
{
    Connection connection;
    connection.sockets[0] = FileDescriptor(
            ::accept4(link.listener.value(), nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC));
    if (!connection.sockets[0].valid()) {
        return;
    }
    Common::Result<FileDescriptor> target
            = Peering::startConnect("0.0.0.0", link.target.address, link.target.port);
    if (!target) {
        this->log.debug(target.error().toString());
        return;
    }
    connection.sockets[1] = std::move(*target);
    link.connections.push_back(std::move(connection));
}

void Relay::wait(Instant now)
{
    this->watched.clear();
    this->watch(this->wakeEvent, POLLIN);
    Instant due = Instant::infinite();
    for (const Link &link : this->links) {
        if (link.listener.valid()) {
            this->watch(link.listener, POLLIN);
        }
        for (const Connection &connection : link.connections) {
            due = std::min(due, this->watchConnection(link, connection));
        }
    }
    const timespec timeout = absl::ToTimespec(std::max(due - now, absl::ZeroDuration()));
    const bool waits = due < Instant::infinite();
    ::ppoll(this->watched.data(), this->watched.size(), waits ? &timeout : nullptr, nullptr);
    std::uint64_t ignored = 0;
    [[maybe_unused]] const auto size = ::read(this->wakeEvent.value(), &ignored, sizeof(ignored));
    std::sort(this->watched.begin(), this->watched.end(),
              [](const pollfd &left, const pollfd &right) { return left.fd < right.fd; });
}

void Relay::watch(const FileDescriptor &descriptor, short events)
{
    // A descriptor without events would still report a hang-up and keep the loop busy.
    if (events != 0) {
        this->watched.push_back({ descriptor.value(), events, 0 });
    }
}

short Relay::ready(const FileDescriptor &descriptor) const
{
    const auto found
            = std::lower_bound(this->watched.begin(), this->watched.end(), descriptor.value(),
                               [](const pollfd &entry, int value) { return entry.fd < value; });
    const bool known = found != this->watched.end() && found->fd == descriptor.value();
    return known ? found->revents : static_cast<short>(0);
}

Instant Relay::watchConnection(const Link &link, const Connection &connection)
{
    if (connection.connecting) {
        this->watch(connection.sockets[1], POLLOUT);
        return Instant::infinite();
    }
    Instant due = Instant::infinite();
    for (std::size_t side = 0; side < 2; ++side) {
        const std::size_t other = 1 - side;
        unsigned events = 0;
        if (connection.channels.at(side).wantsRead()) {
            events |= POLLIN;
        }
        if (connection.channels.at(other).wantsWrite(link.settings)) {
            events |= POLLOUT;
        }
        this->watch(connection.sockets.at(side), static_cast<short>(events));
        due = std::min(due,
                       connection.channels.at(side).nextDue(link.settings, link.pacers.at(side)));
    }
    return due;
}

void Relay::serve(Link &link, Connection &connection, Instant now)
{
    if (connection.connecting) {
        if (this->ready(connection.sockets[1]) == 0) {
            return;
        }
        connection.connecting = false;
        const std::string target = toString(link.target);
        connection.failed = !Peering::connectResult(connection.sockets[1], target).has_value()
                            || !Peering::disableNagle(connection.sockets[0]).has_value()
                            || !Peering::disableNagle(connection.sockets[1]).has_value();
        return;
    }
    for (std::size_t side = 0; side < 2 && !connection.failed; ++side) {
        const FileDescriptor &source = connection.sockets.at(side);
        const FileDescriptor &target = connection.sockets.at(1 - side);
        Channel &channel = connection.channels.at(side);
        if (channel.wantsRead() && (this->ready(source) & (POLLIN | POLLHUP | POLLERR)) != 0) {
            if (!channel.read(source.value(), now, link.settings)) {
                resetOnClose(target);
                connection.failed = true;
                return;
            }
        }
        if ((this->ready(target) & POLLOUT) != 0) {
            channel.unblock();
        }
        connection.failed
                = !channel.write(target.value(), now, link.settings, link.pacers.at(side));
    }
}

void Relay::wake() const
{
    const std::uint64_t one = 1;
    [[maybe_unused]] const auto size = ::write(this->wakeEvent.value(), &one, sizeof(one));
}

} // namespace Currantfall::Standins
