#include "RequestSteeringState.h"

// The part of RequestSteering that records how requests end.

namespace Currantfall::Entry {

void RequestSteering::logRequest(const ActiveRequest &activeRequest, unsigned status)
{
    const Common::Instant now = Common::monotonicNow();
    Telemetry::RequestLabels labels;
    labels.service = activeRequest.service;
    labels.tenant = Common::TenantName("all");
    labels.rank = Common::RankName(
            activeRequest.route == nullptr ? "none" : std::to_string(activeRequest.scope.rank));
    labels.outcome = status == 503   ? Common::Outcome::NotRun
                     : status >= 500 ? Common::Outcome::OutcomeUnknown
                                     : Common::Outcome::Answered;
    this->metrics.recordLatency(labels, now - activeRequest.start);
    this->metrics.addToCounter(
            "currantfall_requests_total",
            { { "outcome", activeRequest.outcome }, { "status", std::to_string(status) } });
    if (!this->log.admits()) {
        return;
    }
    nlohmann::ordered_json fields;
    fields["request"] = activeRequest.callerRequest.id;
    fields["outcome"] = activeRequest.outcome;
    fields["status"] = status;
    fields["ms"] = absl::ToInt64Milliseconds(now - activeRequest.start);
    fields["route"] = activeRequest.route == nullptr ? "" : activeRequest.route->name;
    fields["service"] = activeRequest.service.value();
    if (!activeRequest.scope.tenant.empty()) {
        fields["tenant"] = activeRequest.scope.tenant.value();
    }
    fields["object"] = activeRequest.callerRequest.object;
    if (activeRequest.callerRequest.deadline) {
        fields["deadline_ms"] = absl::ToInt64Milliseconds(*activeRequest.callerRequest.deadline);
    }
    if (activeRequest.route != nullptr && !activeRequest.route->allowedRegions.empty()) {
        auto &homes = fields["homes"] = nlohmann::ordered_json::array();
        for (const Common::RegionName &region : activeRequest.route->allowedRegions) {
            homes.push_back(region.value());
        }
    }
    fields["configuration"]
            = activeRequest.configuration == nullptr ? 0 : activeRequest.configuration->version();
    fields["servers_age_ms"] = absl::ToInt64Milliseconds(now - this->serversConfirmed);
    fields["attempts"] = activeRequest.history;
    this->log.write("request", std::move(fields));
}

} // namespace Currantfall::Entry
