#pragma once

#include <cstddef>
#include <exception>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include <boost/beast/http/parser.hpp>

#include "currantfall/Admission/MemoryBudget.h"
#include "currantfall/Common/EventLog.h"
#include "currantfall/Steering/RequestPipeline.h"

#include "Asio.h"
#include "RequestSteering.h"

namespace Currantfall::Entry {

class CallerConnection;

/// What the connections of callers share. Connections may outlive the listener at the end of the
/// daemon.
struct CallerConnections
{
    boost::asio::io_context &context;
    RequestSteering &steering;
    Common::EventLog &log;
    Admission::MemoryBudget memory;
    std::size_t maxConnections = 0; ///< Limit for the open connections.
    /// Limit for the requests in progress: each may need a connection to a backend server.
    std::size_t maxRequests = 0;
    std::size_t open = 0;
    /// Open connections on which no request is handled. The first one has moved no bytes for the
    /// longest time.
    std::list<CallerConnection *> closable {};
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
    /// Closes the connection because its memory or its descriptor is needed for others.
    void closeForOthers(const std::string &reason);
    ~CallerConnection();
    CallerConnection(const CallerConnection &) = delete;
    CallerConnection &operator=(const CallerConnection &) = delete;

private:
    struct PendingRequest;
    /// Why a request is not handled. Not set if the caller has left.
    struct Rejection
    {
        std::optional<Adapter::Failure> failure;
        std::string reason;
        absl::Duration retryAfter = absl::ZeroDuration();
    };
    using SharedRequest = std::shared_ptr<PendingRequest>;
    using Number = Steering::RequestPipeline::Number;
    using Parser = boost::beast::http::request_parser<Adapter::SharedBody>;

    CallerConnection(std::shared_ptr<CallerConnections> shared, Tcp::socket socket);

    // Reading.

    /// Reads requests until the last one, then waits until the caller closes the connection.
    static Task readRequests(std::shared_ptr<CallerConnection> self);
    /// Reads one request and adds it to the pipeline. Returns false if no other request follows.
    boost::asio::awaitable<bool> readRequest();
    /// Waits until the first bytes of a request are in the buffer. Returns false if the caller has
    /// closed the connection before.
    boost::asio::awaitable<bool> awaitFirstBytes();
    /// Reads the header, and the body unless it can't be held. Returns why there is no request, or
    /// nothing.
    boost::asio::awaitable<std::optional<Rejection>> receiveRequest(Parser &parser);
    /// Reads until the parser has the header, or the whole request.
    boost::asio::awaitable<IoError> parse(Parser &parser, bool headerOnly);
    /// Counts what has been received of the request towards the memory budget. Returns false if it
    /// can't be held.
    bool countReceived(const Parser &parser);
    /// Others need the memory of the request that is being received.
    void onReceivedRevoked();
    /// Hands the memory of the received request over to `request`, which is complete. Returns false
    /// if it can't be held.
    bool keepReceived(PendingRequest &request);
    /// Receives bytes of the caller into the buffer.
    boost::asio::awaitable<IoError> receive();
    /// Before and after a read: its deadline, and the time of arrival.
    void beginReceive();
    IoError endReceive(const IoError &error);
    /// Waits until all requests in progress are answered, or, if `roomSuffices`, until another
    /// request may be read. Returns false if the caller has closed the connection before.
    boost::asio::awaitable<bool> waitForPipeline(bool roomSuffices);
    /// Adds a response for a request that is not handled. No other request follows.
    void reject(const Rejection &rejection, const std::string &requestId);
    Steering::CallerLimits limits() const;

    // Handling.

    void add(const SharedRequest &request, Steering::PipelineMode mode);
    /// Starts requests and writes responses as far as the pipeline allows.
    void advance();
    static Task handle(std::shared_ptr<CallerConnection> self, Number number,
                       SharedRequest request);

    // Writing.

    /// Counts a complete response towards the memory budget until it is written.
    void holdResponse(PendingRequest &request);
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
    /// The caller has sent or taken bytes, or a request is handled or not handled any more.
    void noteActivity();
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
    /// What this connection makes the process hold.
    Admission::SharedOwner memoryOwner = std::make_shared<Admission::MemoryOwner>();
    /// Memory of the connection itself.
    Admission::MemoryBudget::SharedHolding ownMemory;
    /// Memory of the request that is being received.
    Admission::MemoryBudget::SharedHolding received;
    /// Memory of its header, as of when so many bytes had been received since its start.
    std::size_t receivedHeader = 0;
    std::size_t receivedBytes = 0;
    std::size_t headerCountedAt = 0;
    /// Number of requests that are being handled.
    std::size_t handled = 0;
    /// Place in CallerConnections::closable, if it is there.
    std::optional<std::list<CallerConnection *>::iterator> closablePlace;
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
    bool receivedRevoked = false;
    bool counted = true;
    bool writing = false;
    bool disconnected = false;
    bool finished = false;
};

} // namespace Currantfall::Entry
