#pragma once

#include <cstddef>
#include <exception>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include "currantfall/Common/EventLog.h"
#include "currantfall/Steering/RequestPipeline.h"

#include "Asio.h"
#include "RequestSteering.h"

namespace Currantfall::Entry {

/// What the connections of callers share. Connections may outlive the listener at the end of the
/// daemon.
struct CallerConnections
{
    boost::asio::io_context &context;
    RequestSteering &steering;
    Common::EventLog &log;
    std::size_t maxBodyBytes = 0;   ///< Limit for the bodies of all requests in progress.
    std::size_t maxConnections = 0; ///< Limit for the open connections.
    std::size_t bodyBytes = 0;
    std::size_t open = 0;
    /// Number of requests that were read and whose response has not been written yet.
    std::size_t requestsInProgress = 0;
    /// Each connection closes once its requests in progress are answered.
    bool keepAliveDisabled = false;
    bool rejectingNewRequests = false;
};

/// A connection of a caller. Reads requests ahead, handles them as RequestPipeline allows and
/// writes the responses in the order of the requests. Lives until the connection is closed and its
/// last request has ended. Runs on the entry thread.
class CallerConnection : public std::enable_shared_from_this<CallerConnection>
{
public:
    static void serve(std::shared_ptr<CallerConnections> shared, Tcp::socket socket);
    ~CallerConnection();
    CallerConnection(const CallerConnection &) = delete;
    CallerConnection &operator=(const CallerConnection &) = delete;

private:
    struct PendingRequest;
    using SharedRequest = std::shared_ptr<PendingRequest>;
    using Number = Steering::RequestPipeline::Number;
    using Parser = boost::beast::http::request_parser<boost::beast::http::string_body>;

    CallerConnection(std::shared_ptr<CallerConnections> shared, Tcp::socket socket);

    // Reading.

    /// Reads requests until the last one, then waits until the caller closes the connection.
    static Task readRequests(std::shared_ptr<CallerConnection> self);
    /// Reads one request and adds it to the pipeline. Returns false if no other request follows.
    boost::asio::awaitable<bool> readRequest();
    /// Reads until the parser has the header, or the whole request.
    boost::asio::awaitable<IoError> parse(Parser &parser, bool headerOnly);
    /// Receives bytes of the caller into the buffer.
    boost::asio::awaitable<IoError> receive();
    /// Before and after a read: its deadline, and the time of arrival.
    void beginReceive();
    IoError endReceive(const IoError &error);
    /// Waits until all requests in progress are answered, or, if `roomSuffices`, until another
    /// request may be read. Returns false if the caller has closed the connection before.
    boost::asio::awaitable<bool> waitForPipeline(bool roomSuffices);
    /// Adds a response for a request that is not handled. No other request follows.
    void reject(Adapter::Failure failure, const std::string &requestId, const std::string &reason);
    Steering::CallerLimits limits() const;

    // Handling.

    void add(const SharedRequest &request, Steering::PipelineMode mode);
    /// Starts requests and writes responses as far as the pipeline allows.
    void advance();
    static Task handle(std::shared_ptr<CallerConnection> self, Number number,
                       SharedRequest request);

    // Writing.

    static Task writeResponses(std::shared_ptr<CallerConnection> self);
    Task writeFirstResponse();
    boost::asio::awaitable<IoError> write(PendingRequest &request, bool keepAlive);

    // Closing.

    /// The caller has closed the connection: no request is started any more, and those in progress
    /// are cancelled if possible. Responses that are complete are still written.
    void onDisconnected();
    void closeIfAbandoned();
    /// Sends the end of the stream, and closes the socket when the caller does or after a delay. If
    /// bytes of the caller were left unread, closing would discard a response on its way.
    void finish();
    void closeSocket();
    /// Closes the connection after an unexpected error.
    void fail(const std::exception &error);
    /// Whether the caller has not closed its connection, although unread bytes may be in front of
    /// the close.
    bool isOpen();

    /// Makes checkDeadlines() run at the earliest deadline.
    void scheduleDeadlines();
    void checkDeadlines();
    Common::Instant idleDeadline() const;

    std::shared_ptr<CallerConnections> shared;
    Tcp::socket socket;
    boost::beast::flat_buffer buffer;
    Steering::RequestPipeline pipeline;
    std::map<Number, SharedRequest> requests;
    /// When the last bytes of the caller were received.
    Common::Instant receivedAt;
    /// Wakes waitForPipeline().
    boost::asio::steady_timer pipelineTimer;
    boost::asio::steady_timer deadlineTimer;
    Common::Instant deadlineTimerDue = Common::Instant::infinite();
    Common::Instant readDeadline = Common::Instant::infinite();
    Common::Instant writeDeadline = Common::Instant::infinite();
    Common::Instant closeDeadline = Common::Instant::infinite();
    Common::Instant idleSince;
    /// The next request has not begun to arrive.
    bool awaitingRequest = false;
    bool readTimedOut = false;
    bool writing = false;
    bool disconnected = false;
    bool finished = false;
};

} // namespace Currantfall::Entry
