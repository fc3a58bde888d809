#include "RequestSteeringState.h"

// The part of RequestSteering that records how requests end.

namespace Currantfall::Entry {

Common::RegionName RequestSteering::regionOf(const Common::ZoneName &zone) const
{
    const auto found = this->settings.zones.find(zone);
    return found == this->settings.zones.end() ? Common::RegionName() : found->second;
}

void RequestSteering::nameMetrics()
{
    if (this->currentConfiguration == nullptr) {
        return;
    }
    std::vector<Common::TenantName> tenants;
    for (const Tenants::Tenant &tenant : this->currentConfiguration->tenants().all()) {
        tenants.push_back(tenant.name);
    }
    this->metrics.setKnownNames(this->currentConfiguration->serviceNames(), tenants, {});
}

void RequestSteering::countRequest(const ActiveRequest &activeRequest, unsigned status)
{
    this->metrics.addToCounter(
            "currantfall_requests_total",
            { { "outcome", activeRequest.outcome }, { "status", std::to_string(status) } });
    if (!activeRequest.scope.tenant.empty()) {
        const std::string outcome = status == 429                   ? "over-quota"
                                    : status >= 200 && status < 300 ? "answered"
                                                                    : "unanswered";
        this->metrics.addToCounter(
                "currantfall_tenant_requests_total",
                { { "tenant", activeRequest.scope.tenant.value() }, { "outcome", outcome } });
    }
}

void RequestSteering::countAttempt(const Attempt &attempt, Steering::AttemptEnd end)
{
    const bool sent
            = end != Steering::AttemptEnd::Unreachable && end != Steering::AttemptEnd::Withheld;
    if (sent) {
        this->metrics.addToCounter(
                "currantfall_requests_sent_total",
                { { "service", attempt.service.value() }, { "region", attempt.region.value() } });
    }
}

void RequestSteering::addToHistory(ActiveRequest &activeRequest, const Attempt &attempt)
{
    nlohmann::ordered_json entry {
        { "server", attempt.exchange->server.name.value() },
        { "zone", attempt.exchange->server.zone.value() },
        { "region", attempt.region.value() },
        { "configuration", attempt.configuration },
        { "position", attempt.position },
        { "warm", attempt.warm },
        { "start_ms", absl::ToInt64Milliseconds(attempt.start - activeRequest.start) },
        { "ms", absl::ToInt64Milliseconds(Common::monotonicNow() - attempt.start) },
        { "end", attempt.result ? toString(attempt.result->end) : "unfinished" }
    };
    if (attempt.hedge) {
        entry["hedge"] = true;
    }
    if (attempt.result && !attempt.result->detail.empty()) {
        entry["detail"] = attempt.result->detail;
    }
    activeRequest.history.push_back(std::move(entry));
}

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
    this->countRequest(activeRequest, status);
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
    if (!activeRequest.scope.homes.allRegions()) {
        auto &homes = fields["homes"] = nlohmann::ordered_json::array();
        for (const Common::RegionName &region : activeRequest.scope.homes.list()) {
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
