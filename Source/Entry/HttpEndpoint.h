#pragma once

#include <functional>
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

    Task serve(Tcp::socket socket);

    boost::asio::io_context &context;
    Tcp::acceptor acceptor;
    Handler handler;
};

} // namespace Currantfall::Entry
