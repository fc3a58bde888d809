#pragma once

#include <cstdint>
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

/// One connection to a backend server; one request at a time.
struct BackendConnection
{
    explicit BackendConnection(boost::asio::io_context &context) : stream(context) { }

    boost::beast::tcp_stream stream;
    boost::beast::flat_buffer buffer;
    /// How long the server keeps it open without a request.
    absl::Duration keepAlive = absl::ZeroDuration();
    Common::Instant idleSince;
    bool reused = false;
    bool idle = false;
};
using SharedConnection = std::shared_ptr<BackendConnection>;

/// A request on its way to one backend server.
struct Exchange
{
    Adapter::HttpRequest request;
    Steering::BackendServer server;
    std::string requestId;
    /// Only such requests may be sent on a connection that has been idle for long.
    bool idempotent = false;
    Common::Instant deadline;

    SharedConnection connection;
    bool cancelled = false;

    /// Closes the connection, so that the server stops its work.
    void cancel();
    /// Ends the exchange as broken: its server can't be reached any more.
    void interrupt();
};

struct ExchangeResult
{
    Steering::AttemptEnd end = Steering::AttemptEnd::Unreachable;
    std::optional<Adapter::HttpResponse> response;
    Adapter::BackendResponse meaning;
    std::string detail;
};

/// Connections to backend servers, kept for reuse. Runs on the entry thread.
class BackendPool
{
public:
    BackendPool(boost::asio::io_context &context, Telemetry::MetricsRegistry &metrics);

    /// Sends the request and reads the whole response.
    boost::asio::awaitable<ExchangeResult> run(std::shared_ptr<Exchange> exchange);

    /// Whether a connection to the server can be made; it is kept for the next request.
    boost::asio::awaitable<bool> reach(Steering::BackendServer server);

    /// Closes idle connections to a server that is gone.
    void drop(const Common::BackendServerName &server);
    /// Closes connections that have been idle for too long.
    void advance(Common::Instant now);

private:
    SharedConnection takeIdle(const Exchange &exchange);
    boost::asio::awaitable<SharedConnection> connect(Exchange &exchange, IoError &error);
    void keep(const Common::BackendServerName &server, const SharedConnection &connection,
              absl::Duration keepAlive);
    boost::asio::awaitable<ExchangeResult> read(Exchange &exchange, std::shared_ptr<bool> written);
    boost::asio::awaitable<ExchangeResult> attempt(Exchange &exchange);

    boost::asio::io_context &context;
    Telemetry::MetricsRegistry &metrics;
    std::map<Common::BackendServerName, std::vector<SharedConnection>> idle;
};

} // namespace Currantfall::Entry
