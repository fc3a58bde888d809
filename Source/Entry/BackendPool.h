#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "currantfall/Common/Time.h"
#include "currantfall/Steering/ServerTable.h"
#include "currantfall/Telemetry/MetricsRegistry.h"

#include "Asio.h"
#include "platform/HttpMessages.h"

namespace Currantfall::Entry {

/// A connection to a backend server. Carries one request at a time.
struct BackendConnection
{
    explicit BackendConnection(boost::asio::io_context &context) : stream(context) { }

    boost::beast::tcp_stream stream;
    boost::beast::flat_buffer buffer;
    /// How long the server keeps the connection open without a request.
    absl::Duration keepAliveTimeout = absl::ZeroDuration();
    Common::Instant idleSince;
    bool reused = false;
    bool idle = false;
};
using SharedConnection = std::shared_ptr<BackendConnection>;

/// A request to one backend server and the connection that it uses.
struct Exchange
{
    Adapter::HttpRequest request;
    Steering::BackendServer server;
    std::string requestId;
    /// Idempotent requests may use connections that have been idle for longer, as they can be
    /// repeated if the server has closed the connection.
    bool idempotent = false;
    Common::Instant deadline;

    SharedConnection connection;
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
    std::string detail;
};

/// Pool of connections to backend servers. Runs on the entry thread.
class BackendPool
{
public:
    BackendPool(boost::asio::io_context &context, Telemetry::MetricsRegistry &metrics);

    /// Sends the request and reads the whole response.
    boost::asio::awaitable<ExchangeResult> run(std::shared_ptr<Exchange> exchange);

    /// Whether a new connection to the server can be established. The connection is added to the
    /// pool.
    boost::asio::awaitable<bool> canConnect(Steering::BackendServer server);

    /// Closes the idle connections to a server that was removed.
    void closeIdle(const Common::BackendServerName &server);
    /// Closes connections that have been idle for too long.
    void advance(Common::Instant now);

private:
    SharedConnection takeIdle(const Exchange &exchange);
    boost::asio::awaitable<SharedConnection> connect(Exchange &exchange, IoError &error);
    void addIdle(const Common::BackendServerName &server, const SharedConnection &connection,
                 absl::Duration keepAliveTimeout);
    boost::asio::awaitable<ExchangeResult> readResponse(Exchange &exchange,
                                                        std::shared_ptr<bool> written);
    boost::asio::awaitable<ExchangeResult> sendAndReceive(Exchange &exchange);

    boost::asio::io_context &context;
    Telemetry::MetricsRegistry &metrics;
    std::map<Common::BackendServerName, std::vector<SharedConnection>> idleConnections;
};

} // namespace Currantfall::Entry
