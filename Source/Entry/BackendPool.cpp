#include "BackendPool.h"

#include <algorithm>
#include <charconv>
#include <utility>

#include <boost/beast/core/bind_handler.hpp>
#include <boost/beast/http.hpp>

namespace Currantfall::Entry {

namespace {

namespace http = boost::beast::http;
using Steering::AttemptEnd;

// Two round trips between the most distant regions, with room for one slow start.
constexpr absl::Duration connectTimeout = absl::Milliseconds(500);
// A server that acknowledges nothing for this time is unreachable.
constexpr absl::Duration serverSilence = absl::Milliseconds(1500);
// Idle time after which a connection is not reused if the server names no limit.
constexpr absl::Duration defaultKeepAlive = absl::Seconds(5);
// Part of the server's limit that is used, so that it does not close while a request is sent.
constexpr double keepAlivePart = 0.7;
// The same for requests that must not be repeated when the connection turns out to be closed.
constexpr double carefulKeepAlivePart = 0.5;
constexpr std::size_t idlePerServer = 8;
constexpr std::uint64_t largestResponse = 64ULL * 1024 * 1024;
constexpr std::uint32_t largestResponseHeader = 64 * 1024;
// Bodies up to this size are written before the response is read: they fit into socket buffers.
constexpr std::size_t smallBody = std::size_t { 8 } * 1024;

absl::Duration keepAliveOf(const Adapter::HttpResponse &response)
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

void closeQuietly(BackendConnection &connection)
{
    IoError ignored;
    connection.stream.socket().close(ignored);
}

ExchangeResult failed(AttemptEnd end, const std::string &step, const IoError &error)
{
    ExchangeResult result;
    result.end = end;
    result.detail = step + ": " + error.message();
    return result;
}

/// Writes a request while its response may already arrive.
Task writeRequest(SharedConnection connection, std::shared_ptr<Adapter::HttpRequest> request,
                  std::shared_ptr<bool> written)
{
    IoError error;
    co_await http::async_write(connection->stream, *request, awaitInto(error));
    *written = !error;
}

} // namespace

void Exchange::cancel()
{
    this->cancelled = true;
    if (this->connection) {
        closeQuietly(*this->connection);
    }
}

void Exchange::interrupt()
{
    if (this->connection) {
        closeQuietly(*this->connection);
    }
}

BackendPool::BackendPool(boost::asio::io_context &context, Telemetry::MetricsRegistry &metrics)
    : context(context), metrics(metrics)
{ }

SharedConnection BackendPool::takeIdle(const Exchange &exchange)
{
    const auto found = this->idle.find(exchange.server.name);
    if (found == this->idle.end()) {
        return nullptr;
    }
    const Common::Instant now = Common::monotonicNow();
    const double part = exchange.idempotent ? keepAlivePart : carefulKeepAlivePart;
    while (!found->second.empty()) {
        // The latest one: the others may then reach their limit and be closed.
        SharedConnection connection = found->second.back();
        if (now - connection->idleSince > connection->keepAlive * part) {
            return nullptr;
        }
        found->second.pop_back();
        IoError error;
        // Ends the watch for the server's close.
        connection->stream.socket().cancel(error);
        connection->idle = false;
        char byte = 0;
        const auto peeked = ::recv(connection->stream.socket().native_handle(), &byte, 1,
                                   MSG_PEEK | MSG_DONTWAIT);
        if (peeked < 0 && (errno == EAGAIN || errno == EWOULDBLOCK)) {
            connection->reused = true;
            return connection;
        }
        // Closed, or bytes that belong to no request.
        closeQuietly(*connection);
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
    detectSilence(connection->stream.socket(), serverSilence);
    this->metrics.addToCounter("currantfall_backend_connections_total");
    co_return connection;
}

void BackendPool::keep(const Common::BackendServerName &server, const SharedConnection &connection,
                       absl::Duration keepAlive)
{
    auto &connections = this->idle[server];
    if (connections.size() >= idlePerServer) {
        closeQuietly(*connection);
        return;
    }
    connection->keepAlive = keepAlive;
    connection->idleSince = Common::monotonicNow();
    connection->idle = true;
    connection->stream.expires_never();
    connections.push_back(connection);
    connection->stream.socket().async_wait(Tcp::socket::wait_read,
                                           [this, server, connection](const IoError &error) {
                                               if (error || !connection->idle) {
                                                   return;
                                               }
                                               // The server closed it, or sent bytes that nobody
                                               // asked for.
                                               connection->idle = false;
                                               closeQuietly(*connection);
                                               std::erase(this->idle[server], connection);
                                           });
}

boost::asio::awaitable<ExchangeResult> BackendPool::read(Exchange &exchange,
                                                         std::shared_ptr<bool> written)
{
    const SharedConnection connection = exchange.connection;
    bool reusable = true;
    while (true) {
        http::response_parser<http::string_body> parser;
        parser.body_limit(largestResponse);
        parser.header_limit(largestResponseHeader);
        if (exchange.request.method() == http::verb::head) {
            parser.skip(true);
        }
        IoError error;
        co_await http::async_read(connection->stream, connection->buffer, parser, awaitInto(error));
        if (error) {
            closeQuietly(*connection);
            co_return failed(AttemptEnd::Broken, "read response", error);
        }
        const bool endsWithConnection = parser.need_eof();
        Adapter::HttpResponse response = parser.release();
        if (response.result_int() < 200) {
            continue;
        }
        ExchangeResult result;
        result.meaning = Adapter::readBackend(response);
        if (!exchange.requestId.empty() && result.meaning.requestId != exchange.requestId) {
            // A late response to an earlier request; the next one may be ours.
            reusable = false;
            if (endsWithConnection || !response.keep_alive()) {
                closeQuietly(*connection);
                result.end = AttemptEnd::Broken;
                result.detail = "response to another request";
                co_return result;
            }
            continue;
        }
        reusable = reusable && *written && !endsWithConnection && response.keep_alive()
                   && connection->buffer.size() == 0 && !exchange.cancelled;
        if (reusable) {
            this->keep(exchange.server.name, connection, keepAliveOf(response));
        } else {
            closeQuietly(*connection);
        }
        if (result.meaning.misdirected) {
            result.end = AttemptEnd::Misdirected;
        } else if (result.meaning.notExecuted) {
            result.end = AttemptEnd::NotExecuted;
        } else if (result.meaning.success && !result.meaning.genuine
                   && !exchange.requestId.empty()) {
            result.end = AttemptEnd::Broken;
            result.detail = "response without signature or with an encoded body";
        } else {
            result.end
                    = result.meaning.serverError ? AttemptEnd::ServerError : AttemptEnd::Answered;
        }
        result.response = std::move(response);
        co_return result;
    }
}

boost::asio::awaitable<ExchangeResult> BackendPool::attempt(Exchange &exchange)
{
    IoError error;
    exchange.connection = this->takeIdle(exchange);
    if (!exchange.connection) {
        exchange.connection = co_await this->connect(exchange, error);
        if (!exchange.connection) {
            co_return failed(AttemptEnd::Unreachable, "connect", error);
        }
    }
    const SharedConnection connection = exchange.connection;
    const absl::Duration left = exchange.deadline - Common::monotonicNow();
    if (exchange.cancelled || left <= absl::ZeroDuration()) {
        closeQuietly(*connection);
        ExchangeResult result;
        result.end = AttemptEnd::Abandoned;
        result.detail = "cancelled before it was sent";
        co_return result;
    }
    connection->stream.expires_after(toChrono(left));
    auto written = std::make_shared<bool>(false);
    if (exchange.request.body().size() > smallBody) {
        // The server may answer before it has read the body.
        auto request = std::make_shared<Adapter::HttpRequest>(exchange.request);
        boost::asio::co_spawn(this->context, writeRequest(connection, request, written),
                              boost::asio::detached);
        co_return co_await this->read(exchange, written);
    }
    const std::size_t sent
            = co_await http::async_write(connection->stream, exchange.request, awaitInto(error));
    if (error) {
        closeQuietly(*connection);
        // Nothing has left this VM: the request has provably not run.
        co_return failed(sent == 0 ? AttemptEnd::Unreachable : AttemptEnd::Broken, "send request",
                         error);
    }
    *written = true;
    co_return co_await this->read(exchange, written);
}

boost::asio::awaitable<ExchangeResult> BackendPool::run(std::shared_ptr<Exchange> exchange)
{
    ExchangeResult result = co_await this->attempt(*exchange);
    if (exchange->cancelled && result.end != AttemptEnd::Answered) {
        result.end = AttemptEnd::Abandoned;
    }
    co_return result;
}

boost::asio::awaitable<bool> BackendPool::reach(Steering::BackendServer server)
{
    Exchange exchange;
    exchange.server = std::move(server);
    IoError error;
    const SharedConnection connection = co_await this->connect(exchange, error);
    if (!connection) {
        co_return false;
    }
    this->keep(exchange.server.name, connection, defaultKeepAlive);
    co_return true;
}

void BackendPool::drop(const Common::BackendServerName &server)
{
    const auto found = this->idle.find(server);
    if (found == this->idle.end()) {
        return;
    }
    for (const SharedConnection &connection : found->second) {
        connection->idle = false;
        closeQuietly(*connection);
    }
    this->idle.erase(found);
}

void BackendPool::advance(Common::Instant now)
{
    for (auto &[server, connections] : this->idle) {
        std::erase_if(connections, [now](const SharedConnection &connection) {
            if (now - connection->idleSince <= connection->keepAlive * keepAlivePart) {
                return false;
            }
            connection->idle = false;
            closeQuietly(*connection);
            return true;
        });
    }
}

} // namespace Currantfall::Entry
