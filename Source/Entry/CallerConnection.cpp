#include "CallerConnection.h"

#include <algorithm>
#include <exception>
#include <poll.h>
#include <utility>

#include <boost/beast/http.hpp>

#include "CallerConnectionState.h"
#include "ObservedStream.h"
#include "RequestMemory.h"

namespace Currantfall::Entry {

namespace {

namespace http = boost::beast::http;
using Adapter::Failure;
using Steering::PipelineMode;

// A caller that does not receive its response within this time counts as disconnected.
constexpr absl::Duration writeTimeout = absl::Seconds(10);
constexpr absl::Duration callerSilenceTimeout = absl::Seconds(5);
// Time that the caller has to receive the last response and to close the connection.
constexpr absl::Duration closeTimeout = absl::Seconds(2);
constexpr absl::Duration busyCheckInterval = absl::Milliseconds(100);
// Memory of a connection and of its coroutine besides what it has received.
constexpr std::size_t connectionMemory = std::size_t { 4 } * 1024;
// Memory of a response besides its body.
constexpr std::size_t responseHeaderMemory = 1024;

} // namespace

void CallerConnection::serve(std::shared_ptr<CallerConnections> shared, Tcp::socket socket)
{
    const std::shared_ptr<CallerConnection> connection(
            new CallerConnection(std::move(shared), std::move(socket)));
    boost::asio::co_spawn(connection->shared->context, readRequests(connection),
                          boost::asio::detached);
}

CallerConnection::CallerConnection(std::shared_ptr<CallerConnections> shared, Tcp::socket socket)
    : shared(std::move(shared)), socket(std::move(socket)), pipeline(Steering::PipelineLimits()),
      receivedAt(Common::monotonicNow()),
      ownMemory(this->shared->memory.openInUse(connectionMemory, this->receivedAt,
                                               this->memoryOwner)),
      pipelineTimer(this->shared->context), deadlineTimer(this->shared->context),
      idleSince(this->receivedAt)
{
    ++this->shared->open;
    this->noteActivity();
    enableDeadPeerDetection(this->socket, callerSilenceTimeout);
}

CallerConnection::~CallerConnection()
{
    this->closeSocket();
    this->shared->requestsInProgress -= this->requests.size();
}

void CallerConnection::fail(const std::exception &error)
{
    this->shared->log.important("caller_connection_failed", { { "error", error.what() } });
    this->closeSocket();
}

void CallerConnection::add(const SharedRequest &request, PipelineMode mode)
{
    const std::size_t bytes = headerMemory(request->request) + request->request.body().size();
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
    ++self->handled;
    self->noteActivity();
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
    request->request.body() = {};
    --self->handled;
    self->noteActivity();
    if (response) {
        const std::size_t bytes = response->body().size();
        request->response = std::move(response);
        self->pipeline.finish(number, bytes);
        self->holdResponse(*request);
    }
    self->advance();
    self->closeIfAbandoned();
}

void CallerConnection::holdResponse(PendingRequest &request)
{
    const Common::Instant now = Common::monotonicNow();
    request.responseMemory = this->shared->memory.open(
            [weak = this->weak_from_this()] {
                if (const auto connection = weak.lock()) {
                    connection->closeForOthers("response-memory");
                }
            },
            now, this->memoryOwner);
    request.responseMemory->setRevocation(Admission::Revocation::WhenStalled);
    (void)request.responseMemory->resize(request.response->body().size() + responseHeaderMemory,
                                         now);
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
    std::size_t left = response.body().size();
    ObservedStream stream { this->socket };
    stream.onWrite = [this, &request, &left](std::size_t bytes) {
        if (bytes < left && request.responseMemory) {
            request.responseMemory->noteProgress(left - bytes, Common::monotonicNow());
        }
        left = bytes;
        this->noteActivity();
    };
    if (request.request.method() == http::verb::head) {
        http::response_serializer<http::string_body> serializer(response);
        co_await http::async_write_header(stream, serializer, awaitInto(error));
    } else {
        co_await http::async_write(stream, response, awaitInto(error));
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

void CallerConnection::noteActivity()
{
    std::list<CallerConnection *> &closable = this->shared->closable;
    const bool mayBeClosed = this->handled == 0 && this->socket.is_open();
    if (this->closablePlace && mayBeClosed) {
        closable.splice(closable.end(), closable, *this->closablePlace);
    } else if (this->closablePlace) {
        closable.erase(*this->closablePlace);
        this->closablePlace.reset();
    } else if (mayBeClosed) {
        this->closablePlace = closable.insert(closable.end(), this);
    }
}

void CallerConnection::closeForOthers(const std::string &reason)
{
    this->shared->steering.metricsRegistry().addToCounter(
            "currantfall_caller_connections_closed_total", { { "reason", reason } });
    this->closeSocket();
}

void CallerConnection::closeSocket()
{
    if (std::exchange(this->counted, false)) {
        --this->shared->open;
    }
    this->finished = true;
    this->deadlineTimer.cancel();
    this->pipelineTimer.cancel();
    IoError ignored;
    this->socket.close(ignored);
    this->noteActivity();
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
