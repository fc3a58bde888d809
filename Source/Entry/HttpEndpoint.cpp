#include "HttpEndpoint.h"

#include <utility>

#include <boost/beast/http.hpp>

namespace Currantfall::Entry {

namespace {

namespace http = boost::beast::http;

constexpr absl::Duration idleTimeout = absl::Seconds(15);
constexpr std::uint32_t maxHeaderBytes = 8 * 1024;

} // namespace

Common::Result<std::unique_ptr<HttpEndpoint>> HttpEndpoint::start(boost::asio::io_context &context,
                                                                  const Platform::HostPort &address,
                                                                  Handler handler)
{
    auto acceptor = listenOn(context, address);
    if (!acceptor) {
        return tl::unexpected(acceptor.error());
    }
    std::unique_ptr<HttpEndpoint> endpoint(
            new HttpEndpoint(context, std::move(*acceptor), std::move(handler)));
    HttpEndpoint *target = endpoint.get();
    const auto serve = [target](Tcp::socket socket) {
        boost::asio::co_spawn(target->context, target->serve(std::move(socket)),
                              boost::asio::detached);
    };
    const auto ignore = [](const IoError &) {};
    boost::asio::co_spawn(context, acceptAll(target->acceptor, serve, ignore),
                          boost::asio::detached);
    return endpoint;
}

HttpEndpoint::HttpEndpoint(boost::asio::io_context &context, Tcp::acceptor acceptor,
                           Handler handler)
    : context(context), acceptor(std::move(acceptor)), handler(std::move(handler))
{ }

void HttpEndpoint::close()
{
    IoError ignored;
    this->acceptor.close(ignored);
}

Task HttpEndpoint::serve(Tcp::socket socket)
{
    boost::beast::tcp_stream stream(std::move(socket));
    boost::beast::flat_buffer buffer;
    bool open = true;
    while (open) {
        IoError error;
        http::request_parser<http::empty_body> parser;
        parser.header_limit(maxHeaderBytes);
        stream.expires_after(toChrono(idleTimeout));
        co_await http::async_read(stream, buffer, parser, awaitInto(error));
        if (error) {
            break;
        }
        const auto target = parser.get().target();
        EndpointAnswer answer = this->handler(std::string(target.data(), target.size()));
        http::response<http::string_body> response;
        response.version(11);
        response.result(answer.status);
        response.set(http::field::content_type, answer.contentType);
        response.keep_alive(parser.get().keep_alive());
        response.body() = std::move(answer.body);
        response.prepare_payload();
        co_await http::async_write(stream, response, awaitInto(error));
        open = !error && response.keep_alive();
    }
    IoError ignored;
    stream.socket().shutdown(Tcp::socket::shutdown_send, ignored);
}

} // namespace Currantfall::Entry
