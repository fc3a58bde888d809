#pragma once

#include <cstddef>
#include <memory>

#include "currantfall/Common/EventLog.h"

#include "Asio.h"
#include "CallerConnection.h"
#include "EntrySettings.h"
#include "RequestSteering.h"

namespace Currantfall::Entry {

/// Accepts connections of callers. Runs on the entry thread.
class CallerListener
{
public:
    static Common::Result<std::unique_ptr<CallerListener>> start(boost::asio::io_context &context,
                                                                 const EntrySettings &settings,
                                                                 RequestSteering &steering,
                                                                 Common::EventLog &log);

    /// Closes each connection once the requests in progress are answered, so that callers connect
    /// to other VMs.
    void disableKeepAlive() { this->connections->keepAliveDisabled = true; }
    /// Rejects new requests as not run, because they could not finish before the process ends.
    void rejectNewRequests() { this->connections->rejectingNewRequests = true; }
    void close();

    /// Number of requests that were read and whose response has not been written yet.
    std::size_t requestsInProgress() const { return this->connections->requestsInProgress; }
    std::size_t openConnections() const { return this->connections->open; }

private:
    CallerListener(Tcp::acceptor acceptor, std::shared_ptr<CallerConnections> connections);

    /// Serves a new connection, or closes it if the maximum number of connections is reached.
    void serveConnection(Tcp::socket socket);

    Tcp::acceptor acceptor;
    std::shared_ptr<CallerConnections> connections;
};

} // namespace Currantfall::Entry
