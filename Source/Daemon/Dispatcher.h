#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include <absl/container/flat_hash_map.h>

#include "currantfall/Admission/ServiceTimeEstimator.h"
#include "currantfall/Execution/AttemptTable.h"
#include "currantfall/Execution/RetryPolicy.h"
#include "currantfall/Placement/RequestRouter.h"

#include "ClusterFlow.h"
#include "CreditFlow.h"
#include "OwnerScheduler.h"
#include "SteeringContext.h"

namespace Currantfall::Daemon {

/// Takes requests to the owners of backend servers, on this VM or over peer links, and decides
/// about retries. Also serves the requests that other VMs forward to this owner. Hedging is in
/// DispatcherHedging.cpp.
class Dispatcher
{
public:
    Dispatcher(SteeringContext &context, ClusterFlow &cluster, OwnerScheduler &scheduler,
               CreditFlow &credits);

    /// `done` is called exactly once, perhaps before the return.
    void dispatch(SharedRequest request, AnswerHandler done);

    void onForwardRequest(const Common::VmName &from, SharedRequest request,
                          const std::string &attempt, Credits::CreditId credit);
    void onCancelAttempt(const Common::VmName &from, const std::string &attempt);
    void onForwardReply(const Common::VmName &from, const std::string &attempt,
                        Common::Answer answer);
    void onLinkDown(const Common::VmName &peer, Peering::LinkClass linkClass);

    std::size_t inProgress() const { return this->flights.size() + this->forwarded.size(); }
    const Execution::DroppedAnswers &droppedAnswers() const { return this->attempts.dropped(); }

private:
    using FlightId = Execution::RequestId;

    using Targets = std::vector<Placement::RouteTarget>;

    /// One open attempt of a request.
    struct Attempt
    {
        Execution::AttemptId id; // Of attempts on this VM as well.
        Common::VmName vm;
        bool here = false;
        OwnerScheduler::Ticket ticket = 0; // Set if the attempt is on this VM.
        Credits::CreditId credit = 0;      // On this VM as well, for callers of other regions.
    };

    /// An attempt at another VM that was cancelled. Its credit is in use until that VM has ended
    /// it.
    struct Cancelled
    {
        Common::VmName vm;
        Peering::LinkClass linkClass = Peering::LinkClass::Control;
        Common::ServiceName service;
        Credits::CreditId credit = 0;
        /// When the other VM has ended it without a reply.
        Common::Instant until;
    };

    /// A request on its way from this VM.
    struct Flight
    {
        SharedRequest request;
        AnswerHandler done;
        std::vector<Common::VmName> triedVms;
        std::vector<Common::BackendServerName> triedServers;
        std::size_t targets = 0;
        Common::Instant start;
        std::vector<Attempt> open; // Two while the request is hedged.
        Common::TimerService::SubscriptionId timer = 0;
        Common::TimerService::SubscriptionId hedgeTimer = 0;
        Common::Instant parkedUntil; // Set when the request is parked for the first time.
        Common::Instant demandNoted;
        bool mayHaveRun = false; // An attempt ended without a proven outcome.
    };

    struct Forwarded
    {
        OwnerScheduler::Ticket ticket = 0;
    };

    /// Sends the request to the first target that takes it, else parks or finishes it.
    void tryTargets(FlightId id, const Targets &targets, Common::Answer lastAnswer);
    Targets route(const Flight &flight);
    void noteDemand(Flight &flight, const Targets &targets);
    bool tryTarget(FlightId id, const Placement::RouteTarget &target);
    /// Runs the request on this VM's slots; false if the credit does not allow it.
    bool runHere(FlightId id, Credits::CreditId credit);
    bool forward(FlightId id, const Common::VmName &vm, Credits::CreditId credit);
    void onResult(FlightId id, const Execution::AttemptId &attempt,
                  const Common::BackendServerName &server, Common::Answer answer);
    void noteFailure(Flight &flight, const Common::VmName &vm,
                     const Common::BackendServerName &server, const Common::Answer &answer);
    void planHedge(FlightId id);
    void hedge(FlightId id);
    bool hasFreeSlot(const Common::VmName &vm, const Common::ServiceName &service);
    bool park(FlightId id, const Common::Answer &answer);
    /// Takes a retry from the budget if one is allowed.
    bool takeRetry(const Flight &flight, const Targets &targets, const Common::Answer &answer);
    void onTimeout(FlightId id);
    Common::VmName endAttempt(Flight &flight, const Execution::AttemptId &attempt);
    void cancelAttempts(Flight &flight);
    /// The attempt does not use its credit any more.
    void endCredit(const Flight &flight, const Attempt &attempt);
    /// Gives the credits of cancelled attempts back for which the condition holds.
    template<typename Condition>
    void releaseCancelled(const Condition &condition);
    void finish(FlightId id, Common::Answer answer);
    /// The last answer, or outcome-unknown if it is a refusal and an earlier attempt may have run.
    static Common::Answer outcomeOf(const Flight &flight, Common::Answer lastAnswer);
    static nlohmann::json describe(const Flight &flight, const Common::Answer &answer);
    void reply(const Common::VmName &to, Peering::LinkClass linkClass, const std::string &attempt,
               const Common::Answer &answer);

    SteeringContext &context;
    ClusterFlow &cluster;
    OwnerScheduler &scheduler;
    CreditFlow &credits;
    Execution::AttemptTable attempts;
    absl::flat_hash_map<FlightId, Flight> flights;
    absl::flat_hash_map<Execution::AttemptId, Cancelled> cancelled;
    absl::flat_hash_map<std::string, Forwarded> forwarded; // By sender and attempt.
    absl::flat_hash_map<Common::ServiceName, Execution::RetryBudget> budgets;
    // Times from the arrival to the answer.
    absl::flat_hash_map<Common::ServiceName, Admission::ServiceTimeEstimator> answerTimes;
    FlightId lastFlight = 0;
    std::size_t parkedFlights = 0;
};

/// The link class for requests of a rank: the first one shares the link of control messages.
Peering::LinkClass linkClassOf(Common::RankIndex rank);

} // namespace Currantfall::Daemon
