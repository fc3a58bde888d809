#include "CallerListener.h"

#include <utility>

namespace Currantfall::Entry {

namespace {

// Fractions of the file descriptors for connections of callers, and for connections to backend
// servers of requests in progress. The others are needed for idle connections, peers and the store.
constexpr double callerDescriptorFraction = 0.5;
constexpr double requestDescriptorFraction = 0.35;

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
    auto connections = std::make_shared<CallerConnections>(
            CallerConnections { context, steering, log, steering.pool().memoryBudget(),
                                fractionOf(settings.maxDescriptors, callerDescriptorFraction),
                                fractionOf(settings.maxDescriptors, requestDescriptorFraction) });
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
    if (this->connections->open >= this->connections->maxConnections
        && !this->connections->closable.empty()) {
        this->connections->closable.front()->closeForOthers("connection-limit");
    }
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
