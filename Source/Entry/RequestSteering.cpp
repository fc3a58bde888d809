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
constexpr absl::Duration noConfigurationRetryAfter = absl::Seconds(1);

bool provenNotRun(AttemptEnd end)
{
    return end == AttemptEnd::NotExecuted || end == AttemptEnd::Misdirected
           || end == AttemptEnd::Unreachable;
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
      serverSelector({ settings.vm, settings.zone, settings.region, settings.zones, settings.cold },
                     this->table, this->fleetOutcomes),
      backendPool(context, metrics), random(std::random_device()())
{ }

void RequestSteering::setConfiguration(
        std::shared_ptr<const Steering::RoutingConfiguration> configuration)
{
    this->currentConfiguration = std::move(configuration);
}

Steering::RetryAllowance &RequestSteering::retryAllowance(const Common::ServiceName &service)
{
    return this->retryAllowances.try_emplace(service, this->settings.retries).first->second;
}

boost::asio::awaitable<std::optional<Adapter::HttpResponse>>
RequestSteering::handle(const Adapter::HttpRequest &request, SharedCaller caller)
{
    ActiveRequest active(request, std::move(caller), this->currentConfiguration);
    active.start = Common::monotonicNow();
    ++this->inProgress;
    Adapter::HttpResponse response = co_await this->steer(active);
    --this->inProgress;
    if (active.callerState->disconnected) {
        this->logRequest(active, 0);
        co_return std::nullopt;
    }
    this->logRequest(active, response.result_int());
    co_return response;
}

boost::asio::awaitable<Adapter::HttpResponse> RequestSteering::steer(ActiveRequest &active)
{
    if (active.configuration == nullptr) {
        co_return this->refuse(active, "no-configuration", noConfigurationRetryAfter);
    }
    const std::string target(active.request.target().data(), active.request.target().size());
    const auto host = active.request["Host"];
    active.route = active.configuration->match({ host.data(), host.size() }, target);
    if (active.route == nullptr) {
        co_return this->fail(active, Failure::NoRoute, "no-route");
    }
    const Steering::Route &route = *active.route;
    active.service = this->splitChooser.choose(route, active.callerRequest.object);
    active.deadline = active.start + active.callerRequest.deadline.value_or(defaultDeadline);
    active.responseDeadline = std::min(active.deadline, active.start + route.timeout);
    this->retryAllowance(active.service).onRequest(active.start);
    const Steering::ServiceSettings *terms = active.configuration->service(active.service);

    while (true) {
        const Common::Instant now = Common::monotonicNow();
        if (now >= active.responseDeadline) {
            co_return active.mayHaveRun
                    ? this->fail(active, Failure::TimedOut, "timeout-before-retry")
                    : this->refuse(active, "timeout-before-start", absl::ZeroDuration());
        }
        const Steering::SelectionRequest selectionRequest = this->selectionRequestFor(active, now);
        const Steering::Selection selection
                = this->serverSelector.select(selectionRequest, terms, now);
        if (const auto *reject = std::get_if<Steering::Reject>(&selection)) {
            if (active.mayHaveRun) {
                co_return this->fail(active, Failure::OutcomeUnknown, "no-server-for-retry");
            }
            co_return this->refuse(
                    active,
                    reject->reason == Steering::RejectReason::NoServer ? "no-server" : "overloaded",
                    reject->retryAfter);
        }
        if (const auto *wait = std::get_if<Steering::WaitUntil>(&selection)) {
            co_await sleepFor(active.callerState->wakeTimer,
                              std::min(wait->time, active.responseDeadline)
                                      - Common::monotonicNow());
            if (active.callerState->disconnected) {
                co_return this->refuse(active, "caller-gone", absl::ZeroDuration());
            }
            continue;
        }
        const auto &choice = std::get<Steering::SendTo>(selection);
        this->serverSelector.onSent(selectionRequest, choice, now);
        const SharedAttempt attempt
                = co_await this->awaitDecisiveAttempt(active, this->startAttempt(active, choice));
        if (active.callerState->disconnected) {
            co_return this->fail(active, Failure::OutcomeUnknown, "caller-gone");
        }
        if (!attempt) {
            co_return this->fail(active, Failure::TimedOut, "timeout");
        }
        active.mayHaveRun = active.mayHaveRun || !provenNotRun(attempt->result->end);
        if (!this->mayRetry(active, *attempt->result)) {
            co_return this->finalResponse(active, *attempt->result);
        }
        this->metrics.addToCounter("currantfall_retries_total",
                                   { { "service", active.service.value() } });
    }
}

Steering::SelectionRequest RequestSteering::selectionRequestFor(const ActiveRequest &active,
                                                                Common::Instant now) const
{
    return { active.route,
             active.service,
             active.callerRequest.object,
             active.callerRequest.id,
             active.responseDeadline - now,
             now - active.start,
             active.attemptedServers };
}

boost::asio::awaitable<RequestSteering::SharedAttempt>
RequestSteering::awaitDecisiveAttempt(ActiveRequest &active, SharedAttempt first)
{
    const absl::Duration cacheMissServiceTime
            = this->serverSelector.meanServiceTime(active.service, *active.route, false);
    const absl::Duration hedgeAfter = active.route->idempotent
                                              ? Steering::OverduePolicy::hedgeAfter(
                                                      first->expectedDuration, cacheMissServiceTime,
                                                      active.responseDeadline - first->start)
                                              : absl::InfiniteDuration();
    Common::Instant until = std::min(active.responseDeadline, first->start + hedgeAfter);
    std::vector<SharedAttempt> open { std::move(first) };
    SharedAttempt decisiveAttempt;
    while (!decisiveAttempt) {
        co_await this->awaitAny(active, open, until);
        const auto ended = std::find_if(open.begin(), open.end(),
                                        [](const auto &attempt) { return attempt->result; });
        if (ended != open.end() && !active.callerState->disconnected) {
            if (open.size() == 1 || (*ended)->result->end == AttemptEnd::Answered) {
                decisiveAttempt = *ended;
            } else {
                // The other attempt may still succeed.
                active.mayHaveRun = active.mayHaveRun || !provenNotRun((*ended)->result->end);
                addToHistory(active, **ended);
                open.erase(ended);
            }
            continue;
        }
        if (active.callerState->disconnected || Common::monotonicNow() >= active.responseDeadline) {
            break;
        }
        until = active.responseDeadline;
        if (SharedAttempt hedge = this->startHedge(active)) {
            open.push_back(std::move(hedge));
        }
    }
    for (const SharedAttempt &attempt : open) {
        addToHistory(active, *attempt);
        if (!active.route->idempotent || attempt->result) {
            continue;
        }
        if (decisiveAttempt || active.callerState->disconnected) {
            attempt->exchange->cancel();
        } else {
            this->cancelLater(attempt);
        }
    }
    co_return decisiveAttempt;
}

Task RequestSteering::awaitAny(ActiveRequest &active, const std::vector<SharedAttempt> &attempts,
                               Common::Instant until)
{
    const auto ended = [&attempts] {
        return std::any_of(attempts.begin(), attempts.end(),
                           [](const auto &attempt) { return attempt->result; });
    };
    while (!ended() && !active.callerState->disconnected) {
        const absl::Duration remaining = until - Common::monotonicNow();
        if (remaining <= absl::ZeroDuration()) {
            break;
        }
        co_await sleepFor(active.callerState->wakeTimer, remaining);
    }
}

RequestSteering::SharedAttempt RequestSteering::startHedge(ActiveRequest &active)
{
    const Common::Instant now = Common::monotonicNow();
    if (active.attempts >= active.route->maxAttempts) {
        return nullptr;
    }
    const Steering::SelectionRequest selectionRequest = this->selectionRequestFor(active, now);
    const Steering::Selection selection = this->serverSelector.select(
            selectionRequest, active.configuration->service(active.service), now);
    const auto *choice = std::get_if<Steering::SendTo>(&selection);
    if (choice == nullptr
        || !this->retryAllowance(active.service).tryTake(now, this->serverSelector.vmCount())) {
        return nullptr;
    }
    this->serverSelector.onSent(selectionRequest, *choice, now);
    this->metrics.addToCounter("currantfall_hedges_total",
                               { { "service", active.service.value() } });
    SharedAttempt attempt = this->startAttempt(active, *choice);
    attempt->hedge = true;
    return attempt;
}

void RequestSteering::addToHistory(ActiveRequest &active, const Attempt &attempt)
{
    nlohmann::ordered_json entry {
        { "server", attempt.exchange->server.name.value() },
        { "position", attempt.position },
        { "warm", attempt.warm },
        { "ms", absl::ToInt64Milliseconds(Common::monotonicNow() - attempt.start) },
        { "end", attempt.result ? toString(attempt.result->end) : "unfinished" }
    };
    if (attempt.hedge) {
        entry["hedge"] = true;
    }
    if (attempt.result && !attempt.result->detail.empty()) {
        entry["detail"] = attempt.result->detail;
    }
    active.history.push_back(std::move(entry));
}

RequestSteering::SharedAttempt RequestSteering::startAttempt(ActiveRequest &active,
                                                             const Steering::SendTo &choice)
{
    const Common::Instant now = Common::monotonicNow();
    auto exchange = std::make_shared<Exchange>();
    exchange->server = choice.server->server();
    exchange->request
            = Adapter::backendRequest(active.request, active.deadline - now, exchange->server.name);
    exchange->requestId = active.callerRequest.id;
    exchange->idempotent = active.route->idempotent;
    exchange->deadline = active.deadline;
    auto attempt = std::make_shared<Attempt>();
    attempt->exchange = std::move(exchange);
    attempt->caller = active.callerState;
    attempt->service = active.service;
    attempt->object = active.callerRequest.object;
    attempt->warm = choice.cacheHit;
    attempt->position = choice.position;
    attempt->start = now;
    attempt->expectedDuration = choice.expected;
    active.attemptedServers.insert(attempt->exchange->server.name);
    ++active.attempts;
    boost::asio::co_spawn(this->context, this->runAttempt(attempt), boost::asio::detached);
    return attempt;
}

Task RequestSteering::runAttempt(SharedAttempt attempt)
{
    ++this->inProgress;
    this->runningAttempts.insert(attempt);
    ExchangeResult result = co_await this->backendPool.run(attempt->exchange);
    this->runningAttempts.erase(attempt);
    --this->inProgress;
    const Common::Instant now = Common::monotonicNow();
    this->recordOutcome(*attempt, result);
    if (Steering::ServerRecord *server = this->table.find(attempt->exchange->server.name)) {
        const Steering::LoadReport *load = result.parsed.load ? &*result.parsed.load : nullptr;
        server->onEnd(now, result.end, load);
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

bool RequestSteering::mayRetry(ActiveRequest &active, const ExchangeResult &result)
{
    if (result.end == AttemptEnd::Answered || result.end == AttemptEnd::Abandoned) {
        return false;
    }
    if (!active.route->idempotent && !provenNotRun(result.end)) {
        return false;
    }
    // Nothing was sent, so the attempt counts neither towards the route's maximum number of
    // attempts nor towards the retry budget.
    if (result.end == AttemptEnd::Unreachable) {
        --active.attempts;
        return ++active.unreachableAttempts < maxUnreachableAttempts;
    }
    // The request itself is invalid: other servers would reject it as well.
    if (result.end == AttemptEnd::NotExecuted && result.response
        && result.response->result_int() == 400) {
        return false;
    }
    return active.attempts < active.route->maxAttempts
           && this->retryAllowance(active.service)
                      .tryTake(Common::monotonicNow(), this->serverSelector.vmCount());
}

Adapter::HttpResponse RequestSteering::finalResponse(ActiveRequest &active, ExchangeResult &result)
{
    const absl::Duration retryAfter
            = this->serverSelector.meanServiceTime(active.service, *active.route, true);
    if (active.mayHaveRun && provenNotRun(result.end)) {
        return this->fail(active, Failure::OutcomeUnknown, toString(result.end));
    }
    switch (result.end) {
    case AttemptEnd::Answered:
    case AttemptEnd::ServerError:
        // The server gave no guarantee that it has not executed the request, but callers would take
        // its status as one.
        if (!active.route->idempotent && promisesNotRun(result.response->result_int())) {
            return this->fail(active, Failure::OutcomeUnknown, "status-without-promise");
        }
        active.outcome = toString(result.end);
        return Adapter::callerResponse(std::move(*result.response));
    case AttemptEnd::NotExecuted:
        if (result.response && result.response->result_int() == 400) {
            active.outcome = toString(result.end);
            return Adapter::callerResponse(std::move(*result.response));
        }
        return this->refuse(active, "server-full", retryAfter);
    case AttemptEnd::Misdirected:
    case AttemptEnd::Unreachable:
        return this->refuse(active, toString(result.end), retryAfter);
    case AttemptEnd::Broken:
    case AttemptEnd::Abandoned:
        break;
    }
    return this->fail(active, Failure::OutcomeUnknown, toString(result.end));
}

Adapter::HttpResponse RequestSteering::refuse(ActiveRequest &active, const std::string &reason,
                                              absl::Duration retryAfter)
{
    active.outcome = reason;
    // Random jitter, so that callers that are refused at the same time do not retry at the same
    // time.
    const double spread = std::uniform_real_distribution<double>(0.5, 1.5)(this->random);
    return Adapter::failureResponse(Failure::NotRun, active.callerRequest.id, retryAfter * spread,
                                    reason);
}

Adapter::HttpResponse RequestSteering::fail(ActiveRequest &active, Failure failure,
                                            const std::string &reason)
{
    active.outcome = reason;
    return Adapter::failureResponse(failure, active.callerRequest.id, absl::ZeroDuration(), reason);
}

void RequestSteering::logRequest(const ActiveRequest &active, unsigned status)
{
    const Common::Instant now = Common::monotonicNow();
    Telemetry::RequestLabels labels;
    labels.service = active.service;
    labels.tenant = Common::TenantName("all");
    labels.rank = Common::RankName(active.route == nullptr ? "none"
                                                           : std::to_string(active.route->rank));
    labels.outcome = status == 503   ? Common::Outcome::NotRun
                     : status >= 500 ? Common::Outcome::OutcomeUnknown
                                     : Common::Outcome::Answered;
    this->metrics.recordLatency(labels, now - active.start);
    this->metrics.addToCounter(
            "currantfall_requests_total",
            { { "outcome", active.outcome }, { "status", std::to_string(status) } });
    if (!this->log.admits()) {
        return;
    }
    nlohmann::ordered_json fields;
    fields["request"] = active.callerRequest.id;
    fields["outcome"] = active.outcome;
    fields["status"] = status;
    fields["ms"] = absl::ToInt64Milliseconds(now - active.start);
    fields["route"] = active.route == nullptr ? "" : active.route->name;
    fields["service"] = active.service.value();
    fields["object"] = active.callerRequest.object;
    if (active.callerRequest.deadline) {
        fields["deadline_ms"] = absl::ToInt64Milliseconds(*active.callerRequest.deadline);
    }
    fields["configuration"] = active.configuration == nullptr ? 0 : active.configuration->version();
    fields["servers_age_ms"] = absl::ToInt64Milliseconds(now - this->serversConfirmed);
    fields["attempts"] = active.history;
    this->log.write("request", std::move(fields));
}

} // namespace Currantfall::Entry
