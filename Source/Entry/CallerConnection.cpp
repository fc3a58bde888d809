#include "CallerConnection.h"

#include <algorithm>
#include <exception>
#include <limits>
#include <poll.h>
#include <utility>

#include <boost/beast/http.hpp>

namespace Currantfall::Entry {

namespace {

namespace http = boost::beast::http;
using Adapter::Failure;
using Steering::PipelineMode;

// A caller that does not receive its response within this time counts as disconnected.
constexpr absl::Duration writeTimeout = absl::Seconds(10);
// A body that is not received within this time is not expected to be completed.
constexpr absl::Duration bodyTimeout = absl::Seconds(20);
constexpr absl::Duration callerSilenceTimeout = absl::Seconds(5);
// Time that the caller has to receive the last response and to close the connection.
constexpr absl::Duration closeTimeout = absl::Seconds(2);
// Interval of checks whether a caller has closed its connection while nothing is read from it.
constexpr absl::Duration openCheckInterval = absl::Milliseconds(100);
constexpr absl::Duration busyCheckInterval = absl::Milliseconds(100);
constexpr std::size_t receiveBytes = 4096;

Failure failureOf(const IoError &error)
{
    if (error == http::error::header_limit) {
        return Failure::HeaderTooLarge;
    }
    if (error == http::error::body_limit) {
        return Failure::BodyTooLarge;
    }
    return error == boost::asio::error::timed_out ? Failure::HeaderTimeout : Failure::Malformed;
}

bool isProtocolError(const IoError &error)
{
    return error.category() == make_error_code(http::error::bad_method).category()
           && error != http::error::end_of_stream && error != http::error::partial_message;
}

/// Counts the reads of a socket. The library reads only if its buffer does not suffice.
struct CountingStream
{
    // The library determines these names.
    // NOLINTBEGIN(readability-identifier-naming)
    using executor_type = Tcp::socket::executor_type;
    executor_type get_executor() { return this->socket.get_executor(); }
    template<typename Buffers, typename Handler>
    auto async_read_some(const Buffers &buffers, Handler &&handler)
    {
        ++this->reads;
        return this->socket.async_read_some(buffers, std::forward<Handler>(handler));
    }
    // NOLINTEND(readability-identifier-naming)

    Tcp::socket &socket;
    int reads = 0;
};

/// Counts the bytes of a request body towards the total while the body is in memory.
class BodyReservation
{
public:
    BodyReservation(std::shared_ptr<CallerConnections> shared, std::size_t bytes)
        : shared(std::move(shared)), bytes(bytes)
    {
        this->shared->bodyBytes += bytes;
    }
    /// Raises the reservation if the body is larger than expected.
    void growTo(std::size_t size)
    {
        if (size > this->bytes) {
            this->shared->bodyBytes += size - this->bytes;
            this->bytes = size;
        }
    }
    ~BodyReservation() { this->shared->bodyBytes -= this->bytes; }
    BodyReservation(const BodyReservation &) = delete;
    BodyReservation &operator=(const BodyReservation &) = delete;

private:
    std::shared_ptr<CallerConnections> shared;
    std::size_t bytes;
};

/// Approximate memory of a request besides its body.
std::size_t headerBytes(const Adapter::HttpRequest &request)
{
    constexpr std::size_t perField = 64;
    std::size_t bytes = request.target().size();
    for (const auto &field : request) {
        bytes += field.name_string().size() + field.value().size() + perField;
    }
    return bytes;
}

} // namespace

struct CallerConnection::PendingRequest
{
    Adapter::HttpRequest request;
    SharedCaller caller;
    std::unique_ptr<BodyReservation> body;
    std::optional<Adapter::HttpResponse> response;
    ResponseMemory::SharedReservation responseMemory;
    /// The connection closes after the response.
    bool closing = false;
};

void CallerConnection::serve(std::shared_ptr<CallerConnections> shared, Tcp::socket socket)
{
    const std::shared_ptr<CallerConnection> connection(
            new CallerConnection(std::move(shared), std::move(socket)));
    boost::asio::co_spawn(connection->shared->context, readRequests(connection),
                          boost::asio::detached);
}

CallerConnection::CallerConnection(std::shared_ptr<CallerConnections> shared, Tcp::socket socket)
    : shared(std::move(shared)), socket(std::move(socket)), pipeline(Steering::PipelineLimits()),
      receivedAt(Common::monotonicNow()), pipelineTimer(this->shared->context),
      deadlineTimer(this->shared->context), idleSince(this->receivedAt)
{
    ++this->shared->open;
    enableDeadPeerDetection(this->socket, callerSilenceTimeout);
}

CallerConnection::~CallerConnection()
{
    --this->shared->open;
    this->shared->requestsInProgress -= this->requests.size();
}

Steering::CallerLimits CallerConnection::limits() const
{
    const auto &configuration = this->shared->steering.configuration();
    return configuration ? configuration->limits() : Steering::CallerLimits();
}

Task CallerConnection::readRequests(std::shared_ptr<CallerConnection> self)
{
    try {
        while (co_await self->readRequest()) {
        }
        // Bytes behind the last request are ignored.
        while (!self->disconnected) {
            self->buffer.clear();
            if (const IoError error = co_await self->receive();
                error && error != boost::asio::error::timed_out) {
                self->onDisconnected();
            }
        }
    } catch (const std::exception &error) {
        self->fail(error);
    }
}

void CallerConnection::fail(const std::exception &error)
{
    this->shared->log.important("caller_connection_failed", { { "error", error.what() } });
    this->closeSocket();
}

void CallerConnection::beginReceive()
{
    this->readTimedOut = false;
    this->scheduleDeadlines();
}

IoError CallerConnection::endReceive(const IoError &error)
{
    if (error) {
        return this->readTimedOut ? IoError(boost::asio::error::timed_out) : error;
    }
    this->receivedAt = Common::monotonicNow();
    return {};
}

boost::asio::awaitable<IoError> CallerConnection::receive()
{
    IoError error;
    this->beginReceive();
    const std::size_t received = co_await this->socket.async_read_some(
            this->buffer.prepare(receiveBytes), awaitInto(error));
    this->buffer.commit(error ? 0 : received);
    co_return this->endReceive(error);
}

boost::asio::awaitable<IoError> CallerConnection::parse(Parser &parser, bool headerOnly)
{
    // The library forgets a violation of the body limit if it parses the header and the first bytes
    // of the body in one step.
    parser.eager(!headerOnly);
    while (headerOnly ? !parser.is_header_done() : !parser.is_done()) {
        IoError error;
        CountingStream stream { this->socket };
        this->beginReceive();
        co_await http::async_read_some(stream, this->buffer, parser, awaitInto(error));
        // Bytes that were in the buffer already arrived before.
        if (error || stream.reads > 0) {
            error = this->endReceive(error);
        }
        if (error) {
            co_return error;
        }
    }
    co_return IoError();
}

boost::asio::awaitable<bool> CallerConnection::waitForPipeline(bool roomSuffices)
{
    const auto ready = [this, roomSuffices] {
        return roomSuffices ? this->pipeline.mayRead() : this->pipeline.empty();
    };
    while (!ready() && !this->disconnected && !this->finished) {
        co_await sleepFor(this->pipelineTimer, openCheckInterval);
        if (!ready() && !this->isOpen()) {
            this->onDisconnected();
        }
    }
    co_return !this->disconnected && !this->finished;
}

boost::asio::awaitable<bool> CallerConnection::readRequest()
{
    if (!co_await this->waitForPipeline(true)) {
        co_return false;
    }
    const Steering::CallerLimits limits = this->limits();
    if (this->buffer.size() == 0) {
        this->awaitingRequest = true;
        const IoError error = co_await this->receive();
        this->awaitingRequest = false;
        if (error) {
            this->onDisconnected();
            co_return false;
        }
    }
    Parser parser;
    parser.header_limit(static_cast<std::uint32_t>(
            std::min<std::size_t>(limits.headerBytes, std::numeric_limits<std::uint32_t>::max())));
    parser.body_limit(limits.bodyBytes);
    this->readDeadline = Common::monotonicNow() + limits.headerTimeout;
    IoError error = co_await this->parse(parser, true);
    this->readDeadline = Common::Instant::infinite();
    const bool expectsContinue
            = !error && boost::beast::iequals(parser.get()[http::field::expect], "100-continue");
    if (expectsContinue) {
        // An interim response must follow the responses to the earlier requests.
        if (!co_await this->waitForPipeline(false)) {
            co_return false;
        }
        Adapter::HttpResponse proceed(http::status::continue_, 11);
        co_await http::async_write(this->socket, proceed, awaitInto(error));
    }
    const std::size_t expected
            = error ? 0 : static_cast<std::size_t>(parser.content_length().value_or(0));
    const bool fitsInMemory = this->shared->bodyBytes + expected <= this->shared->maxBodyBytes;
    auto body = std::make_unique<BodyReservation>(this->shared, fitsInMemory ? expected : 0);
    if (!error && fitsInMemory) {
        this->readDeadline = Common::monotonicNow() + bodyTimeout;
        error = co_await this->parse(parser, false);
        this->readDeadline = Common::Instant::infinite();
    }
    const std::string requestId = Adapter::readCaller(parser.get()).id;
    if (error) {
        if (!isProtocolError(error) && error != boost::asio::error::timed_out) {
            this->onDisconnected();
        } else {
            this->reject(failureOf(error), requestId, error.message());
        }
        co_return false;
    }
    if (!fitsInMemory || this->shared->rejectingNewRequests) {
        this->reject(Failure::NotRun, requestId, fitsInMemory ? "shutting-down" : "out-of-memory");
        co_return false;
    }
    const bool hasBody = parser.chunked() || parser.content_length().value_or(0) > 0;
    auto request = std::make_shared<PendingRequest>();
    request->request = parser.release();
    // The size of a chunked body is unknown until it has been read.
    body->growTo(request->request.body().size());
    request->body = std::move(body);
    request->closing = !request->request.keep_alive();
    request->caller = std::make_shared<CallerState>(this->shared->context, this->receivedAt);
    request->caller->isOpen = [weak = this->weak_from_this()] {
        const auto connection = weak.lock();
        return connection && connection->isOpen();
    };
    const bool repeatable = this->shared->steering.mayRepeat(request->request);
    this->add(request, repeatable && !hasBody ? PipelineMode::Parallel : PipelineMode::Alone);
    co_return !request->closing;
}

void CallerConnection::reject(Failure failure, const std::string &requestId,
                              const std::string &reason)
{
    auto request = std::make_shared<PendingRequest>();
    request->closing = true;
    request->response = Adapter::failureResponse(failure, requestId, absl::ZeroDuration(), reason);
    this->add(request, PipelineMode::Parallel);
}

void CallerConnection::add(const SharedRequest &request, PipelineMode mode)
{
    const std::size_t bytes = headerBytes(request->request) + request->request.body().size();
    const Number number = this->pipeline.add(mode, bytes, request->closing);
    this->requests.emplace(number, request);
    ++this->shared->requestsInProgress;
    if (request->response) {
        this->pipeline.finish(number, request->response->body().size());
    }
    this->advance();
}

void CallerConnection::advance()
{
    if (this->finished) {
        return;
    }
    if (this->shared->keepAliveDisabled) {
        this->pipeline.disableKeepAlive();
    }
    const std::vector<Number> started
            = this->disconnected ? std::vector<Number>() : this->pipeline.start();
    for (const Number number : started) {
        boost::asio::co_spawn(this->shared->context,
                              handle(this->shared_from_this(), number, this->requests.at(number)),
                              boost::asio::detached);
    }
    if (!this->writing && this->pipeline.nextResponse()) {
        this->writing = true;
        boost::asio::co_spawn(this->shared->context, writeResponses(this->shared_from_this()),
                              boost::asio::detached);
    }
}

Task CallerConnection::handle(std::shared_ptr<CallerConnection> self, Number number,
                              SharedRequest request)
{
    RequestSteering &steering = self->shared->steering;
    std::optional<Adapter::HttpResponse> response;
    try {
        response = co_await steering.handle(request->request, request->caller);
    } catch (const std::exception &error) {
        self->shared->log.important("request_failed", { { "error", error.what() } });
        response = Adapter::failureResponse(Failure::OutcomeUnknown,
                                            Adapter::readCaller(request->request).id,
                                            absl::ZeroDuration(), "internal-error");
    }
    // Attempts may outlive the request.
    request->caller->responded = true;
    request->caller->isOpen = nullptr;
    request->body.reset();
    if (response) {
        const std::size_t bytes = response->body().size();
        request->responseMemory = steering.pool().responseMemory().reserveComplete(bytes);
        request->response = std::move(response);
        self->pipeline.finish(number, bytes);
    }
    self->advance();
    self->closeIfAbandoned();
}

Task CallerConnection::writeResponses(std::shared_ptr<CallerConnection> self)
{
    try {
        while (!self->finished && self->pipeline.nextResponse()) {
            co_await self->writeFirstResponse();
        }
    } catch (const std::exception &error) {
        self->fail(error);
    }
    self->writing = false;
    self->pipelineTimer.cancel();
    self->scheduleDeadlines();
    self->advance();
    self->closeIfAbandoned();
}

Task CallerConnection::writeFirstResponse()
{
    const Number number = this->pipeline.nextResponse().value();
    if (this->shared->keepAliveDisabled) {
        this->pipeline.disableKeepAlive();
    }
    const SharedRequest request = this->requests.at(number);
    const bool keepAlive = !this->pipeline.closesAfterFirst();
    const IoError error = co_await this->write(*request, keepAlive);
    this->pipeline.removeFirst();
    this->requests.erase(number);
    --this->shared->requestsInProgress;
    this->idleSince = Common::monotonicNow();
    if (error) {
        this->closeSocket();
    } else if (!keepAlive) {
        this->finish();
    }
}

boost::asio::awaitable<IoError> CallerConnection::write(PendingRequest &request, bool keepAlive)
{
    Adapter::HttpResponse &response = *request.response;
    response.keep_alive(keepAlive);
    const bool mayHaveBody = response.result_int() != 204 && response.result_int() != 304;
    if (mayHaveBody) {
        response.content_length(response.body().size());
    }
    IoError error;
    this->writeDeadline = Common::monotonicNow() + writeTimeout;
    this->scheduleDeadlines();
    if (request.request.method() == http::verb::head) {
        http::response_serializer<http::string_body> serializer(response);
        co_await http::async_write_header(this->socket, serializer, awaitInto(error));
    } else {
        co_await http::async_write(this->socket, response, awaitInto(error));
    }
    this->writeDeadline = Common::Instant::infinite();
    co_return error;
}

void CallerConnection::onDisconnected()
{
    if (this->disconnected) {
        return;
    }
    this->disconnected = true;
    for (const Number number : this->pipeline.dropUnstarted()) {
        this->requests.erase(number);
        --this->shared->requestsInProgress;
    }
    for (const auto &[number, request] : this->requests) {
        if (!request->response) {
            request->caller->onDisconnected();
        }
    }
    this->closeIfAbandoned();
}

void CallerConnection::closeIfAbandoned()
{
    if (this->disconnected && !this->writing
        && (this->finished || !this->pipeline.nextResponse())) {
        this->closeSocket();
    }
}

void CallerConnection::finish()
{
    if (this->finished) {
        return;
    }
    this->finished = true;
    for (const Number number : this->pipeline.dropUnstarted()) {
        this->requests.erase(number);
        --this->shared->requestsInProgress;
    }
    IoError ignored;
    this->socket.shutdown(Tcp::socket::shutdown_send, ignored);
    if (this->disconnected) {
        this->closeSocket();
        return;
    }
    this->closeDeadline = Common::monotonicNow() + closeTimeout;
    this->scheduleDeadlines();
}

void CallerConnection::closeSocket()
{
    this->finished = true;
    this->deadlineTimer.cancel();
    this->pipelineTimer.cancel();
    IoError ignored;
    this->socket.close(ignored);
    // Without a reader nobody would tell them.
    this->onDisconnected();
}

bool CallerConnection::isOpen()
{
    if (this->disconnected || !this->socket.is_open()) {
        return false;
    }
    const int descriptor = this->socket.native_handle();
    pollfd state { descriptor, POLLRDHUP, 0 };
    if (::poll(&state, 1, 0) > 0 && (state.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0) {
        return false;
    }
    char byte = 0;
    const auto peeked = ::recv(descriptor, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return peeked > 0 || (peeked < 0 && (errno == EAGAIN || errno == EWOULDBLOCK));
}

Common::Instant CallerConnection::idleDeadline() const
{
    return this->awaitingRequest && this->pipeline.empty()
                   ? this->idleSince + this->limits().idleTimeout
                   : Common::Instant::infinite();
}

void CallerConnection::scheduleDeadlines()
{
    const Common::Instant due = std::min(
            { this->readDeadline, this->writeDeadline, this->closeDeadline, this->idleDeadline() },
            [](Common::Instant left, Common::Instant right) { return left < right; });
    // A timer that is due earlier schedules the rest.
    if (due >= this->deadlineTimerDue || !this->socket.is_open()) {
        return;
    }
    this->deadlineTimerDue = due;
    this->deadlineTimer.expires_after(toChrono(due - Common::monotonicNow()));
    this->deadlineTimer.async_wait([weak = this->weak_from_this()](const IoError &error) {
        const auto connection = weak.lock();
        if (connection && !error) {
            connection->checkDeadlines();
        }
    });
}

void CallerConnection::checkDeadlines()
{
    const Common::Instant now = Common::monotonicNow();
    this->deadlineTimerDue = Common::Instant::infinite();
    if (now >= this->writeDeadline || now >= this->closeDeadline || now >= this->idleDeadline()) {
        this->closeSocket();
        return;
    }
    if (now >= this->readDeadline) {
        if (this->writing) {
            // Cancelling would end the write as well.
            this->readDeadline = now + busyCheckInterval;
        } else {
            this->readDeadline = Common::Instant::infinite();
            this->readTimedOut = true;
            IoError ignored;
            this->socket.cancel(ignored);
        }
    }
    this->scheduleDeadlines();
}

} // namespace Currantfall::Entry
