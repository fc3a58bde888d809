#include <algorithm>
#include <limits>
#include <utility>

#include <boost/beast/http.hpp>

#include "CallerConnectionState.h"
#include "ObservedStream.h"
#include "RequestMemory.h"

// The part of CallerConnection that reads requests.

namespace Currantfall::Entry {

namespace {

namespace http = boost::beast::http;
using Adapter::Failure;
using Steering::PipelineMode;

// A body that is not received within this time is not expected to be completed.
constexpr absl::Duration bodyTimeout = absl::Seconds(20);
// Interval of checks whether a caller has closed its connection while nothing is read from it.
constexpr absl::Duration openCheckInterval = absl::Milliseconds(100);
constexpr std::size_t receiveBytes = 4096;
// The memory of a header is determined again after so many received bytes, because that takes time
// for each of its fields.
constexpr std::size_t headerCountInterval = 1024;
// The message, its copy for the server and its log line have the header's fields.
constexpr std::size_t headerCopies = 3;
// Time after which stalled requests have been given up for others, or have ended.
constexpr absl::Duration memoryRetryAfter = absl::Seconds(1);

const IoError memoryExhausted = boost::asio::error::no_memory;

std::optional<Failure> failureOf(const IoError &error)
{
    // The buffer is limited, so that chunk headers and trailers are.
    if (error == http::error::header_limit || error == http::error::buffer_overflow) {
        return Failure::HeaderTooLarge;
    }
    if (error == http::error::body_limit) {
        return Failure::BodyTooLarge;
    }
    if (error == boost::asio::error::timed_out) {
        return Failure::HeaderTimeout;
    }
    if (error == memoryExhausted) {
        return Failure::NotRun;
    }
    const bool protocolError
            = error.category() == make_error_code(http::error::bad_method).category()
              && error != http::error::end_of_stream && error != http::error::partial_message;
    return protocolError ? std::optional(Failure::Malformed) : std::nullopt;
}

} // namespace

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
        self->received.reset();
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

void CallerConnection::beginReceive()
{
    this->readTimedOut = false;
    this->scheduleDeadlines();
}

IoError CallerConnection::endReceive(const IoError &error)
{
    if (this->receivedRevoked) {
        return memoryExhausted;
    }
    if (error) {
        return this->readTimedOut ? IoError(boost::asio::error::timed_out) : error;
    }
    this->receivedAt = Common::monotonicNow();
    this->noteActivity();
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
        ObservedStream stream { this->socket };
        this->beginReceive();
        const std::size_t parsed
                = co_await http::async_read_some(stream, this->buffer, parser, awaitInto(error));
        this->receivedBytes += parsed;
        // Bytes that were in the buffer already arrived before.
        if (error || stream.reads > 0) {
            error = this->endReceive(error);
        }
        if (!error && !this->countReceived(parser)) {
            error = memoryExhausted;
        }
        if (error) {
            co_return error;
        }
    }
    co_return IoError();
}

bool CallerConnection::countReceived(const Parser &parser)
{
    if (this->receivedBytes - this->headerCountedAt >= headerCountInterval
        && this->receivedHeader < this->limits().headerBytes * headerCopies) {
        this->headerCountedAt = this->receivedBytes;
        this->receivedHeader = headerMemory(parser.get());
    }
    return this->received->resize(this->receivedHeader + this->buffer.capacity()
                                          + parser.get().body().capacity(),
                                  this->receivedAt);
}

void CallerConnection::onReceivedRevoked()
{
    if (this->writing) {
        // Cancelling would end the write as well.
        this->closeForOthers("request-memory");
        return;
    }
    this->receivedRevoked = true;
    IoError ignored;
    this->socket.cancel(ignored);
}

bool CallerConnection::keepReceived(PendingRequest &request)
{
    const Common::Instant now = Common::monotonicNow();
    if (!this->received->resize(request.request.body().capacity(), now)) {
        return false;
    }
    request.headerMemory = this->shared->memory.open([] {}, now, this->memoryOwner);
    if (!request.headerMemory->resize(headerMemory(request.request) * headerCopies, now)
        || this->received->revoked()) {
        return false;
    }
    request.headerMemory->setRevocation(Admission::Revocation::Never);
    if (!request.request.body().empty()) {
        this->received->setRevocation(Admission::Revocation::Never);
        request.request.body().attach(this->received);
    }
    this->received.reset();
    return true;
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

boost::asio::awaitable<bool> CallerConnection::awaitFirstBytes()
{
    const auto skipEmptyLines = [this] {
        const auto *bytes = static_cast<const char *>(this->buffer.data().data());
        std::size_t skipped = 0;
        while (skipped < this->buffer.size()
               && (bytes[skipped] == '\r' || bytes[skipped] == '\n')) {
            ++skipped;
        }
        this->buffer.consume(skipped);
    };
    skipEmptyLines();
    if (this->buffer.size() == 0 && this->buffer.capacity() > receiveBytes) {
        // What a long header has taken is not counted while the connection waits.
        this->buffer.shrink_to_fit();
    }
    while (this->buffer.size() == 0) {
        this->awaitingRequest = true;
        const IoError error = co_await this->receive();
        this->awaitingRequest = false;
        if (error) {
            this->onDisconnected();
            co_return false;
        }
        skipEmptyLines();
    }
    co_return true;
}

boost::asio::awaitable<std::optional<CallerConnection::Rejection>>
CallerConnection::receiveRequest(Parser &parser)
{
    const Steering::CallerLimits limits = this->limits();
    parser.header_limit(static_cast<std::uint32_t>(
            std::min<std::size_t>(limits.headerBytes, std::numeric_limits<std::uint32_t>::max())));
    parser.body_limit(limits.bodyBytes);
    this->buffer.max_size(std::max(limits.headerBytes, this->buffer.size()) + receiveBytes);
    this->readDeadline = Common::monotonicNow() + limits.headerTimeout;
    IoError error = co_await this->parse(parser, true);
    this->readDeadline = Common::Instant::infinite();
    if (!error && boost::beast::iequals(parser.get()[http::field::expect], "100-continue")) {
        // An interim response must follow the responses to the earlier requests.
        const bool open = co_await this->waitForPipeline(false);
        if (!open) {
            std::optional<Rejection> callerLeft = Rejection();
            co_return callerLeft;
        }
        Adapter::HttpResponse proceed(http::status::continue_, 11);
        co_await http::async_write(this->socket, proceed, awaitInto(error));
    }
    if (!error
        && !this->shared->memory.couldHold(
                static_cast<std::size_t>(parser.content_length().value_or(0)))) {
        error = memoryExhausted;
    }
    if (!error) {
        this->readDeadline = Common::monotonicNow() + bodyTimeout;
        error = co_await this->parse(parser, false);
        this->readDeadline = Common::Instant::infinite();
    }
    std::optional<Rejection> rejection;
    if (error == memoryExhausted) {
        rejection = Rejection { Failure::NotRun, "out-of-memory", memoryRetryAfter };
    } else if (error) {
        rejection = Rejection { failureOf(error), error.message() };
    } else if (this->shared->rejectingNewRequests) {
        rejection = Rejection { Failure::NotRun, "shutting-down" };
    } else if (this->shared->requestsInProgress >= this->shared->maxRequests) {
        rejection = Rejection { Failure::NotRun, "too-many-requests", memoryRetryAfter };
    }
    co_return rejection;
}

boost::asio::awaitable<bool> CallerConnection::readRequest()
{
    const bool open = co_await this->waitForPipeline(true);
    if (!open) {
        co_return false;
    }
    const bool received = co_await this->awaitFirstBytes();
    if (!received) {
        co_return false;
    }
    this->received = this->shared->memory.open(
            [weak = this->weak_from_this()] {
                if (const auto connection = weak.lock()) {
                    connection->onReceivedRevoked();
                }
            },
            this->receivedAt, this->memoryOwner);
    this->receivedRevoked = false;
    this->receivedBytes = 0;
    this->headerCountedAt = 0;
    this->receivedHeader = 0;
    Parser parser;
    const std::optional<Rejection> rejection = co_await this->receiveRequest(parser);
    if (rejection) {
        if (rejection->failure) {
            this->reject(*rejection, Adapter::readCaller(parser.get()).id);
        } else {
            this->onDisconnected();
        }
        co_return false;
    }
    const bool hasBody = parser.chunked() || parser.content_length().value_or(0) > 0;
    auto request = std::make_shared<PendingRequest>();
    request->request = parser.release();
    if (!this->keepReceived(*request)) {
        this->reject({ Failure::NotRun, "out-of-memory", memoryRetryAfter },
                     Adapter::readCaller(request->request).id);
        co_return false;
    }
    request->closing = !request->request.keep_alive();
    request->caller = std::make_shared<CallerState>(this->shared->context, this->receivedAt,
                                                    this->memoryOwner);
    request->caller->isOpen = [weak = this->weak_from_this()] {
        const auto connection = weak.lock();
        return connection && connection->isOpen();
    };
    const bool repeatable = this->shared->steering.mayRepeat(request->request);
    this->add(request, repeatable && !hasBody ? PipelineMode::Parallel : PipelineMode::Alone);
    co_return !request->closing;
}

void CallerConnection::reject(const Rejection &rejection, const std::string &requestId)
{
    if (rejection.reason == "out-of-memory" || rejection.reason == "too-many-requests") {
        this->shared->steering.metricsRegistry().addToCounter(
                "currantfall_caller_requests_rejected_total", { { "reason", rejection.reason } });
    }
    auto request = std::make_shared<PendingRequest>();
    request->closing = true;
    request->response = Adapter::failureResponse(*rejection.failure, requestId,
                                                 rejection.retryAfter, rejection.reason);
    this->add(request, PipelineMode::Parallel);
}

} // namespace Currantfall::Entry
