#include "HttpEndpoint.h"

#include <utility>

#include <boost/beast/http.hpp>

namespace Currantfall::Entry {

namespace {

namespace http = boost::beast::http;

constexpr absl::Duration idleTimeout = absl::Seconds(15);
constexpr std::uint32_t maxHeaderBytes = 8 * 1024;
// Bounds what the parser can't consume yet, such as trailers.
constexpr std::size_t maxBufferBytes = std::size_t { 2 } * maxHeaderBytes;
constexpr std::size_t maxConnections = 128;

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
    const auto serve = [target](Tcp::socket socket) { target->accept(std::move(socket)); };
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

void HttpEndpoint::accept(Tcp::socket socket)
{
    if (this->open.size() >= maxConnections) {
        IoError ignored;
        this->open.front()->socket().close(ignored);
        this->open.pop_front();
    }
    this->open.push_back(std::make_shared<boost::beast::tcp_stream>(std::move(socket)));
    boost::asio::co_spawn(this->context, this->serve(this->open.back()), boost::asio::detached);
}

Task HttpEndpoint::serve(SharedStream shared)
{
    boost::beast::tcp_stream &stream = *shared;
    boost::beast::flat_buffer buffer(maxBufferBytes);
    bool keepsOpen = true;
    while (keepsOpen) {
        IoError error;
        http::request_parser<http::empty_body> parser;
        parser.header_limit(maxHeaderBytes);
        stream.expires_after(toChrono(idleTimeout));
        co_await http::async_read(stream, buffer, parser, awaitInto(error));
        if (error) {
            break;
        }
        this->open.remove(shared);
        this->open.push_back(shared);
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
        keepsOpen = !error && response.keep_alive();
    }
    this->open.remove(shared);
    IoError ignored;
    stream.socket().shutdown(Tcp::socket::shutdown_send, ignored);
}

} // namespace Currantfall::Entry
