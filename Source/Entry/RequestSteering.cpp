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

// For callers that do not say how long they wait.
constexpr absl::Duration defaultDeadline = absl::Seconds(30);
// A server that finishes soon after the caller got a timeout has the object in its cache for the
// caller's next attempt.
constexpr absl::Duration cancelDelay = absl::Milliseconds(350);
// Attempts at servers that can't be reached do not count as attempts; this bounds them.
constexpr std::size_t unreachableAttempts = 3;
constexpr absl::Duration noConfigurationRetryAfter = absl::Seconds(1);

bool provenNotRun(AttemptEnd end)
{
    return end == AttemptEnd::NotExecuted || end == AttemptEnd::Misdirected
           || end == AttemptEnd::Unreachable;
}

/// Statuses that promise a caller that its request has not run.
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
    this->current = std::move(configuration);
}

Steering::RetryAllowance &RequestSteering::allowance(const Common::ServiceName &service)
{
    return this->allowances.try_emplace(service, this->settings.retries).first->second;
}

boost::asio::awaitable<std::optional<Adapter::HttpResponse>>
RequestSteering::handle(const Adapter::HttpRequest &request, SharedCaller caller)
{
    Work work(request, std::move(caller), this->current);
    work.start = Common::monotonicNow();
    ++this->inProgress;
    Adapter::HttpResponse response = co_await this->steer(work);
    --this->inProgress;
    if (work.state->gone) {
        this->logEnd(work, 0);
        co_return std::nullopt;
    }
    this->logEnd(work, response.result_int());
    co_return response;
}

boost::asio::awaitable<Adapter::HttpResponse> RequestSteering::steer(Work &work)
{
    if (work.configuration == nullptr) {
        co_return this->refuse(work, "no-configuration", noConfigurationRetryAfter);
    }
    const std::string target(work.request.target().data(), work.request.target().size());
    const auto host = work.request["Host"];
    work.route = work.configuration->match({ host.data(), host.size() }, target);
    if (work.route == nullptr) {
        co_return this->fail(work, Failure::NoRoute, "no-route");
    }
    const Steering::Route &route = *work.route;
    work.service = this->splits.choose(route, work.caller.object);
    work.deadline = work.start + work.caller.deadline.value_or(defaultDeadline);
    work.limit = std::min(work.deadline, work.start + route.timeout);
    this->allowance(work.service).onRequest(work.start);
    const Steering::ServiceSettings *terms = work.configuration->service(work.service);

    while (true) {
        const Common::Instant now = Common::monotonicNow();
        if (now >= work.limit) {
            co_return work.mayHaveRun
                    ? this->fail(work, Failure::TimedOut, "timeout-before-retry")
                    : this->refuse(work, "timeout-before-start", absl::ZeroDuration());
        }
        const Steering::SelectionRequest question = this->questionOf(work, now);
        const Steering::Selection selection = this->serverSelector.select(question, terms, now);
        if (const auto *reject = std::get_if<Steering::Reject>(&selection)) {
            if (work.mayHaveRun) {
                co_return this->fail(work, Failure::OutcomeUnknown, "no-server-for-retry");
            }
            co_return this->refuse(
                    work,
                    reject->reason == Steering::RejectReason::NoServer ? "no-server" : "overloaded",
                    reject->retryAfter);
        }
        if (const auto *wait = std::get_if<Steering::WaitUntil>(&selection)) {
            co_await sleepFor(work.state->wake,
                              std::min(wait->time, work.limit) - Common::monotonicNow());
            if (work.state->gone) {
                co_return this->refuse(work, "caller-gone", absl::ZeroDuration());
            }
            continue;
        }
        const auto &choice = std::get<Steering::SendTo>(selection);
        this->serverSelector.onSent(question, choice, now);
        const SharedAttempt attempt
                = co_await this->awaitDecision(work, this->startAttempt(work, choice));
        if (work.state->gone) {
            co_return this->fail(work, Failure::OutcomeUnknown, "caller-gone");
        }
        if (!attempt) {
            co_return this->fail(work, Failure::TimedOut, "timeout");
        }
        work.mayHaveRun = work.mayHaveRun || !provenNotRun(attempt->result->end);
        if (!this->mayRetry(work, *attempt->result)) {
            co_return this->endOf(work, *attempt->result);
        }
        this->metrics.addToCounter("currantfall_retries_total",
                                   { { "service", work.service.value() } });
    }
}

Steering::SelectionRequest RequestSteering::questionOf(const Work &work, Common::Instant now) const
{
    return { work.route,       work.service,     work.caller.object, work.caller.id,
             work.limit - now, now - work.start, work.tried };
}

boost::asio::awaitable<RequestSteering::SharedAttempt>
RequestSteering::awaitDecision(Work &work, SharedAttempt first)
{
    const absl::Duration missed
            = this->serverSelector.meanServiceTime(work.service, *work.route, false);
    const absl::Duration hedgeAfter = work.route->idempotent ? Steering::OverduePolicy::hedgeAfter(
                                              first->expected, missed, work.limit - first->start)
                                                             : absl::InfiniteDuration();
    Common::Instant until = std::min(work.limit, first->start + hedgeAfter);
    std::vector<SharedAttempt> open { std::move(first) };
    SharedAttempt decisive;
    while (!decisive) {
        co_await this->awaitAny(work, open, until);
        const auto ended = std::find_if(open.begin(), open.end(),
                                        [](const auto &attempt) { return attempt->result; });
        if (ended != open.end() && !work.state->gone) {
            if (open.size() == 1 || (*ended)->result->end == AttemptEnd::Answered) {
                decisive = *ended;
            } else {
                // The other attempt may still be answered.
                work.mayHaveRun = work.mayHaveRun || !provenNotRun((*ended)->result->end);
                addToHistory(work, **ended);
                open.erase(ended);
            }
            continue;
        }
        if (work.state->gone || Common::monotonicNow() >= work.limit) {
            break;
        }
        until = work.limit;
        if (SharedAttempt hedge = this->startHedge(work)) {
            open.push_back(std::move(hedge));
        }
    }
    for (const SharedAttempt &attempt : open) {
        addToHistory(work, *attempt);
        if (!work.route->idempotent || attempt->result) {
            continue;
        }
        if (decisive || work.state->gone) {
            attempt->exchange->cancel();
        } else {
            this->cancelLater(attempt);
        }
    }
    co_return decisive;
}

Task RequestSteering::awaitAny(Work &work, const std::vector<SharedAttempt> &attempts,
                               Common::Instant until)
{
    const auto ended = [&attempts] {
        return std::any_of(attempts.begin(), attempts.end(),
                           [](const auto &attempt) { return attempt->result; });
    };
    while (!ended() && !work.state->gone) {
        const absl::Duration left = until - Common::monotonicNow();
        if (left <= absl::ZeroDuration()) {
            break;
        }
        co_await sleepFor(work.state->wake, left);
    }
}

RequestSteering::SharedAttempt RequestSteering::startHedge(Work &work)
{
    const Common::Instant now = Common::monotonicNow();
    if (work.attempts >= work.route->maxAttempts) {
        return nullptr;
    }
    const Steering::SelectionRequest question = this->questionOf(work, now);
    const Steering::Selection selection
            = this->serverSelector.select(question, work.configuration->service(work.service), now);
    const auto *choice = std::get_if<Steering::SendTo>(&selection);
    if (choice == nullptr
        || !this->allowance(work.service).tryTake(now, this->serverSelector.vmCount())) {
        return nullptr;
    }
    this->serverSelector.onSent(question, *choice, now);
    this->metrics.addToCounter("currantfall_hedges_total", { { "service", work.service.value() } });
    SharedAttempt attempt = this->startAttempt(work, *choice);
    attempt->hedge = true;
    return attempt;
}

void RequestSteering::addToHistory(Work &work, const Attempt &attempt)
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
    work.history.push_back(std::move(entry));
}

RequestSteering::SharedAttempt RequestSteering::startAttempt(Work &work,
                                                             const Steering::SendTo &choice)
{
    const Common::Instant now = Common::monotonicNow();
    auto exchange = std::make_shared<Exchange>();
    exchange->server = choice.server->server();
    exchange->request
            = Adapter::backendRequest(work.request, work.deadline - now, exchange->server.name);
    exchange->requestId = work.caller.id;
    exchange->idempotent = work.route->idempotent;
    exchange->deadline = work.deadline;
    auto attempt = std::make_shared<Attempt>();
    attempt->exchange = std::move(exchange);
    attempt->caller = work.state;
    attempt->service = work.service;
    attempt->object = work.caller.object;
    attempt->warm = choice.cacheHit;
    attempt->position = choice.position;
    attempt->start = now;
    attempt->expected = choice.expected;
    work.tried.insert(attempt->exchange->server.name);
    ++work.attempts;
    boost::asio::co_spawn(this->context, this->runAttempt(attempt), boost::asio::detached);
    return attempt;
}

Task RequestSteering::runAttempt(SharedAttempt attempt)
{
    ++this->inProgress;
    this->running.insert(attempt);
    ExchangeResult result = co_await this->backendPool.run(attempt->exchange);
    this->running.erase(attempt);
    --this->inProgress;
    const Common::Instant now = Common::monotonicNow();
    this->noteOutcome(*attempt, result);
    if (Steering::ServerRecord *server = this->table.find(attempt->exchange->server.name)) {
        const Steering::LoadReport *load = result.meaning.load ? &*result.meaning.load : nullptr;
        server->onEnd(now, result.end, load);
        if (result.end == AttemptEnd::Unreachable && !server->usable(now)) {
            this->releaseStranded(attempt->exchange->server.name);
        }
    }
    if (result.end == AttemptEnd::Answered && result.meaning.success) {
        this->serverSelector.onAnswered(attempt->service, attempt->warm, now - attempt->start);
    }
    attempt->result = std::move(result);
    attempt->caller->wake.cancel();
}

void RequestSteering::cancelLater(SharedAttempt attempt)
{
    boost::asio::co_spawn(
            this->context,
            [](boost::asio::io_context &context, std::shared_ptr<Attempt> attempt) -> Task {
                boost::asio::steady_timer timer(context);
                co_await sleepFor(timer, cancelDelay);
                if (!attempt->result) {
                    attempt->exchange->cancel();
                }
            }(this->context, attempt),
            boost::asio::detached);
}

bool RequestSteering::mayRetry(Work &work, const ExchangeResult &result)
{
    if (result.end == AttemptEnd::Answered || result.end == AttemptEnd::Abandoned) {
        return false;
    }
    if (!work.route->idempotent && !provenNotRun(result.end)) {
        return false;
    }
    // Nothing was sent, so neither the operator's limit nor the budget is used up.
    if (result.end == AttemptEnd::Unreachable) {
        --work.attempts;
        return ++work.unreachable < unreachableAttempts;
    }
    // A request that the server refuses for what it is.
    if (result.end == AttemptEnd::NotExecuted && result.response
        && result.response->result_int() == 400) {
        return false;
    }
    return work.attempts < work.route->maxAttempts
           && this->allowance(work.service)
                      .tryTake(Common::monotonicNow(), this->serverSelector.vmCount());
}

Adapter::HttpResponse RequestSteering::endOf(Work &work, ExchangeResult &result)
{
    const absl::Duration retryAfter
            = this->serverSelector.meanServiceTime(work.service, *work.route, true);
    if (work.mayHaveRun && provenNotRun(result.end)) {
        return this->fail(work, Failure::OutcomeUnknown, toString(result.end));
    }
    switch (result.end) {
    case AttemptEnd::Answered:
    case AttemptEnd::ServerError:
        // The server's own status would promise that the request has not run.
        if (!work.route->idempotent && promisesNotRun(result.response->result_int())) {
            return this->fail(work, Failure::OutcomeUnknown, "status-without-promise");
        }
        work.outcome = toString(result.end);
        return Adapter::callerResponse(std::move(*result.response));
    case AttemptEnd::NotExecuted:
        if (result.response && result.response->result_int() == 400) {
            work.outcome = toString(result.end);
            return Adapter::callerResponse(std::move(*result.response));
        }
        return this->refuse(work, "server-full", retryAfter);
    case AttemptEnd::Misdirected:
    case AttemptEnd::Unreachable:
        return this->refuse(work, toString(result.end), retryAfter);
    case AttemptEnd::Broken:
    case AttemptEnd::Abandoned:
        break;
    }
    return this->fail(work, Failure::OutcomeUnknown, toString(result.end));
}

Adapter::HttpResponse RequestSteering::refuse(Work &work, const std::string &reason,
                                              absl::Duration retryAfter)
{
    work.outcome = reason;
    // Spreads the returns of callers that are refused at the same time.
    const double spread = std::uniform_real_distribution<double>(0.5, 1.5)(this->random);
    return Adapter::failureResponse(Failure::NotRun, work.caller.id, retryAfter * spread, reason);
}

Adapter::HttpResponse RequestSteering::fail(Work &work, Failure failure, const std::string &reason)
{
    work.outcome = reason;
    return Adapter::failureResponse(failure, work.caller.id, absl::ZeroDuration(), reason);
}

void RequestSteering::logEnd(const Work &work, unsigned status)
{
    const Common::Instant now = Common::monotonicNow();
    Telemetry::RequestLabels labels;
    labels.service = work.service;
    labels.tenant = Common::TenantName("all");
    labels.rank
            = Common::RankName(work.route == nullptr ? "none" : std::to_string(work.route->rank));
    labels.outcome = status == 503   ? Common::Outcome::NotRun
                     : status >= 500 ? Common::Outcome::OutcomeUnknown
                                     : Common::Outcome::Answered;
    this->metrics.recordLatency(labels, now - work.start);
    this->metrics.addToCounter(
            "currantfall_requests_total",
            { { "outcome", work.outcome }, { "status", std::to_string(status) } });
    if (!this->log.admits()) {
        return;
    }
    nlohmann::ordered_json fields;
    fields["request"] = work.caller.id;
    fields["outcome"] = work.outcome;
    fields["status"] = status;
    fields["ms"] = absl::ToInt64Milliseconds(now - work.start);
    fields["route"] = work.route == nullptr ? "" : work.route->name;
    fields["service"] = work.service.value();
    fields["object"] = work.caller.object;
    if (work.caller.deadline) {
        fields["deadline_ms"] = absl::ToInt64Milliseconds(*work.caller.deadline);
    }
    fields["configuration"] = work.configuration == nullptr ? 0 : work.configuration->version();
    fields["servers_age_ms"] = absl::ToInt64Milliseconds(now - this->serversConfirmed);
    fields["attempts"] = work.history;
    this->log.write("request", std::move(fields));
}

} // namespace Currantfall::Entry
