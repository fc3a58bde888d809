#include <algorithm>

#include "Dispatcher.h"

namespace Currantfall::Daemon {

namespace {

constexpr std::size_t minHedgeSamples = 16;
// A hedge right at the 90% quantile would use the whole budget without any slow server.
constexpr double hedgeDelayFactor = 1.5;

} // namespace

void Dispatcher::planHedge(FlightId id)
{
    const auto found = this->flights.find(id);
    if (found == this->flights.end() || !this->context.hedging
        || found->second.request->rank != 0) {
        return;
    }
    Flight &flight = found->second;
    const auto times = this->answerTimes.find(flight.request->service);
    Execution::HedgeQuestion question;
    question.idempotent = flight.request->idempotent;
    question.firstStart = this->context.now;
    question.openAttempts = flight.open.size();
    if (times != this->answerTimes.end() && times->second.samples() >= minHedgeSamples) {
        question.highQuantile = times->second.quantile90() * hedgeDelayFactor;
    }
    question.deadline = flight.request->deadline;
    question.untriedCandidate = true; // Looked for when the hedge is due.
    if (const auto due = Execution::hedgeAt(question, this->budgets[flight.request->service])) {
        flight.hedgeTimer = this->context.timers.subscribeOnce(
                *due, [this, id](Common::Instant) { this->hedge(id); });
    }
}

void Dispatcher::hedge(FlightId id)
{
    const auto found = this->flights.find(id);
    if (found == this->flights.end()) {
        return;
    }
    Flight &flight = found->second;
    flight.hedgeTimer = 0;
    Execution::RetryBudget &budget = this->budgets[flight.request->service];
    if (flight.open.size() != 1 || !budget.available()) {
        return;
    }
    const SharedRequest request = flight.request;
    for (const Placement::RouteTarget &target : this->route(flight)) {
        // A hedge that waits in a queue delays others and is not faster.
        if (this->hasFreeSlot(target.vm, request->service) && this->tryTarget(id, target)) {
            this->context.metrics.addToCounter("currantfall_hedges_total",
                                               { { "service", request->service.value() } });
            static_cast<void>(budget.tryTake());
            return;
        }
    }
}

bool Dispatcher::hasFreeSlot(const Common::VmName &vm, const Common::ServiceName &service)
{
    const auto &members = this->cluster.placementMembers(this->scheduler.loadOf(service));
    return std::any_of(members.begin(), members.end(), [&](const auto &member) {
        const Placement::PlacementLoad *load = member.loadOf(service);
        return member.vm == vm && load != nullptr && load->freeSlots > load->queued;
    });
}

} // namespace Currantfall::Daemon
