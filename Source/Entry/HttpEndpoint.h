#pragma once

#include <functional>
#include <list>
#include <memory>
#include <string>

#include "currantfall/Platform/HostPort.h"

#include "Asio.h"

namespace Currantfall::Entry {

/// Response of an HttpEndpoint.
struct EndpointAnswer
{
    unsigned status = 200;
    std::string contentType = "text/plain";
    std::string body;
};

/// Minimal HTTP server for requests without a body: readiness checks, the directory and metrics.
/// Runs on the entry thread.
class HttpEndpoint
{
public:
    /// Called with the request target of each request.
    using Handler = std::function<EndpointAnswer(const std::string &target)>;

    static Common::Result<std::unique_ptr<HttpEndpoint>>
    start(boost::asio::io_context &context, const Platform::HostPort &address, Handler handler);

    void close();

private:
    HttpEndpoint(boost::asio::io_context &context, Tcp::acceptor acceptor, Handler handler);

    using SharedStream = std::shared_ptr<boost::beast::tcp_stream>;

    void accept(Tcp::socket socket);
    Task serve(SharedStream shared);

    boost::asio::io_context &context;
    Tcp::acceptor acceptor;
    Handler handler;
    /// Open connections. The first one has been served or accepted the longest time ago.
    std::list<SharedStream> open;
};

} // namespace Currantfall::Entry
