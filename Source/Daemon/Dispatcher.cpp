#include "Dispatcher.h"

#include <algorithm>
#include <utility>

#include "currantfall/Common/Invariant.h"

#include "WireConversion.h"

namespace Currantfall::Daemon {

namespace {

using Common::Outcome;
using Common::Reason;
using Placement::RouteTarget;
using Placement::TargetKind;

constexpr const char *partName = "dispatcher";

constexpr std::size_t maxOpenAttempts = 100'000;
// VMs asked for one request, the first included.
constexpr std::size_t maxTargets = 4;
// The owner answers at the deadline at the latest; its reply needs time to arrive.
constexpr absl::Duration replyGrace = absl::Milliseconds(150);

// While slots change owners no VM may start work on them: a crash takes the suspicion time of 1 s
// and a lease of 2 s. Requests wait that long for the new owner instead of failing.
constexpr absl::Duration longestParking = absl::Milliseconds(3500);
constexpr absl::Duration parkingInterval = absl::Milliseconds(50);
constexpr std::size_t maxParked = 1000;

std::string forwardedKey(const Common::VmName &from, const std::string &attempt)
{
    return from.value() + "/" + attempt;
}

/// The VM that was asked does not have the capacity that this VM's view promised. Nothing was sent
/// to a backend server, so that asking another VM is not a retry.
bool isRoutingCorrection(const Common::Answer &answer)
{
    return answer.outcome == Outcome::NotRun
           && (answer.reason == Reason::NoCapacity || answer.reason == Reason::ShuttingDown);
}

} // namespace

Peering::LinkClass linkClassOf(Common::RankIndex rank)
{
    return rank == 0 ? Peering::LinkClass::Control : Peering::LinkClass::Bulk;
}

Dispatcher::Dispatcher(SteeringContext &context, ClusterFlow &cluster, OwnerScheduler &scheduler,
                       CreditFlow &credits)
    : context(context), cluster(cluster), scheduler(scheduler), credits(credits),
      attempts(context.self, maxOpenAttempts)
{ }

void Dispatcher::dispatch(SharedRequest request, AnswerHandler done)
{
    const FlightId id = ++this->lastFlight;
    Flight flight;
    flight.done = std::move(done);
    flight.start = this->context.now;
    flight.timer = this->context.timers.subscribeOnce(
            request->deadline + replyGrace, [this, id](Common::Instant) { this->onTimeout(id); });
    this->budgets[request->service].onFirstAttempt();
    flight.request = std::move(request);
    const Targets targets = this->route(flight);
    this->flights.emplace(id, std::move(flight));
    this->tryTargets(id, targets,
                     Common::notRun(Reason::NoCapacity, "no owner of the service is reachable",
                                    absl::Seconds(1)));
    this->planHedge(id);
}

void Dispatcher::onForwardRequest(const Common::VmName &from, SharedRequest request,
                                  const std::string &attempt, Credits::CreditId credit)
{
    const Peering::LinkClass linkClass = linkClassOf(request->rank);
    if (!this->credits.begin(from, *request, credit)) {
        this->reply(from, linkClass, attempt,
                    Common::notRun(Reason::NoCapacity, "the credit has expired or is used up"));
        return;
    }
    const std::string key = forwardedKey(from, attempt);
    const Common::ServiceName service = request->service;
    this->forwarded.emplace(key, Forwarded());
    const auto done = [this, key, from, linkClass, attempt, service, credit](OwnerResult result) {
        this->forwarded.erase(key);
        this->credits.end(from, service, credit);
        this->reply(from, linkClass, attempt, result.answer);
    };
    const OwnerScheduler::Ticket ticket = this->scheduler.offer(std::move(request), {}, done);
    const auto entry = this->forwarded.find(key);
    if (entry != this->forwarded.end()) {
        entry->second.ticket = ticket;
    }
}

void Dispatcher::onCancelAttempt(const Common::VmName &from, const std::string &attempt)
{
    const auto found = this->forwarded.find(forwardedKey(from, attempt));
    if (found != this->forwarded.end()) {
        this->scheduler.cancel(found->second.ticket);
    }
}

void Dispatcher::onForwardReply(const Common::VmName &from, const std::string &attempt,
                                Common::Answer answer)
{
    this->releaseCancelled([&attempt](const auto &entry) { return entry.first == attempt; });
    const auto decision = this->attempts.onAnswer(attempt, from.value(), answer.outcome);
    if (const auto *settled = std::get_if<Execution::Settled>(&decision)) {
        this->onResult(settled->request, attempt, {}, std::move(answer));
    } else if (const auto *failed = std::get_if<Execution::AttemptFailed>(&decision)) {
        this->onResult(failed->request, attempt, {}, std::move(answer));
    } else {
        this->context.metrics.addToCounter("currantfall_dropped_answers_total");
    }
}

void Dispatcher::onLinkDown(const Common::VmName &peer, Peering::LinkClass linkClass)
{
    this->releaseCancelled([&](const auto &entry) {
        return entry.second.vm == peer && entry.second.linkClass == linkClass;
    });
    std::vector<Execution::AttemptId> lost;
    for (const auto &entry : this->flights) {
        const Flight &flight = entry.second;
        if (linkClassOf(flight.request->rank) != linkClass) {
            continue;
        }
        for (const Attempt &attempt : flight.open) {
            if (!attempt.here && attempt.vm == peer) {
                lost.push_back(attempt.id);
            }
        }
    }
    for (const Execution::AttemptId &attempt : lost) {
        this->onForwardReply(peer, attempt,
                             Common::outcomeUnknown(Reason::PeerFailed,
                                                    "the link to " + peer.value() + " was lost"));
    }
}

void Dispatcher::tryTargets(FlightId id, const Targets &targets, Common::Answer lastAnswer)
{
    this->noteDemand(this->flights.at(id), targets);
    for (const RouteTarget &target : targets) {
        if (this->tryTarget(id, target)) {
            return;
        }
    }
    if (!this->park(id, lastAnswer)) {
        this->finish(id, outcomeOf(this->flights.at(id), std::move(lastAnswer)));
    }
}

bool Dispatcher::park(FlightId id, const Common::Answer &answer)
{
    Flight &flight = this->flights.at(id);
    if (!isRoutingCorrection(answer) || this->parkedFlights >= maxParked) {
        return false;
    }
    if (flight.parkedUntil == Common::Instant()) {
        flight.parkedUntil = std::min(this->context.now + longestParking, flight.request->deadline);
    }
    if (this->context.now + parkingInterval >= flight.parkedUntil) {
        return false;
    }
    ++this->parkedFlights;
    this->context.timers.subscribeOnce(this->context.now + parkingInterval,
                                       [this, id, answer](Common::Instant) {
                                           --this->parkedFlights;
                                           const auto found = this->flights.find(id);
                                           if (found == this->flights.end()) {
                                               return;
                                           }
                                           found->second.targets = 0;
                                           found->second.triedVms.clear();
                                           this->tryTargets(id, this->route(found->second), answer);
                                       });
    return true;
}

Dispatcher::Targets Dispatcher::route(const Flight &flight)
{
    if (this->context.environment == nullptr || flight.targets >= maxTargets) {
        return {};
    }
    Placement::RouteQuery query;
    query.self = this->context.self.vm;
    query.service = flight.request->service;
    query.excluded.insert(flight.triedVms.begin(), flight.triedVms.end());
    for (const Attempt &attempt : flight.open) {
        query.excluded.insert(attempt.vm);
    }
    query.withCredit = this->credits.usableVms(flight.request->service);
    query.everywhereOnCredit = this->credits.isForeign(*flight.request);
    query.random = this->context.random();
    const auto &members
            = this->cluster.placementMembers(this->scheduler.loadOf(flight.request->service));
    return Placement::RequestRouter::route(*this->context.environment, members, query);
}

void Dispatcher::noteDemand(Flight &flight, const Targets &targets)
{
    const bool waiting = flight.parkedUntil != Common::Instant();
    if (waiting && this->context.now - flight.demandNoted < CreditFlow::demandInterval) {
        return;
    }
    flight.demandNoted = this->context.now;
    this->credits.onRouted(*flight.request, targets);
}

bool Dispatcher::tryTarget(FlightId id, const RouteTarget &target)
{
    const Flight &flight = this->flights.at(id);
    Common::requireInvariant(!flight.mayHaveRun || flight.request->idempotent, partName,
                             "only an idempotent request is repeated after it may have run",
                             [&] { return describe(flight, {}); });
    Credits::CreditId credit = 0;
    if (target.kind == TargetKind::OtherRegion || this->credits.isForeign(*flight.request)) {
        const auto taken = this->credits.take(target.vm, *flight.request);
        if (!taken) {
            return false;
        }
        credit = *taken;
    }
    const bool sent = target.kind == TargetKind::Self ? this->runHere(id, credit)
                                                      : this->forward(id, target.vm, credit);
    if (!sent) {
        this->credits.giveBack(target.vm, flight.request->service, credit);
    }
    return sent;
}

bool Dispatcher::runHere(FlightId id, Credits::CreditId credit)
{
    Flight &flight = this->flights.at(id);
    const SharedRequest request = flight.request;
    if (credit != 0 && !this->credits.begin(this->context.self.vm, *request, credit)) {
        return false;
    }
    const auto avoid = flight.triedServers;
    const Execution::AttemptId attempt
            = "here." + std::to_string(id) + "." + std::to_string(++flight.targets);
    flight.open.push_back({ attempt, this->context.self.vm, true, 0, credit });
    const OwnerScheduler::Ticket ticket
            = this->scheduler.offer(request, avoid, [this, id, attempt](OwnerResult result) {
                  this->onResult(id, attempt, result.server, std::move(result.answer));
              });
    // The result may have come before the return.
    const auto found = this->flights.find(id);
    if (found == this->flights.end()) {
        return true;
    }
    for (Attempt &entry : found->second.open) {
        if (entry.id == attempt) {
            entry.ticket = ticket;
        }
    }
    return true;
}

bool Dispatcher::forward(FlightId id, const Common::VmName &vm, Credits::CreditId credit)
{
    Flight &flight = this->flights.at(id);
    const auto attempt = this->attempts.start(this->context.now, id, vm.value());
    if (!attempt) {
        return false;
    }
    const bool sent = this->context.sendOn(
            vm, linkClassOf(flight.request->rank),
            toWire(*attempt, *flight.request, false, credit, this->context.now));
    if (!sent) {
        this->attempts.onAnswer(*attempt, vm.value(), Outcome::NotRun);
        this->cluster.requestPeer(vm);
        return false;
    }
    ++flight.targets;
    flight.open.push_back({ *attempt, vm, false, 0, credit });
    this->context.metrics.addToCounter("currantfall_forwards_total",
                                       { { "service", flight.request->service.value() } });
    return true;
}

void Dispatcher::onResult(FlightId id, const Execution::AttemptId &attempt,
                          const Common::BackendServerName &server, Common::Answer answer)
{
    const auto found = this->flights.find(id);
    if (found == this->flights.end()) {
        return;
    }
    Flight &flight = found->second;
    const Common::VmName vm = this->endAttempt(flight, attempt);
    if (answer.outcome == Outcome::Answered) {
        this->answerTimes
                .try_emplace(flight.request->service,
                             Admission::ServiceTimeEstimator(absl::ZeroDuration()))
                .first->second.record(this->context.now - flight.start);
        this->finish(id, std::move(answer));
        return;
    }
    this->noteFailure(flight, vm, server, answer);
    if (!flight.open.empty()) {
        return; // The other attempt of a hedged request decides.
    }
    const Targets targets = this->route(flight);
    if (!isRoutingCorrection(answer) && !this->takeRetry(flight, targets, answer)) {
        this->finish(id, outcomeOf(flight, std::move(answer)));
        return;
    }
    this->tryTargets(id, targets, std::move(answer));
}

void Dispatcher::noteFailure(Flight &flight, const Common::VmName &vm,
                             const Common::BackendServerName &server, const Common::Answer &answer)
{
    flight.mayHaveRun |= answer.outcome == Outcome::OutcomeUnknown;
    const bool firstHere = flight.triedServers.empty();
    if (!server.empty()) {
        flight.triedServers.push_back(server);
    }
    const bool otherServerHere
            = !server.empty() && firstHere
              && this->scheduler.hasUntriedServer(flight.request->service, flight.triedServers);
    if (!otherServerHere) {
        flight.triedVms.push_back(vm);
    }
}

bool Dispatcher::takeRetry(const Flight &flight, const Targets &targets,
                           const Common::Answer &answer)
{
    Execution::RetryQuestion question;
    question.idempotent = flight.request->idempotent;
    question.keyed = !flight.request->key.empty();
    question.lastOutcome = answer.outcome;
    question.remainingDeadline = flight.request->deadline - this->context.now;
    for (const Common::VmName &tried : flight.triedVms) {
        question.triedServers.push_back(tried.value());
    }
    for (const RouteTarget &target : targets) {
        question.candidateServers.push_back(target.vm.value());
    }
    Execution::RetryBudget &budget = this->budgets[flight.request->service];
    if (Execution::mayRetry(question, budget) != Execution::RetryVerdict::Retry) {
        return false;
    }
    this->context.metrics.addToCounter("currantfall_retries_total",
                                       { { "service", flight.request->service.value() } });
    return budget.tryTake();
}

void Dispatcher::onTimeout(FlightId id)
{
    const auto found = this->flights.find(id);
    if (found == this->flights.end()) {
        return;
    }
    this->finish(id, Common::outcomeUnknown(Reason::TimedOut, "no answer before the deadline"));
}

Common::VmName Dispatcher::endAttempt(Flight &flight, const Execution::AttemptId &attempt)
{
    const auto found
            = std::find_if(flight.open.begin(), flight.open.end(),
                           [&attempt](const Attempt &entry) { return entry.id == attempt; });
    if (found == flight.open.end()) {
        return {};
    }
    const Attempt ended = std::move(*found);
    flight.open.erase(found);
    this->endCredit(flight, ended);
    return ended.vm;
}

void Dispatcher::endCredit(const Flight &flight, const Attempt &attempt)
{
    if (attempt.here) {
        this->credits.end(attempt.vm, flight.request->service, attempt.credit);
    }
    this->credits.giveBack(attempt.vm, flight.request->service, attempt.credit);
}

void Dispatcher::cancelAttempts(Flight &flight)
{
    this->releaseCancelled(
            [this](const auto &entry) { return entry.second.until <= this->context.now; });
    const Peering::LinkClass linkClass = linkClassOf(flight.request->rank);
    while (!flight.open.empty()) {
        const Attempt attempt = flight.open.back();
        flight.open.pop_back();
        if (attempt.here) {
            this->scheduler.cancel(attempt.ticket);
            this->endCredit(flight, attempt);
            continue;
        }
        if (attempt.credit != 0) {
            this->cancelled.emplace(attempt.id,
                                    Cancelled { attempt.vm, linkClass, flight.request->service,
                                                attempt.credit,
                                                flight.request->deadline + replyGrace });
        }
        Peering::Wire::CancelAttemptT cancel;
        cancel.attempt = attempt.id;
        this->context.sendOn(attempt.vm, linkClass, std::move(cancel));
    }
}

template<typename Condition>
void Dispatcher::releaseCancelled(const Condition &condition)
{
    absl::erase_if(this->cancelled, [&](const auto &entry) {
        const bool ended = condition(entry);
        if (ended) {
            this->credits.giveBack(entry.second.vm, entry.second.service, entry.second.credit);
        }
        return ended;
    });
}

void Dispatcher::finish(FlightId id, Common::Answer answer)
{
    const auto found = this->flights.find(id);
    if (found == this->flights.end()) {
        return;
    }
    Common::requireInvariant(answer.outcome != Outcome::NotRun || !found->second.mayHaveRun,
                             partName, "not-run is never said of a request that may have run",
                             [&] { return describe(found->second, answer); });
    // Cancelling may call back with the result of an attempt, which must find no flight.
    Flight flight = std::move(found->second);
    this->flights.erase(found);
    this->context.timers.unsubscribe(flight.timer);
    if (flight.hedgeTimer != 0) {
        this->context.timers.unsubscribe(flight.hedgeTimer);
    }
    this->attempts.abandon(id);
    this->cancelAttempts(flight);
    flight.done(std::move(answer));
}

Common::Answer Dispatcher::outcomeOf(const Flight &flight, Common::Answer lastAnswer)
{
    if (!flight.mayHaveRun || lastAnswer.outcome != Outcome::NotRun) {
        return lastAnswer;
    }
    Common::Answer answer = Common::outcomeUnknown(lastAnswer.reason,
                                                   "an earlier attempt may have run; the last one: "
                                                           + lastAnswer.message);
    answer.retryAfter = lastAnswer.retryAfter;
    return answer;
}

nlohmann::json Dispatcher::describe(const Flight &flight, const Common::Answer &answer)
{
    std::vector<std::string> tried;
    for (const Common::VmName &vm : flight.triedVms) {
        tried.push_back(vm.value());
    }
    return { { "request", flight.request->id },
             { "service", flight.request->service.value() },
             { "idempotent", flight.request->idempotent },
             { "key", flight.request->key },
             { "may_have_run", flight.mayHaveRun },
             { "tried_vms", tried },
             { "outcome", Common::toString(answer.outcome) },
             { "reason", Common::toString(answer.reason) },
             { "message", answer.message } };
}

void Dispatcher::reply(const Common::VmName &to, Peering::LinkClass linkClass,
                       const std::string &attempt, const Common::Answer &answer)
{
    if (!this->context.sendOn(to, linkClass, toWire(attempt, answer))) {
        this->context.log.warn("a reply could not be sent; the link is down", to.value(), attempt);
    }
}

} // namespace Currantfall::Daemon
