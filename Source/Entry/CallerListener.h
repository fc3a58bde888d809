#pragma once

#include <cstddef>
#include <functional>
#include <memory>
#include <set>

#include "currantfall/Common/EventLog.h"

#include "Asio.h"
#include "EntrySettings.h"
#include "RequestSteering.h"

namespace Currantfall::Entry {

/// Accepts connections of callers, reads requests and writes responses. Runs on the entry thread.
class CallerListener
{
public:
    static Common::Result<std::unique_ptr<CallerListener>> start(boost::asio::io_context &context,
                                                                 const EntrySettings &settings,
                                                                 RequestSteering &steering,
                                                                 Common::EventLog &log);

    /// Closes each connection after its next response, so that callers connect to other VMs.
    void disableKeepAlive() { this->keepAliveDisabled = true; }
    /// Rejects new requests as not run, because they could not finish before the process ends.
    void rejectNewRequests() { this->rejectingNewRequests = true; }
    void close();

    /// Number of requests that were read and whose response has not been written yet.
    std::size_t requestsInProgress() const { return this->inProgress; }

private:
    CallerListener(boost::asio::io_context &context, Tcp::acceptor acceptor,
                   const EntrySettings &settings, RequestSteering &steering, Common::EventLog &log);

    /// Serves a new connection, or closes it if the maximum number of connections is reached.
    void serveConnection(Tcp::socket socket);
    Task serveRequests(Tcp::socket socket);
    /// Reads one request and writes its response. Returns false if the connection is to be closed.
    boost::asio::awaitable<bool> serveRequest(boost::beast::tcp_stream &stream,
                                              boost::beast::flat_buffer &buffer);
    boost::asio::awaitable<bool> respond(boost::beast::tcp_stream &stream,
                                         Adapter::HttpResponse response, bool keepAlive,
                                         bool withoutBody);
    /// Marks the caller as disconnected when it closes its connection.
    static void watchForDisconnect(boost::beast::tcp_stream &stream, const SharedCaller &caller);

    boost::asio::io_context &context;
    Tcp::acceptor acceptor;
    RequestSteering &steering;
    Common::EventLog &log;
    std::size_t maxTotalBodyBytes;
    std::size_t maxConnections;
    std::shared_ptr<std::size_t> totalBodyBytes = std::make_shared<std::size_t>(0);
    std::size_t connections = 0;
    std::size_t inProgress = 0;
    bool keepAliveDisabled = false;
    bool rejectingNewRequests = false;
};

} // namespace Currantfall::Entry
