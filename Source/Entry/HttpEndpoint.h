#pragma once

#include <functional>
#include <memory>
#include <string>

#include "currantfall/Platform/HostPort.h"

#include "Asio.h"

namespace Currantfall::Entry {

/// Answer of an endpoint that only serves small GET requests.
struct EndpointAnswer
{
    unsigned status = 200;
    std::string contentType = "text/plain";
    std::string body;
};

/// A listener for readiness checks, the directory or metrics. Runs on the entry thread.
class HttpEndpoint
{
public:
    /// Called with the target of each request.
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
