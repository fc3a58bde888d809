#include "currantfall/Peering/PeerTransport.h"

#include <thread>
#include <utility>

#include "PeerLoop.h"
#include "Socket.h"

namespace Currantfall::Peering {

class PeerTransport::Implementation
{
public:
    Implementation(TransportSettings settings, PeerHandlers handlers, FileDescriptor listener,
                   Poller poller, std::uint16_t port)
        : loop(std::move(settings), std::move(handlers), std::move(listener), std::move(poller)),
          port(port), thread([this] { this->loop.run(); })
    { }

    PeerLoop loop;
    const std::uint16_t port;
    std::thread thread; // Last: it uses the loop.
};

Common::Result<std::unique_ptr<PeerTransport>> PeerTransport::start(TransportSettings settings,
                                                                    PeerHandlers handlers)
{
    if (!Common::isValidName(settings.self.vm.value())) {
        return Common::failure(Common::ErrorCode::InvalidInput, "start peer transport", {},
                               "invalid VM name '" + settings.self.vm.value() + "'");
    }
    if (!handlers.onMessage || !handlers.onLinkUp || !handlers.onLinkDown) {
        return Common::failure(Common::ErrorCode::InvalidInput, "start peer transport", {},
                               "a handler is missing");
    }
    Common::Result<FileDescriptor> listener = listenOn(settings.listenAddress, settings.listenPort);
    if (!listener) {
        return tl::unexpected(listener.error());
    }
    const Common::Result<std::uint16_t> port = localPort(*listener);
    if (!port) {
        return tl::unexpected(port.error());
    }
    Common::Result<Poller> poller = Poller::create();
    if (!poller) {
        return tl::unexpected(poller.error());
    }
    auto implementation
            = std::make_unique<Implementation>(std::move(settings), std::move(handlers),
                                               std::move(*listener), std::move(*poller), *port);
    return std::unique_ptr<PeerTransport>(new PeerTransport(std::move(implementation)));
}

PeerTransport::PeerTransport(std::unique_ptr<Implementation> implementation)
    : implementation(std::move(implementation))
{ }

PeerTransport::~PeerTransport()
{
    this->stop();
}

void PeerTransport::setPeers(std::vector<PeerAddress> peers)
{
    this->implementation->loop.setPeers(std::move(peers));
}

bool PeerTransport::send(const Common::VmName &peer, LinkClass linkClass,
                         std::unique_ptr<Wire::MessageT> message)
{
    return this->send(peer, linkClass, encode(linkClass, *message));
}

SharedFrame PeerTransport::encode(LinkClass linkClass, const Wire::MessageT &message)
{
    return std::make_shared<const std::string>(encodeFrame(protocolVersion, linkClass, message));
}

bool PeerTransport::send(const Common::VmName &peer, LinkClass linkClass, SharedFrame frame)
{
    return this->implementation->loop.send(peer, linkClass, std::move(frame));
}

std::uint16_t PeerTransport::port() const
{
    return this->implementation->port;
}

TransportCounters PeerTransport::counters() const
{
    return this->implementation->loop.counters();
}

void PeerTransport::stop()
{
    if (this->implementation->thread.joinable()) {
        this->implementation->loop.stop();
        this->implementation->thread.join();
    }
}

} // namespace Currantfall::Peering
