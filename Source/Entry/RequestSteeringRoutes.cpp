#include "RequestSteeringState.h"

// The part of RequestSteering that reads what the configuration says of a request.

namespace Currantfall::Entry {

const Steering::Route *
RequestSteering::matchRoute(const Steering::RoutingConfiguration &configuration,
                            const Adapter::HttpRequest &request)
{
    const auto host = request["Host"];
    const auto target = request.target();
    return configuration.match({ host.data(), host.size() }, { target.data(), target.size() });
}

bool RequestSteering::mayRepeat(const Adapter::HttpRequest &request) const
{
    const Steering::Route *route = this->currentConfiguration == nullptr
                                           ? nullptr
                                           : matchRoute(*this->currentConfiguration, request);
    return route == nullptr || route->idempotent;
}

Steering::RequestTarget RequestSteering::targetOf(const ActiveRequest &activeRequest)
{
    const auto host = activeRequest.request["Host"];
    const auto path = activeRequest.request.target();
    return { { host.data(), host.size() },
             { path.data(), path.size() },
             activeRequest.callerRequest.key };
}

bool RequestSteering::mayStillUse(const ActiveRequest &activeRequest) const
{
    return activeRequest.scope.homesNow(*this->currentConfiguration).has_value();
}

boost::asio::awaitable<std::optional<Adapter::HttpResponse>>
RequestSteering::refuseBeyondShare(ActiveRequest &activeRequest)
{
    if (!this->regionShares.admits(activeRequest.scope.homes, Common::monotonicNow())) {
        co_return this->refuse(activeRequest, "region-share",
                               Steering::RegionShareGuard::retryAfter());
    }
    const QuotaAdmission admission = co_await this->quotaGate.enter(
            activeRequest.scope.tenant, activeRequest.callerState, activeRequest.responseDeadline);
    if (!admission.admitted) {
        activeRequest.outcome = "over-quota";
        co_return Adapter::failureResponse(Adapter::Failure::OverQuota,
                                           activeRequest.callerRequest.id, admission.retryAfter,
                                           activeRequest.outcome);
    }
    activeRequest.permit = admission.permit;
    co_return std::nullopt;
}

void RequestSteering::giveBackPermit(const ActiveRequest &activeRequest, unsigned status)
{
    const bool notRun
            = !activeRequest.mayHaveRun && (status == 401 || status == 429 || status == 503);
    if (activeRequest.permit && notRun) {
        this->quotaGate.giveBack(activeRequest.scope.tenant, *activeRequest.permit);
    }
}

Steering::SelectionRequest RequestSteering::selectionRequestFor(const ActiveRequest &activeRequest,
                                                                Common::Instant now) const
{
    return { activeRequest.route,
             activeRequest.service,
             activeRequest.callerRequest.object,
             activeRequest.callerRequest.id,
             activeRequest.responseDeadline - now,
             now - activeRequest.start,
             activeRequest.scope.homesNow(*this->currentConfiguration)
                     .value_or(activeRequest.scope.homes),
             activeRequest.attemptedServers };
}

} // namespace Currantfall::Entry
