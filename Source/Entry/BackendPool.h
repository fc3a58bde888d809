#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <absl/time/clock.h>
#include <absl/time/time.h>
#include <boost/beast/http/parser.hpp>

#include "currantfall/Common/Time.h"
#include "currantfall/Steering/ServerTable.h"
#include "currantfall/Telemetry/MetricsRegistry.h"

#include "Asio.h"
#include "ResponseMemory.h"
#include "platform/HttpMessages.h"

namespace Currantfall::Entry {

/// A connection to a backend server. Carries one request at a time.
struct BackendConnection
{
    explicit BackendConnection(boost::asio::io_context &context) : stream(context) { }

    /// Bounds the bytes of a response that can't be parsed yet, such as a chunk's header.
    static constexpr std::size_t maxUnparsedBytes = std::size_t { 128 } * 1024;

    boost::beast::tcp_stream stream;
    boost::beast::flat_buffer buffer { maxUnparsedBytes };
    /// Hashes of the ids of all requests that were sent on this connection. A response can be
    /// attributed to a request only if no earlier one had the same id.
    std::vector<std::size_t> sentIds;
    /// A request without an id was sent on this connection.
    bool sentWithoutId = false;
    /// How long the server keeps the connection open without a request.
    absl::Duration keepAliveTimeout = absl::ZeroDuration();
    Common::Instant idleSince;
    bool reused = false;
    bool idle = false;
    /// The server may pause in reading a long body.
    bool longSendTimeout = false;
};
using SharedConnection = std::shared_ptr<BackendConnection>;

/// A request to one backend server and the connection that it uses.
struct Exchange
{
    Adapter::HttpRequest request;
    Steering::BackendServer server;
    /// Empty if the caller sent none, and in health checks.
    std::string requestId;
    /// A request of this VM that no caller waits for.
    bool healthCheck = false;
    /// Idempotent requests may use connections that have been idle for longer, as they can be
    /// repeated if the server has closed the connection.
    bool idempotent = false;
    Common::Instant deadline;
    /// The caller, whose memory the response counts for. May be unset.
    Admission::SharedOwner memoryOwner;
    /// Wall-clock time before the request is sent.
    absl::Time startedAt = absl::Now();

    SharedConnection connection;
    /// The request could not be written completely.
    bool writeFailed = false;
    bool cancelled = false;
    /// Whether the server may still get the request once the connection is established. Always if
    /// not set.
    std::function<bool()> mayBeSent;

    /// Marks the exchange as cancelled and closes the connection, so that the server stops
    /// executing the request.
    void cancel();
    /// Closes the connection because the server has become unreachable. The exchange ends as
    /// broken.
    void interrupt();
};

struct ExchangeResult
{
    Steering::AttemptEnd end = Steering::AttemptEnd::Unreachable;
    std::optional<Adapter::HttpResponse> response;
    Adapter::BackendResponse parsed;
    /// Memory of the response's body.
    ResponseMemory::SharedReservation memory;
    std::string detail;
};

/// Pool of connections to backend servers. Runs on the entry thread.
class BackendPool
{
public:
    /// `processBytes` is the memory that the process may use.
    BackendPool(boost::asio::io_context &context, Telemetry::MetricsRegistry &metrics,
                std::size_t processBytes);

    /// Sends the request and reads the whole response.
    boost::asio::awaitable<ExchangeResult> run(std::shared_ptr<Exchange> exchange);

    /// Whether a new connection to the server can be established. The connection is added to the
    /// pool.
    boost::asio::awaitable<bool> canConnect(Steering::BackendServer server);

    /// Closes the idle connections to a server that was removed.
    void closeIdle(const Common::BackendServerName &server);
    /// Closes connections that have been idle for too long.
    void advance(Common::Instant now);

    ResponseMemory &responseMemory() { return this->memory; }
    /// What callers and backend servers may make the process hold.
    const Admission::MemoryBudget &memoryBudget() const { return this->budget; }

private:
    SharedConnection takeIdle(const Exchange &exchange);
    boost::asio::awaitable<SharedConnection> connect(Exchange &exchange, IoError &error);
    void addIdle(const Common::BackendServerName &server, const SharedConnection &connection,
                 absl::Duration keepAliveTimeout);
    boost::asio::awaitable<ExchangeResult> readResponse(Exchange &exchange,
                                                        std::shared_ptr<bool> written);
    using ResponseParser = boost::beast::http::response_parser<boost::beast::http::string_body>;
    /// Reads one response. Returns why the response can't be used, or nothing if it is complete.
    boost::asio::awaitable<std::optional<std::string>>
    readOne(const Exchange &exchange, ResponseParser &parser, ResponseMemory::Reservation &body);
    boost::asio::awaitable<ExchangeResult> sendAndReceive(std::shared_ptr<Exchange> exchange);

    boost::asio::io_context &context;
    Telemetry::MetricsRegistry &metrics;
    Admission::MemoryBudget budget;
    ResponseMemory memory;
    std::map<Common::BackendServerName, std::vector<SharedConnection>> idleConnections;
};

} // namespace Currantfall::Entry
