#include "Link.h"

#include <array>
#include <cerrno>
#include <string_view>
#include <sys/socket.h>
#include <sys/uio.h>
#include <utility>
#include <vector>

#include "Socket.h"

namespace Currantfall::Peering {

namespace {

using Common::ErrorCode;

constexpr std::size_t readBytes = 65'536;
// A link with a flood of input must not keep the thread from the other links.
constexpr int readsPerEvent = 16;
constexpr std::size_t buffersPerWrite = 64;
// An unknown caller must not be able to fill the memory before it has said who it is.
constexpr std::size_t maxHelloBytes = 4'096;

} // namespace

std::unique_ptr<Link> Link::dialed(LinkId id, FileDescriptor socket, PeerAddress target,
                                   LinkClass linkClass, std::size_t sendBufferBytes,
                                   Common::Instant now)
{
    std::unique_ptr<Link> link(
            new Link(id, Origin::Dialed, std::move(socket), sendBufferBytes, now));
    link->linkPhase = Phase::Connecting;
    link->ownClass = linkClass;
    link->setPeerText(target.vm.value());
    link->peerIdentity.vm = target.vm;
    link->target = std::move(target);
    return link;
}

std::unique_ptr<Link> Link::accepted(LinkId id, FileDescriptor socket, std::size_t sendBufferBytes,
                                     Common::Instant now)
{
    return std::unique_ptr<Link>(
            new Link(id, Origin::Accepted, std::move(socket), sendBufferBytes, now));
}

Link::Link(LinkId id, Origin origin, FileDescriptor socket, std::size_t sendBufferBytes,
           Common::Instant now)
    : linkId(id), linkOrigin(origin), descriptor(std::move(socket)),
      sendQueue(std::make_shared<SendQueue>(sendBufferBytes)), reader(protocolVersion),
      started(now), established(now), lastFrame(now), lastProgress(now)
{
    this->reader.setLimit(maxHelloBytes);
}

void Link::setPeerText(const std::string &text)
{
    this->peerName = text;
    this->reader.setPeer(text);
}

void Link::markConnected()
{
    this->linkPhase = Phase::AwaitingHello;
}

void Link::markEstablished(const PeerIdentity &identity, LinkClass linkClass, Common::Instant now)
{
    this->linkPhase = Phase::Up;
    this->reader.setLimit(maxMessageBytes);
    this->peerIdentity = identity;
    this->ownClass = linkClass;
    this->established = now;
    this->setPeerText(identity.vm.value());
}

Common::Result<void> Link::receive(Common::Instant now, const FrameHandler &handler,
                                   LinkCounters &counters)
{
    std::array<char, readBytes> bytes;
    for (int read = 0; read < readsPerEvent; ++read) {
        const ssize_t size = ::recv(this->descriptor.value(), bytes.data(), bytes.size(), 0);
        if (size < 0) {
            if (errno == EAGAIN || errno == EINTR) {
                return {};
            }
            return tl::unexpected(systemError("read from link", this->peerName));
        }
        if (size == 0) {
            Common::Result<void> end = this->reader.finish();
            if (!end) {
                return end;
            }
            return Common::failure(ErrorCode::Unavailable, "read from link", this->peerName,
                                   "closed by peer");
        }
        const auto received = static_cast<std::size_t>(size);
        counters.bytesIn += received;
        this->reader.append(std::string_view(bytes.data(), received));
        while (true) {
            Common::Result<std::optional<Frame>> frame = this->reader.next();
            if (!frame) {
                return tl::unexpected(frame.error());
            }
            if (!*frame) {
                break;
            }
            ++counters.framesIn;
            this->lastFrame = now;
            Common::Result<void> handled = handler(std::move(**frame));
            if (!handled) {
                return handled;
            }
        }
        if (received < bytes.size()) {
            return {};
        }
    }
    return {};
}

Common::Result<void> Link::flush(Common::Instant now, LinkCounters &counters)
{
    if (this->linkPhase == Phase::Connecting) {
        return {};
    }
    std::vector<iovec> buffers;
    buffers.reserve(buffersPerWrite);
    while (true) {
        buffers.clear();
        this->sendQueue->gather(buffers, buffersPerWrite);
        if (buffers.empty()) {
            this->writeBlocked = false;
            return {};
        }
        msghdr message {};
        message.msg_iov = buffers.data();
        message.msg_iovlen = buffers.size();
        const ssize_t size = ::sendmsg(this->descriptor.value(), &message, MSG_NOSIGNAL);
        if (size < 0) {
            if (errno != EAGAIN && errno != EINTR) {
                return tl::unexpected(systemError("write to link", this->peerName));
            }
            if (!this->writeBlocked) {
                this->lastProgress = now;
            }
            this->writeBlocked = true;
            return {};
        }
        const auto sent = static_cast<std::size_t>(size);
        counters.bytesOut += sent;
        counters.framesOut += this->sendQueue->consume(sent);
        this->lastProgress = now;
        this->lastFrame = now;
    }
}

Common::Result<void> Link::checkTimeouts(Common::Instant now,
                                         const TransportSettings &settings) const
{
    if (this->linkPhase != Phase::Up && now - this->started > settings.handshakeTimeout) {
        return Common::failure(ErrorCode::Unavailable, "establish link", this->peerName,
                               "no Hello within the handshake timeout");
    }
    if (this->writeBlocked && now - this->lastProgress > settings.writeTimeout) {
        return Common::failure(ErrorCode::Unavailable, "write to link", this->peerName,
                               std::to_string(this->sendQueue->pendingBytes())
                                       + " bytes made no progress within the write timeout");
    }
    return {};
}

void Link::shutdownWrites()
{
    this->writeClosed = true;
    ::shutdown(this->descriptor.value(), SHUT_WR);
}

} // namespace Currantfall::Peering
