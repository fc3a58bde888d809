#include "CallerListener.h"

#include <utility>

namespace Currantfall::Entry {

namespace {

// Fraction of the process's memory that may hold bodies of requests in progress.
constexpr double bodyMemoryFraction = 0.3;
// Fraction of the file descriptors for connections of callers. The others are needed for backend
// servers, peers and the store.
constexpr double callerDescriptorFraction = 0.5;

std::size_t fractionOf(std::size_t total, double fraction)
{
    return static_cast<std::size_t>(fraction * static_cast<double>(total));
}

} // namespace

Common::Result<std::unique_ptr<CallerListener>>
CallerListener::start(boost::asio::io_context &context, const EntrySettings &settings,
                      RequestSteering &steering, Common::EventLog &log)
{
    auto acceptor = listenOn(context, settings.callers);
    if (!acceptor) {
        return tl::unexpected(acceptor.error());
    }
    auto connections = std::make_shared<CallerConnections>(CallerConnections {
            context, steering, log, fractionOf(settings.memoryBytes, bodyMemoryFraction),
            fractionOf(settings.maxDescriptors, callerDescriptorFraction) });
    std::unique_ptr<CallerListener> listener(
            new CallerListener(std::move(*acceptor), std::move(connections)));
    CallerListener *target = listener.get();
    const auto serveConnection
            = [target](Tcp::socket socket) { target->serveConnection(std::move(socket)); };
    const auto logError = [&log](const IoError &error) {
        log.important("accept_failed", { { "error", error.message() } });
    };
    boost::asio::co_spawn(context, acceptAll(target->acceptor, serveConnection, logError),
                          boost::asio::detached);
    return listener;
}

CallerListener::CallerListener(Tcp::acceptor acceptor,
                               std::shared_ptr<CallerConnections> connections)
    : acceptor(std::move(acceptor)), connections(std::move(connections))
{ }

void CallerListener::close()
{
    IoError ignored;
    this->acceptor.close(ignored);
}

void CallerListener::serveConnection(Tcp::socket socket)
{
    if (this->connections->open >= this->connections->maxConnections) {
        if (this->connections->log.admits()) {
            this->connections->log.write("connection_refused",
                                         { { "connections", this->connections->open } });
        }
        return;
    }
    CallerConnection::serve(this->connections, std::move(socket));
}

} // namespace Currantfall::Entry
