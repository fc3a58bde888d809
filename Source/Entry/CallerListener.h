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

/// Accepts callers' connections, reads their requests and writes the responses. Runs on the entry
/// thread.
class CallerListener
{
public:
    static Common::Result<std::unique_ptr<CallerListener>> start(boost::asio::io_context &context,
                                                                 const EntrySettings &settings,
                                                                 RequestSteering &steering,
                                                                 Common::EventLog &log);

    /// From now on each response closes its connection, so that callers go to other VMs.
    void leave() { this->leaving = true; }
    /// From now on new requests are refused as not run: they could not end before the process.
    void refuseNew() { this->refusing = true; }
    void close();

    /// Requests that were read and not answered yet.
    std::size_t requestsInProgress() const { return this->inProgress; }

private:
    CallerListener(boost::asio::io_context &context, Tcp::acceptor acceptor,
                   const EntrySettings &settings, RequestSteering &steering, Common::EventLog &log);

    /// Serves a new connection unless there are too many.
    void take(Tcp::socket socket);
    Task serve(Tcp::socket socket);
    /// Answers one request; false if the connection ends.
    boost::asio::awaitable<bool> serveOne(boost::beast::tcp_stream &stream,
                                          boost::beast::flat_buffer &buffer);
    boost::asio::awaitable<bool> respond(boost::beast::tcp_stream &stream,
                                         Adapter::HttpResponse response, bool keepAlive,
                                         bool withoutBody);
    /// Notes when the caller closes its connection.
    static void watch(boost::beast::tcp_stream &stream, const SharedCaller &caller);

    boost::asio::io_context &context;
    Tcp::acceptor acceptor;
    RequestSteering &steering;
    Common::EventLog &log;
    std::size_t bodyMemory;
    std::size_t mostConnections;
    std::shared_ptr<std::size_t> bodyBytes = std::make_shared<std::size_t>(0);
    std::size_t connections = 0;
    std::size_t inProgress = 0;
    bool leaving = false;
    bool refusing = false;
};

} // namespace Currantfall::Entry
