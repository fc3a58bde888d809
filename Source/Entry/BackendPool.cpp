#include "BackendPool.h"

#include <algorithm>
#include <charconv>
#include <functional>
#include <poll.h>
#include <utility>

#include <boost/beast/core/bind_handler.hpp>
#include <boost/beast/http.hpp>

namespace Currantfall::Entry {

namespace {

namespace http = boost::beast::http;
using Steering::AttemptEnd;

// Allows two round trips between the most distant regions and one slow start.
constexpr absl::Duration connectTimeout = absl::Milliseconds(500);
// A server that sends no acknowledgement within this time counts as unreachable.
constexpr absl::Duration serverSilenceTimeout = absl::Milliseconds(1500);
// Assumed if the response has no Keep-Alive header with a timeout.
constexpr absl::Duration defaultKeepAlive = absl::Seconds(5);
// Fraction of the server's keep-alive timeout for which a connection is reused, so that the server
// does not close it while a request is being sent.
constexpr double keepAliveFraction = 0.7;
// Lower for requests that are not idempotent: they can't be repeated if the server has closed the
// connection.
constexpr double nonIdempotentKeepAliveFraction = 0.5;
constexpr std::size_t maxIdleConnectionsPerServer = 8;
constexpr std::uint32_t maxResponseHeaderBytes = 64 * 1024;
// What a health check needs is in the status and the headers.
constexpr std::uint64_t maxHealthBodyBytes = std::uint64_t { 16 } * 1024;
// Interim responses and late responses to earlier requests that are skipped before the response to
// a request. A connection has at most one late response for each earlier request, and few servers
// send any; without a limit a server could send them until the deadline.
constexpr int maxSkippedResponses = 16;
// Larger bodies of skipped responses cost more than a new connection.
constexpr std::uint64_t maxSkippedBodyBytes = std::uint64_t { 64 } * 1024;
// Bounds the memory for the ids of a connection's requests.
constexpr std::size_t maxRequestsPerConnection = 256;
// Bodies up to this size fit into the socket buffers, so the request is written completely before
// the response is read.
constexpr std::size_t maxBodyBytesBeforeRead = std::size_t { 8 } * 1024;
// Fraction of the process's memory for what callers and servers make it hold. The largest body that
// a configuration usually allows (64 MiB) still fits on a VM with 112 MiB; the rest is for the
// tables of the VM.
constexpr double peerMemoryFraction = 0.65;
constexpr unsigned switchingProtocols = 101;
constexpr unsigned minFinalStatus = 200;
constexpr unsigned maxStatus = 599;

Admission::MemoryBudgetSettings budgetSettings(std::size_t processBytes)
{
    Admission::MemoryBudgetSettings settings;
    settings.bytes
            = static_cast<std::size_t>(static_cast<double>(processBytes) * peerMemoryFraction);
    return settings;
}

/// Whether a status is none of HTTP (RFC 9110, section 15), or one that this VM never asks for.
bool invalidStatus(unsigned status)
{
    return status < 100 || status > maxStatus || status == switchingProtocols;
}

absl::Duration keepAliveTimeoutOf(const Adapter::HttpResponse &response)
{
    const auto header = response["Keep-Alive"];
    const std::string text(header.data(), header.size());
    const auto position = text.find("timeout=");
    int seconds = 0;
    if (position != std::string::npos) {
        std::from_chars(text.data() + position + 8, text.data() + text.size(), seconds);
    }
    return seconds > 0 ? absl::Seconds(seconds) : defaultKeepAlive;
}

void closeIgnoringErrors(BackendConnection &connection)
{
    IoError ignored;
    connection.stream.socket().close(ignored);
}

/// Ends a connection that has no request without its response.
void closeInOrder(BackendConnection &connection)
{
    setResetOnClose(connection.stream.socket(), false);
    closeIgnoringErrors(connection);
}

/// Whether the connection has ended in both directions. After an orderly end of the server's stream
/// this VM may still send. A reset is reported once as an error: if a write in progress gets it, a
/// read sees an end that looks orderly.
bool isHungUp(BackendConnection &connection)
{
    pollfd state { connection.stream.socket().native_handle(), POLLIN, 0 };
    return ::poll(&state, 1, 0) > 0 && (state.revents & (POLLHUP | POLLERR)) != 0;
}

ExchangeResult failedResult(AttemptEnd end, const std::string &step, const IoError &error)
{
    ExchangeResult result;
    result.end = end;
    result.detail = step + ": " + error.message();
    return result;
}

/// Whether the response to the exchange can be told from late responses to the earlier requests of
/// the connection.
bool canAttributeResponses(const BackendConnection &connection, const Exchange &exchange)
{
    if (exchange.requestId.empty()) {
        return exchange.healthCheck && !connection.sentWithoutId;
    }
    return std::find(connection.sentIds.begin(), connection.sentIds.end(),
                     std::hash<std::string>()(exchange.requestId))
           == connection.sentIds.end();
}

void noteSent(BackendConnection &connection, const Exchange &exchange)
{
    if (exchange.requestId.empty()) {
        connection.sentWithoutId = true;
    } else {
        connection.sentIds.push_back(std::hash<std::string>()(exchange.requestId));
    }
}

bool belongsTo(const Exchange &exchange, const Adapter::BackendResponse &response)
{
    return !response.severalRequestIds && response.requestId == exchange.requestId;
}

/// Whether the connection can carry another request after this exchange.
bool mayReuseAfter(const Exchange &exchange, const BackendConnection &connection)
{
    return (exchange.healthCheck || !exchange.requestId.empty())
           && connection.sentIds.size() < maxRequestsPerConnection;
}

/// Writes a request concurrently with reading its response. Sets `written` on success.
Task writeRequest(SharedConnection connection, std::shared_ptr<Exchange> exchange,
                  std::shared_ptr<bool> written)
{
    IoError error;
    co_await http::async_write(connection->stream, exchange->request, awaitInto(error));
    *written = !error;
    exchange->writeFailed = static_cast<bool>(error);
    // The server may take long to respond; meanwhile the body is not needed.
    exchange->request.body() = {};
}

ExchangeResult brokenResult(const std::string &detail)
{
    ExchangeResult result;
    result.end = AttemptEnd::Broken;
    result.detail = detail;
    return result;
}

} // namespace

void Exchange::cancel()
{
    this->cancelled = true;
    if (this->connection) {
        closeIgnoringErrors(*this->connection);
    }
}

void Exchange::interrupt()
{
    if (this->connection) {
        closeIgnoringErrors(*this->connection);
    }
}

BackendPool::BackendPool(boost::asio::io_context &context, Telemetry::MetricsRegistry &metrics,
                         std::size_t processBytes)
    : context(context), metrics(metrics), budget(budgetSettings(processBytes)),
      memory(processBytes, this->budget)
{ }

SharedConnection BackendPool::takeIdle(const Exchange &exchange)
{
    const auto found = this->idleConnections.find(exchange.server.name);
    if (found == this->idleConnections.end()) {
        return nullptr;
    }
    const Common::Instant now = Common::monotonicNow();
    const double fraction
            = exchange.idempotent ? keepAliveFraction : nonIdempotentKeepAliveFraction;
    std::vector<SharedConnection> &connections = found->second;
    // Use the connection that became idle last, so that the others time out and are closed.
    for (std::size_t index = connections.size(); index > 0; --index) {
        SharedConnection connection = connections[index - 1];
        if (now - connection->idleSince > connection->keepAliveTimeout * fraction) {
            return nullptr;
        }
        if (!canAttributeResponses(*connection, exchange)) {
            continue;
        }
        connections.erase(connections.begin() + static_cast<std::ptrdiff_t>(index - 1));
        IoError error;
        // Cancel the wait for a close by the server.
        connection->stream.socket().cancel(error);
        connection->idle = false;
        char byte = 0;
        const auto peeked = ::recv(connection->stream.socket().native_handle(), &byte, 1,
                                   MSG_PEEK | MSG_DONTWAIT);
        if (peeked < 0 && (errno == EAGAIN || errno == EWOULDBLOCK)) {
            connection->reused = true;
            return connection;
        }
        // The server closed the connection or sent unexpected bytes.
        closeInOrder(*connection);
    }
    return nullptr;
}

boost::asio::awaitable<SharedConnection> BackendPool::connect(Exchange &exchange, IoError &error)
{
    auto connection = std::make_shared<BackendConnection>(this->context);
    exchange.connection = connection;
    const Tcp::endpoint endpoint(boost::asio::ip::make_address(exchange.server.address, error),
                                 exchange.server.port);
    if (error) {
        co_return nullptr;
    }
    connection->stream.expires_after(toChrono(connectTimeout));
    co_await connection->stream.async_connect(endpoint, awaitInto(error));
    if (error) {
        co_return nullptr;
    }
    enableDeadPeerDetection(connection->stream.socket(), serverSilenceTimeout);
    // However the connection ends, a request that was given up must not arrive later, as it would
    // after a cut.
    setResetOnClose(connection->stream.socket(), true);
    this->metrics.addToCounter("currantfall_backend_connections_total");
    co_return connection;
}

void BackendPool::addIdle(const Common::BackendServerName &server,
                          const SharedConnection &connection, absl::Duration keepAliveTimeout)
{
    auto &connections = this->idleConnections[server];
    if (connections.size() >= maxIdleConnectionsPerServer) {
        closeInOrder(*connection);
        return;
    }
    connection->keepAliveTimeout = keepAliveTimeout;
    connection->idleSince = Common::monotonicNow();
    connection->idle = true;
    connection->stream.expires_never();
    connections.push_back(connection);
    connection->stream.socket().async_wait(
            Tcp::socket::wait_read, [this, server, connection](const IoError &error) {
                if (error || !connection->idle) {
                    return;
                }
                // The server closed the connection or sent unexpected bytes, so that the
                // connection can't be used for another request.
                connection->idle = false;
                closeInOrder(*connection);
                std::erase(this->idleConnections[server], connection);
            });
}

boost::asio::awaitable<std::optional<std::string>>
BackendPool::readOne(const Exchange &exchange, ResponseParser &parser,
                     ResponseMemory::Reservation &body)
{
    const SharedConnection connection = exchange.connection;
    const std::uint64_t bodyLimit
            = exchange.healthCheck ? maxHealthBodyBytes : this->memory.maxBodyBytes();
    parser.body_limit(bodyLimit);
    parser.header_limit(maxResponseHeaderBytes);
    if (exchange.request.method() == http::verb::head) {
        parser.skip(true);
    }
    IoError error;
    std::optional<bool> skipped;
    while (!error && !parser.is_done()) {
        // The library forgets a violation of the body limit if it parses the header and the first
        // bytes of the body in one step, and then allocates memory for the announced length.
        parser.eager(parser.is_header_done());
        co_await http::async_read_some(connection->stream, connection->buffer, parser,
                                       awaitInto(error));
        const std::uint64_t bodyBytes = parser.get().body().size();
        if (body.revoked() || !body.growTo(bodyBytes)) {
            co_return "no memory for the response";
        }
        if (!skipped && parser.is_header_done() && !parser.is_done()) {
            skipped = !belongsTo(exchange, Adapter::readBackend(parser.get()));
        }
        if (skipped.value_or(false)
            && std::max(bodyBytes, parser.content_length_remaining().value_or(0))
                       > maxSkippedBodyBytes) {
            co_return "long response to another request";
        }
    }
    if (error) {
        co_return "read response: " + error.message();
    }
    if (invalidStatus(parser.get().result_int())) {
        co_return "response with the invalid status " + std::to_string(parser.get().result_int());
    }
    if (parser.need_eof() && (exchange.writeFailed || isHungUp(*connection))) {
        co_return "connection reset before the end of a response without length";
    }
    co_return std::nullopt;
}

boost::asio::awaitable<ExchangeResult> BackendPool::readResponse(Exchange &exchange,
                                                                 std::shared_ptr<bool> written)
{
    const SharedConnection connection = exchange.connection;
    bool reusable = true;
    int responses = 0;
    while (true) {
        ResponseParser parser;
        const auto body = this->memory.reserve([connection] { closeIgnoringErrors(*connection); },
                                               exchange.memoryOwner);
        if (const auto failure = co_await this->readOne(exchange, parser, *body)) {
            this->metrics.addToCounter("currantfall_backend_responses_broken_total");
            closeIgnoringErrors(*connection);
            ExchangeResult broken = brokenResult(*failure);
            if (parser.is_header_done()) {
                // What the server says of itself holds although its response is incomplete.
                const Adapter::BackendResponse parsed = Adapter::readBackend(parser.get());
                broken.parsed.misdirected = parsed.misdirected;
                broken.parsed.notice = parsed.notice;
            }
            co_return broken;
        }
        if (++responses > maxSkippedResponses + 1) {
            this->metrics.addToCounter("currantfall_backend_responses_broken_total");
            closeIgnoringErrors(*connection);
            co_return brokenResult("too many responses to other requests");
        }
        const bool bodyEndsAtClose = parser.need_eof();
        Adapter::HttpResponse response = parser.release();
        if (response.result_int() < minFinalStatus) {
            continue;
        }
        ExchangeResult result;
        result.parsed = Adapter::readBackend(response);
        if (!belongsTo(exchange, result.parsed)) {
            // A late response to an earlier request. The next one may belong to this request.
            reusable = false;
            if (bodyEndsAtClose || !response.keep_alive()) {
                closeIgnoringErrors(*connection);
                co_return brokenResult("response to another request");
            }
            continue;
        }
        reusable = reusable && *written && !bodyEndsAtClose && response.keep_alive()
                   && connection->buffer.size() == 0 && !exchange.cancelled
                   && mayReuseAfter(exchange, *connection);
        if (reusable) {
            this->addIdle(exchange.server.name, connection, keepAliveTimeoutOf(response));
        } else {
            closeInOrder(*connection);
        }
        if (result.parsed.misdirected) {
            result.end = AttemptEnd::Misdirected;
        } else if (result.parsed.notExecuted) {
            result.end = AttemptEnd::NotExecuted;
        } else if (result.parsed.success && !result.parsed.genuine && !exchange.healthCheck) {
            result.end = AttemptEnd::Broken;
            result.detail = "response without signature or with an encoded body";
        } else {
            result.end = result.parsed.serverError ? AttemptEnd::ServerError : AttemptEnd::Answered;
        }
        body->keep();
        result.memory = body;
        result.response = std::move(response);
        co_return result;
    }
}

boost::asio::awaitable<ExchangeResult> BackendPool::sendAndReceive(std::shared_ptr<Exchange> shared)
{
    Exchange &exchange = *shared;
    IoError error;
    exchange.connection = this->takeIdle(exchange);
    if (!exchange.connection) {
        exchange.connection = co_await this->connect(exchange, error);
        if (!exchange.connection) {
            co_return failedResult(AttemptEnd::Unreachable, "connect", error);
        }
    }
    const SharedConnection connection = exchange.connection;
    const absl::Duration remaining = exchange.deadline - Common::monotonicNow();
    if (exchange.cancelled || remaining <= absl::ZeroDuration()) {
        closeIgnoringErrors(*connection);
        ExchangeResult result;
        result.end = AttemptEnd::Abandoned;
        result.detail = "cancelled before it was sent";
        co_return result;
    }
    if (exchange.mayBeSent && !exchange.mayBeSent()) {
        if (connection->reused) {
            // How long it may stay idle from now on is unknown.
            closeInOrder(*connection);
        } else {
            this->addIdle(exchange.server.name, connection, defaultKeepAlive);
        }
        ExchangeResult result;
        result.end = AttemptEnd::Withheld;
        result.detail = "not sent: the caller has left or the server became ineligible";
        co_return result;
    }
    connection->stream.expires_after(toChrono(remaining));
    noteSent(*connection, exchange);
    auto written = std::make_shared<bool>(false);
    const bool longBody = exchange.request.body().size() > maxBodyBytesBeforeRead;
    if (longBody || connection->longSendTimeout) {
        // A server that works on a long body may not read on until it has room. It is alive, but a
        // closed window looks like silence to the send timeout.
        setSendTimeout(connection->stream.socket(), longBody ? remaining : serverSilenceTimeout);
        connection->longSendTimeout = longBody;
    }
    if (longBody) {
        // The server may respond before it has read the whole body.
        boost::asio::co_spawn(this->context, writeRequest(connection, shared, written),
                              boost::asio::detached);
        co_return co_await this->readResponse(exchange, written);
    }
    const std::size_t sent
            = co_await http::async_write(connection->stream, exchange.request, awaitInto(error));
    if (error) {
        closeIgnoringErrors(*connection);
        // If no byte was sent, the server can't have executed the request.
        co_return failedResult(sent == 0 ? AttemptEnd::Unreachable : AttemptEnd::Broken,
                               "send request", error);
    }
    *written = true;
    co_return co_await this->readResponse(exchange, written);
}

boost::asio::awaitable<ExchangeResult> BackendPool::run(std::shared_ptr<Exchange> exchange)
{
    ExchangeResult result = co_await this->sendAndReceive(exchange);
    if (exchange->cancelled && result.end != AttemptEnd::Answered) {
        result.end = AttemptEnd::Abandoned;
    }
    co_return result;
}

boost::asio::awaitable<bool> BackendPool::canConnect(Steering::BackendServer server)
{
    Exchange exchange;
    exchange.server = std::move(server);
    IoError error;
    const SharedConnection connection = co_await this->connect(exchange, error);
    if (!connection) {
        co_return false;
    }
    this->addIdle(exchange.server.name, connection, defaultKeepAlive);
    co_return true;
}

void BackendPool::closeIdle(const Common::BackendServerName &server)
{
    const auto found = this->idleConnections.find(server);
    if (found == this->idleConnections.end()) {
        return;
    }
    for (const SharedConnection &connection : found->second) {
        connection->idle = false;
        closeInOrder(*connection);
    }
    this->idleConnections.erase(found);
}

void BackendPool::advance(Common::Instant now)
{
    for (auto &[server, connections] : this->idleConnections) {
        std::erase_if(connections, [now](const SharedConnection &connection) {
            if (now - connection->idleSince <= connection->keepAliveTimeout * keepAliveFraction) {
                return false;
            }
            connection->idle = false;
            closeInOrder(*connection);
            return true;
        });
    }
}

} // namespace Currantfall::Entry
