#include "CallerListener.h"

#include <algorithm>
#include <limits>
#include <utility>

#include <absl/cleanup/cleanup.h>
#include <boost/beast/http.hpp>

namespace Currantfall::Entry {

namespace {

namespace http = boost::beast::http;
using Adapter::Failure;

// Fraction of the process's memory that may hold bodies of requests in progress.
constexpr double bodyMemoryFraction = 0.3;
// Fraction of the file descriptors for connections of callers. The others are needed for backend
// servers, peers and the store.
constexpr double callerDescriptorFraction = 0.5;
// A caller that does not receive its response within this time counts as disconnected.
constexpr absl::Duration writeTimeout = absl::Seconds(10);
// A body that is not received within this time is not expected to be completed.
constexpr absl::Duration bodyTimeout = absl::Seconds(20);
constexpr absl::Duration callerSilenceTimeout = absl::Seconds(5);

Failure failureOf(const IoError &error)
{
    if (error == http::error::header_limit) {
        return Failure::HeaderTooLarge;
    }
    if (error == http::error::body_limit) {
        return Failure::BodyTooLarge;
    }
    return error == boost::beast::error::timeout ? Failure::HeaderTimeout : Failure::Malformed;
}

bool isProtocolError(const IoError &error)
{
    return error.category() == make_error_code(http::error::bad_method).category()
           && error != http::error::end_of_stream && error != http::error::partial_message;
}

/// Counts the bytes of a request body towards the total while the body is in memory. Shares
/// ownership of the total because a request in progress at the end of the daemon outlives the
/// listener.
class BodyReservation
{
public:
    BodyReservation(std::shared_ptr<std::size_t> total, std::size_t bytes)
        : total(std::move(total)), bytes(bytes)
    {
        *this->total += bytes;
    }
    /// Raises the reservation if the body is larger than expected.
    void growTo(std::size_t size)
    {
        if (size > this->bytes) {
            *this->total += size - this->bytes;
            this->bytes = size;
        }
    }
    ~BodyReservation() { *this->total -= this->bytes; }
    BodyReservation(const BodyReservation &) = delete;
    BodyReservation &operator=(const BodyReservation &) = delete;

private:
    std::shared_ptr<std::size_t> total;
    std::size_t bytes;
};

/// Whether the caller has not closed its connection.
bool isOpen(boost::beast::tcp_stream &stream)
{
    char byte = 0;
    const auto peeked = ::recv(stream.socket().native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return peeked > 0 || (peeked < 0 && (errno == EAGAIN || errno == EWOULDBLOCK));
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
    std::unique_ptr<CallerListener> listener(
            new CallerListener(context, std::move(*acceptor), settings, steering, log));
    CallerListener *target = listener.get();
    const auto serveConnection
            = [target](Tcp::socket socket) { target->serveConnection(std::move(socket)); };
    const auto logError = [target](const IoError &error) {
        target->log.important("accept_failed", { { "error", error.message() } });
    };
    boost::asio::co_spawn(context, acceptAll(target->acceptor, serveConnection, logError),
                          boost::asio::detached);
    return listener;
}

CallerListener::CallerListener(boost::asio::io_context &context, Tcp::acceptor acceptor,
                               const EntrySettings &settings, RequestSteering &steering,
                               Common::EventLog &log)
    : context(context), acceptor(std::move(acceptor)), steering(steering), log(log),
      maxTotalBodyBytes(static_cast<std::size_t>(bodyMemoryFraction
                                                 * static_cast<double>(settings.memoryBytes))),
      maxConnections(static_cast<std::size_t>(callerDescriptorFraction
                                              * static_cast<double>(settings.maxDescriptors)))
{ }

void CallerListener::close()
{
    IoError ignored;
    this->acceptor.close(ignored);
}

void CallerListener::serveConnection(Tcp::socket socket)
{
    if (this->connections >= this->maxConnections) {
        if (this->log.admits()) {
            this->log.write("connection_refused", { { "connections", this->connections } });
        }
        return;
    }
    boost::asio::co_spawn(this->context, this->serveRequests(std::move(socket)),
                          boost::asio::detached);
}

Task CallerListener::serveRequests(Tcp::socket socket)
{
    ++this->connections;
    enableDeadPeerDetection(socket, callerSilenceTimeout);
    boost::beast::tcp_stream stream(std::move(socket));
    boost::beast::flat_buffer buffer;
    while (co_await this->serveRequest(stream, buffer)) {
    }
    IoError ignored;
    stream.socket().shutdown(Tcp::socket::shutdown_send, ignored);
    --this->connections;
}

boost::asio::awaitable<bool> CallerListener::serveRequest(boost::beast::tcp_stream &stream,
                                                          boost::beast::flat_buffer &buffer)
{
    const auto &configuration = this->steering.configuration();
    const Steering::CallerLimits limits
            = configuration ? configuration->limits() : Steering::CallerLimits();
    IoError error;
    if (buffer.size() == 0) {
        stream.expires_after(toChrono(limits.idleTimeout));
        const std::size_t received
                = co_await stream.async_read_some(buffer.prepare(4096), awaitInto(error));
        if (error) {
            co_return false;
        }
        buffer.commit(received);
    }
    http::request_parser<http::string_body> parser;
    parser.header_limit(static_cast<std::uint32_t>(
            std::min<std::size_t>(limits.headerBytes, std::numeric_limits<std::uint32_t>::max())));
    parser.body_limit(limits.bodyBytes);
    stream.expires_after(toChrono(limits.headerTimeout));
    co_await http::async_read_header(stream, buffer, parser, awaitInto(error));
    if (!error && boost::beast::iequals(parser.get()[http::field::expect], "100-continue")) {
        Adapter::HttpResponse proceed(http::status::continue_, 11);
        co_await http::async_write(stream, proceed, awaitInto(error));
    }
    const std::size_t expected
            = error ? 0 : static_cast<std::size_t>(parser.content_length().value_or(0));
    const bool fitsInMemory = *this->totalBodyBytes + expected <= this->maxTotalBodyBytes;
    BodyReservation reservation(this->totalBodyBytes, fitsInMemory ? expected : 0);
    if (!error && fitsInMemory) {
        stream.expires_after(toChrono(bodyTimeout));
        co_await http::async_read(stream, buffer, parser, awaitInto(error));
    }
    const auto caller = std::make_shared<CallerState>(this->context);
    const std::string requestId = Adapter::readCaller(parser.get()).id;
    if (error) {
        if (!isProtocolError(error) && error != boost::beast::error::timeout) {
            co_return false;
        }
        co_return co_await this->respond(stream,
                                         Adapter::failureResponse(failureOf(error), requestId,
                                                                  absl::ZeroDuration(),
                                                                  error.message()),
                                         false, false);
    }
    if (!fitsInMemory || this->rejectingNewRequests) {
        co_return co_await this->respond(
                stream,
                Adapter::failureResponse(Failure::NotRun, requestId, absl::ZeroDuration(),
                                         fitsInMemory ? "shutting-down" : "out-of-memory"),
                false, false);
    }
    const Adapter::HttpRequest request = parser.release();
    // The size of a chunked body is unknown until it has been read.
    reservation.growTo(request.body().size());
    stream.expires_never();
    ++this->inProgress;
    caller->isOpen = [&stream] { return isOpen(stream); };
    // Attempts may outlive the request, also one that ends with an exception.
    const auto release = absl::MakeCleanup([caller] {
        caller->responded = true;
        caller->isOpen = nullptr;
    });
    this->watchForDisconnect(stream, caller);
    auto response = co_await this->steering.handle(request, caller);
    caller->responded = true;
    if (!response) {
        --this->inProgress;
        co_return false;
    }
    // Cancel watchForDisconnect().
    stream.socket().cancel(error);
    const auto responseMemory
            = this->steering.pool().responseMemory().reserveComplete(response->body().size());
    const bool keepAlive = request.keep_alive() && !this->keepAliveDisabled;
    const bool keptOpen = co_await this->respond(stream, std::move(*response), keepAlive,
                                                 request.method() == http::verb::head);
    --this->inProgress;
    co_return keptOpen;
}

boost::asio::awaitable<bool> CallerListener::respond(boost::beast::tcp_stream &stream,
                                                     Adapter::HttpResponse response, bool keepAlive,
                                                     bool withoutBody)
{
    IoError error;
    stream.expires_after(toChrono(writeTimeout));
    response.keep_alive(keepAlive);
    const bool mayHaveBody = response.result_int() != 204 && response.result_int() != 304;
    if (mayHaveBody) {
        response.content_length(response.body().size());
    }
    if (withoutBody) {
        http::response_serializer<http::string_body> serializer(response);
        co_await http::async_write_header(stream, serializer, awaitInto(error));
    } else {
        co_await http::async_write(stream, response, awaitInto(error));
    }
    co_return !error && keepAlive;
}

void CallerListener::watchForDisconnect(boost::beast::tcp_stream &stream,
                                        const SharedCaller &caller)
{
    stream.socket().async_wait(
            Tcp::socket::wait_read,
            [&stream, weak = std::weak_ptr<CallerState>(caller)](const IoError &error) {
                const auto waiting = weak.lock();
                if (error || !waiting || waiting->responded) {
                    return;
                }
                if (!isOpen(stream)) {
                    waiting->onDisconnected();
                }
            });
}

} // namespace Currantfall::Entry
