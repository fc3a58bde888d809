#include "RequestSteering.h"

#include <algorithm>
#include <utility>

#include <boost/asio/this_coro.hpp>

#include "currantfall/Steering/OverduePolicy.h"

#include "RequestSteeringState.h"

namespace Currantfall::Entry {

namespace {

using Adapter::Failure;
using Steering::AttemptEnd;

// Used if the request contains no deadline.
constexpr absl::Duration defaultDeadline = absl::Seconds(30);
// Attempts are cancelled with a delay after a timeout: a server that finishes shortly after it has
// the object in its cache when the caller retries.
constexpr absl::Duration cancelAfterTimeoutDelay = absl::Milliseconds(350);
// Attempts at unreachable servers do not count towards the route's maximum number of attempts, so
// they have a limit of their own.
constexpr std::size_t maxUnreachableAttempts = 3;
// A request is refused before the end of the process if this multiple of the mean time of a first
// request for an object would not be over by then.
constexpr double shutdownTimePerMean = 2.0;
constexpr absl::Duration noConfigurationRetryAfter = absl::Seconds(1);
// After the end of a pause of all servers, Retry-After is spread over this fraction of the
// remaining pause, and over at least minReturnSpread.
constexpr double returnSpreadFraction = 0.5;
constexpr absl::Duration minReturnSpread = absl::Milliseconds(500);
// Longest time until a return that callers are told. Other servers may join before a longer pause
// ends.
constexpr absl::Duration maxTimeUntilReturn = absl::Seconds(30);

bool provenNotRun(AttemptEnd end)
{
    return end == AttemptEnd::NotExecuted || end == AttemptEnd::Misdirected
           || end == AttemptEnd::Unreachable || end == AttemptEnd::Withheld;
}

/// Whether callers take this status as a guarantee that the request has not been executed.
bool promisesNotRun(unsigned status)
{
    return status == 408 || status == 421 || status == 429 || status == 503;
}

} // namespace

RequestSteering::RequestSteering(boost::asio::io_context &context, const EntrySettings &settings,
                                 Common::EventLog &log, Telemetry::MetricsRegistry &metrics)
    : context(context), settings(settings), log(log), metrics(metrics), fleetOutcomes(settings.vm),
      serverNotices(settings.serverDrainTime),
      serverSelector({ settings.vm, settings.zone, settings.region, settings.zones, settings.cold },
                     this->table, this->fleetOutcomes, this->serverNotices),
      quotaGate(settings), backendPool(context, metrics, settings.memoryBytes),
      random(std::random_device()())
{ }

void RequestSteering::setConfiguration(
        std::shared_ptr<const Steering::RoutingConfiguration> configuration)
{
    this->currentConfiguration = std::move(configuration);
    this->nameMetrics();
    if (this->currentConfiguration != nullptr) {
        this->quotaGate.setTenants(this->currentConfiguration->tenants(), Common::monotonicNow());
    }
}

Steering::RetryAllowance &RequestSteering::retryAllowance(const Common::ServiceName &service)
{
    return this->retryAllowances.try_emplace(service, this->settings.retries).first->second;
}

boost::asio::awaitable<std::optional<Adapter::HttpResponse>>
RequestSteering::handle(const Adapter::HttpRequest &request, SharedCaller caller)
{
    ActiveRequest activeRequest(request, std::move(caller), this->currentConfiguration);
    activeRequest.start = activeRequest.callerState->arrivedAt;
    this->activeCallers.insert(activeRequest.callerState);
    Adapter::HttpResponse response;
    try {
        response = co_await this->steer(activeRequest);
    } catch (...) {
        this->activeCallers.erase(activeRequest.callerState);
        throw;
    }
    this->activeCallers.erase(activeRequest.callerState);
    this->giveBackPermit(activeRequest, response.result_int());
    if (activeRequest.callerState->disconnected) {
        this->logRequest(activeRequest, 0);
        co_return std::nullopt;
    }
    this->logRequest(activeRequest, response.result_int());
    co_return response;
}

boost::asio::awaitable<Adapter::HttpResponse> RequestSteering::steer(ActiveRequest &activeRequest)
{
    if (activeRequest.configuration == nullptr) {
        co_return this->refuse(activeRequest, "no-configuration", noConfigurationRetryAfter);
    }
    activeRequest.route = matchRoute(*activeRequest.configuration, activeRequest.request);
    if (activeRequest.route == nullptr) {
        co_return this->fail(activeRequest, Failure::NoRoute, "no-route");
    }
    const Steering::Route &route = *activeRequest.route;
    auto scope = Steering::RequestScope::atArrival(*activeRequest.configuration, route,
                                                   targetOf(activeRequest));
    if (!scope) {
        co_return this->fail(activeRequest, Failure::Unauthorized, "unknown-key");
    }
    activeRequest.scope = std::move(*scope);
    activeRequest.service = this->splitChooser.choose(route, activeRequest.callerRequest.object);
    activeRequest.deadline
            = activeRequest.start + activeRequest.callerRequest.deadline.value_or(defaultDeadline);
    activeRequest.responseDeadline
            = std::min(activeRequest.deadline, activeRequest.start + route.timeout);
    this->retryAllowance(activeRequest.service).onRequest(activeRequest.start);
    if (auto refusal = co_await this->refuseBeyondShare(activeRequest)) {
        co_return std::move(*refusal);
    }
    const Steering::ServiceSettings *terms
            = activeRequest.configuration->service(activeRequest.service);

    while (true) {
        const Common::Instant now = Common::monotonicNow();
        if (this->timeIsUp(activeRequest, now)) {
            co_return activeRequest.mayHaveRun
                    ? this->fail(activeRequest, Failure::TimedOut, "timeout-before-retry")
                    : this->refuse(activeRequest, "timeout-before-start", absl::ZeroDuration());
        }
        if (!this->mayStillUse(activeRequest)) {
            co_return this->fail(activeRequest,
                                 activeRequest.mayHaveRun ? Failure::OutcomeUnknown
                                                          : Failure::Unauthorized,
                                 "key-withdrawn");
        }
        if (!activeRequest.mayHaveRun && this->mayOutliveProcess(activeRequest, now)) {
            co_return this->refuse(activeRequest, "shutting-down", absl::ZeroDuration());
        }
        const Steering::SelectionRequest selectionRequest
                = this->selectionRequestFor(activeRequest, now);
        const Steering::Selection selection
                = this->serverSelector.select(selectionRequest, terms, now);
        if (const auto *reject = std::get_if<Steering::Reject>(&selection)) {
            if (activeRequest.mayHaveRun) {
                co_return this->fail(activeRequest, Failure::OutcomeUnknown, "no-server-for-retry");
            }
            if (reject->reason == Steering::RejectReason::Pausing) {
                co_return this->refusePausing(activeRequest, reject->retryAfter);
            }
            co_return this->refuse(
                    activeRequest,
                    reject->reason == Steering::RejectReason::NoServer ? "no-server" : "overloaded",
                    reject->retryAfter);
        }
        if (const auto *wait = std::get_if<Steering::WaitUntil>(&selection)) {
            co_await sleepFor(activeRequest.callerState->wakeTimer,
                              std::min(wait->time, activeRequest.responseDeadline)
                                      - Common::monotonicNow());
            if (activeRequest.callerState->disconnected) {
                co_return this->refuse(activeRequest, "caller-gone", absl::ZeroDuration());
            }
            continue;
        }
        const auto &choice = std::get<Steering::SendTo>(selection);
        this->serverSelector.onSent(selectionRequest, choice, now);
        const SharedAttempt attempt = co_await this->awaitDecisiveAttempt(
                activeRequest, this->startAttempt(activeRequest, choice));
        if (activeRequest.callerState->disconnected) {
            co_return this->fail(activeRequest, Failure::OutcomeUnknown, "caller-gone");
        }
        if (!attempt) {
            co_return this->fail(activeRequest, Failure::TimedOut, "timeout");
        }
        activeRequest.mayHaveRun = activeRequest.mayHaveRun || !provenNotRun(attempt->result->end);
        if (!this->mayRetry(activeRequest, *attempt->result)) {
            co_return this->finalResponse(activeRequest, *attempt->result);
        }
        this->metrics.addToCounter("currantfall_retries_total",
                                   { { "service", activeRequest.service.value() } });
    }
}

bool RequestSteering::mayOutliveProcess(const ActiveRequest &activeRequest,
                                        Common::Instant now) const
{
    if (this->processEnd == Common::Instant::infinite()) {
        return false;
    }
    const absl::Duration firstRequestTime = this->serverSelector.meanServiceTime(
            activeRequest.service, *activeRequest.route, false);
    return now + firstRequestTime * shutdownTimePerMean > this->processEnd;
}

bool RequestSteering::timeIsUp(const ActiveRequest &activeRequest, Common::Instant now) const
{
    return this->ending || now >= activeRequest.responseDeadline;
}

void RequestSteering::endRequests()
{
    this->ending = true;
    for (const SharedCaller &caller : this->activeCallers) {
        caller->wakeTimer.cancel();
    }
}

boost::asio::awaitable<RequestSteering::SharedAttempt>
RequestSteering::awaitDecisiveAttempt(ActiveRequest &activeRequest, SharedAttempt first)
{
    const absl::Duration cacheMissServiceTime = this->serverSelector.meanServiceTime(
            activeRequest.service, *activeRequest.route, false);
    const absl::Duration hedgeAfter = activeRequest.route->idempotent
                                              ? Steering::OverduePolicy::hedgeAfter(
                                                      first->expectedDuration, cacheMissServiceTime,
                                                      activeRequest.responseDeadline - first->start)
                                              : absl::InfiniteDuration();
    Common::Instant until = std::min(activeRequest.responseDeadline, first->start + hedgeAfter);
    std::vector<SharedAttempt> open { std::move(first) };
    SharedAttempt decisiveAttempt;
    while (!decisiveAttempt) {
        co_await this->awaitAny(activeRequest, open, until);
        const auto ended = std::find_if(open.begin(), open.end(),
                                        [](const auto &attempt) { return attempt->result; });
        if (ended != open.end() && !activeRequest.callerState->disconnected) {
            if (open.size() == 1 || (*ended)->result->end == AttemptEnd::Answered) {
                decisiveAttempt = *ended;
            } else {
                // The other attempt may still succeed.
                activeRequest.mayHaveRun
                        = activeRequest.mayHaveRun || !provenNotRun((*ended)->result->end);
                addToHistory(activeRequest, **ended);
                open.erase(ended);
            }
            continue;
        }
        if (activeRequest.callerState->disconnected
            || this->timeIsUp(activeRequest, Common::monotonicNow())) {
            break;
        }
        until = activeRequest.responseDeadline;
        if (SharedAttempt hedge = this->startHedge(activeRequest)) {
            open.push_back(std::move(hedge));
        }
    }
    for (const SharedAttempt &attempt : open) {
        addToHistory(activeRequest, *attempt);
        if (!activeRequest.route->idempotent || attempt->result) {
            continue;
        }
        if (decisiveAttempt || activeRequest.callerState->disconnected) {
            attempt->exchange->cancel();
        } else {
            this->cancelLater(attempt);
        }
    }
    co_return decisiveAttempt;
}

Task RequestSteering::awaitAny(ActiveRequest &activeRequest,
                               const std::vector<SharedAttempt> &attempts, Common::Instant until)
{
    const auto ended = [&attempts] {
        return std::any_of(attempts.begin(), attempts.end(),
                           [](const auto &attempt) { return attempt->result; });
    };
    while (!ended() && !activeRequest.callerState->disconnected && !this->ending) {
        const absl::Duration remaining = until - Common::monotonicNow();
        if (remaining <= absl::ZeroDuration()) {
            break;
        }
        co_await sleepFor(activeRequest.callerState->wakeTimer, remaining);
    }
}

RequestSteering::SharedAttempt RequestSteering::startHedge(ActiveRequest &activeRequest)
{
    const Common::Instant now = Common::monotonicNow();
    if (activeRequest.attempts >= activeRequest.route->maxAttempts) {
        return nullptr;
    }
    const Steering::SelectionRequest selectionRequest
            = this->selectionRequestFor(activeRequest, now);
    const Steering::Selection selection = this->serverSelector.select(
            selectionRequest, activeRequest.configuration->service(activeRequest.service), now);
    const auto *choice = std::get_if<Steering::SendTo>(&selection);
    if (choice == nullptr
        || !this->retryAllowance(activeRequest.service)
                    .tryTake(now, this->serverSelector.vmCount())) {
        return nullptr;
    }
    this->serverSelector.onSent(selectionRequest, *choice, now);
    this->metrics.addToCounter("currantfall_hedges_total",
                               { { "service", activeRequest.service.value() } });
    SharedAttempt attempt = this->startAttempt(activeRequest, *choice);
    attempt->hedge = true;
    return attempt;
}

RequestSteering::SharedAttempt RequestSteering::startAttempt(ActiveRequest &activeRequest,
                                                             const Steering::SendTo &choice)
{
    const Common::Instant now = Common::monotonicNow();
    auto exchange = std::make_shared<Exchange>();
    exchange->server = choice.server->server();
    const bool hasTenants
            = activeRequest.scope.hasTenants || !this->currentConfiguration->tenants().empty();
    exchange->request = Adapter::backendRequest(activeRequest.request, activeRequest.deadline - now,
                                                exchange->server.name,
                                                hasTenants ? &activeRequest.scope.tenant : nullptr);
    exchange->requestId = activeRequest.callerRequest.id;
    exchange->idempotent = activeRequest.route->idempotent;
    exchange->deadline = activeRequest.deadline;
    exchange->memoryOwner = activeRequest.callerState->memoryOwner;
    this->withholdIfNotEligible(*exchange, activeRequest.callerState, activeRequest.scope);
    auto attempt = std::make_shared<Attempt>();
    attempt->exchange = std::move(exchange);
    attempt->caller = activeRequest.callerState;
    attempt->service = activeRequest.service;
    attempt->object = activeRequest.callerRequest.object;
    attempt->warm = choice.cacheHit;
    attempt->position = choice.position;
    attempt->region = this->regionOf(attempt->exchange->server.zone);
    attempt->start = now;
    attempt->configuration = this->currentConfiguration->version();
    attempt->expectedDuration = choice.expected;
    if (activeRequest.attempts == 0) {
        this->regionShares.record(attempt->region, now);
    }
    activeRequest.attemptedServers.insert(attempt->exchange->server.name);
    ++activeRequest.attempts;
    boost::asio::co_spawn(this->context, this->runAttempt(attempt), boost::asio::detached);
    return attempt;
}

Task RequestSteering::runAttempt(SharedAttempt attempt)
{
    ++this->attemptsInProgress;
    this->runningAttempts.insert(attempt);
    ExchangeResult result = co_await this->backendPool.run(attempt->exchange);
    this->runningAttempts.erase(attempt);
    --this->attemptsInProgress;
    this->countAttempt(*attempt, result.end);
    const Common::Instant now = Common::monotonicNow();
    const bool asksForPause = this->recordNotice(*attempt->exchange, result.parsed);
    if (!asksForPause) {
        this->recordOutcome(*attempt, result);
    }
    if (Steering::ServerRecord *server = this->table.find(attempt->exchange->server.name)) {
        const Steering::LoadReport *load = result.parsed.load ? &*result.parsed.load : nullptr;
        server->onEnd(now, result.end, load, asksForPause);
        if (result.end == AttemptEnd::Unreachable && !server->usable(now)) {
            this->interruptAttempts(attempt->exchange->server.name);
        }
    }
    if (result.end == AttemptEnd::Answered && result.parsed.success) {
        this->serverSelector.onAnswered(attempt->service, attempt->warm, now - attempt->start);
    }
    attempt->result = std::move(result);
    attempt->caller->wakeTimer.cancel();
}

void RequestSteering::cancelLater(SharedAttempt attempt)
{
    boost::asio::co_spawn(
            this->context,
            [](boost::asio::io_context &context, std::shared_ptr<Attempt> attempt) -> Task {
                boost::asio::steady_timer timer(context);
                co_await sleepFor(timer, cancelAfterTimeoutDelay);
                if (!attempt->result) {
                    attempt->exchange->cancel();
                }
            }(this->context, attempt),
            boost::asio::detached);
}

bool RequestSteering::mayRetry(ActiveRequest &activeRequest, const ExchangeResult &result)
{
    if (result.end == AttemptEnd::Answered || result.end == AttemptEnd::Abandoned) {
        return false;
    }
    if (!activeRequest.route->idempotent && !provenNotRun(result.end)) {
        return false;
    }
    // Nothing was sent, so the attempt counts neither towards the route's maximum number of
    // attempts nor towards the retry budget.
    if (result.end == AttemptEnd::Unreachable || result.end == AttemptEnd::Withheld) {
        --activeRequest.attempts;
        return ++activeRequest.unreachableAttempts < maxUnreachableAttempts;
    }
    // The request itself is invalid: other servers would reject it as well.
    if (result.end == AttemptEnd::NotExecuted && result.response
        && result.response->result_int() == 400) {
        return false;
    }
    const Common::Instant now = Common::monotonicNow();
    if (this->serverSelector.timeUntilReturn(this->selectionRequestFor(activeRequest, now), now)) {
        return false;
    }
    return activeRequest.attempts < activeRequest.route->maxAttempts
           && this->retryAllowance(activeRequest.service)
                      .tryTake(now, this->serverSelector.vmCount());
}

Adapter::HttpResponse RequestSteering::finalResponse(ActiveRequest &activeRequest,
                                                     ExchangeResult &result)
{
    const absl::Duration retryAfter = this->serverSelector.meanServiceTime(
            activeRequest.service, *activeRequest.route, true);
    if (activeRequest.mayHaveRun && provenNotRun(result.end)) {
        return this->fail(activeRequest, Failure::OutcomeUnknown, toString(result.end));
    }
    const Common::Instant now = Common::monotonicNow();
    const auto untilReturn = this->serverSelector.timeUntilReturn(
            this->selectionRequestFor(activeRequest, now), now);
    switch (result.end) {
    case AttemptEnd::Answered:
    case AttemptEnd::ServerError:
        // The server gave no guarantee that it has not executed the request, but callers would take
        // its status as one.
        if (!activeRequest.route->idempotent && promisesNotRun(result.response->result_int())) {
            return this->fail(activeRequest, Failure::OutcomeUnknown, "status-without-promise");
        }
        activeRequest.outcome = toString(result.end);
        if (result.parsed.notice.unavailable && !result.parsed.notice.retryAfter.empty()) {
            // The server means this VM. The caller may be served by another server before.
            return Adapter::callerResponse(std::move(*result.response),
                                           untilReturn ? this->retryAfterReturn(*untilReturn)
                                                       : retryAfter);
        }
        return Adapter::callerResponse(std::move(*result.response));
    case AttemptEnd::NotExecuted:
        if (result.response && result.response->result_int() == 400) {
            activeRequest.outcome = toString(result.end);
            return Adapter::callerResponse(std::move(*result.response));
        }
        return untilReturn ? this->refusePausing(activeRequest, *untilReturn)
                           : this->refuse(activeRequest, "server-full", retryAfter);
    case AttemptEnd::Misdirected:
    case AttemptEnd::Unreachable:
    case AttemptEnd::Withheld:
        return untilReturn ? this->refusePausing(activeRequest, *untilReturn)
                           : this->refuse(activeRequest, toString(result.end), retryAfter);
    case AttemptEnd::Broken:
    case AttemptEnd::Abandoned:
        break;
    }
    return this->fail(activeRequest, Failure::OutcomeUnknown, toString(result.end));
}

Adapter::HttpResponse RequestSteering::refuse(ActiveRequest &activeRequest,
                                              const std::string &reason, absl::Duration retryAfter)
{
    activeRequest.outcome = reason;
    // Random jitter, so that callers that are refused at the same time do not retry at the same
    // time.
    const double spread = std::uniform_real_distribution<double>(0.5, 1.5)(this->random);
    return Adapter::failureResponse(Failure::NotRun, activeRequest.callerRequest.id,
                                    retryAfter * spread, reason);
}

absl::Duration RequestSteering::retryAfterReturn(absl::Duration untilReturn)
{
    const absl::Duration known = std::min(untilReturn, maxTimeUntilReturn);
    // Not spread to both sides as in refuse(): callers that come before the return are refused
    // again.
    const double spread = std::uniform_real_distribution<double>(0.0, 1.0)(this->random);
    return known + std::max(known * returnSpreadFraction, minReturnSpread) * spread;
}

Adapter::HttpResponse RequestSteering::refusePausing(ActiveRequest &activeRequest,
                                                     absl::Duration untilReturn)
{
    activeRequest.outcome = "servers-pausing";
    return Adapter::failureResponse(Failure::NotRun, activeRequest.callerRequest.id,
                                    this->retryAfterReturn(untilReturn), activeRequest.outcome);
}

Adapter::HttpResponse RequestSteering::fail(ActiveRequest &activeRequest, Failure failure,
                                            const std::string &reason)
{
    activeRequest.outcome = reason;
    return Adapter::failureResponse(failure, activeRequest.callerRequest.id, absl::ZeroDuration(),
                                    reason);
}

} // namespace Currantfall::Entry
