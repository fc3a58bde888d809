#include "currantfall/Steering/FleetOutcomes.h"

#include <cmath>
#include <utility>

namespace Currantfall::Steering {

namespace {

// Half-life of the counts. Lets an excluded server get requests again after a few seconds.
constexpr absl::Duration countHalfLife = absl::Seconds(2);
// Minimum number of failures before a server is excluded. Two failures may be coincidence.
constexpr double minFailures = 2.5;
// Minimum number of VMs with recent failures, unless this VM alone counts `minFailures`. A single
// VM may have a faulty network path to a healthy server.
constexpr std::size_t minReportingVms = 2;
// Minimum fraction of failed requests before a server is excluded. A server that still answers some
// requests from its warm cache is better than other servers with cold caches.
constexpr double minFailureFraction = 0.8;
// Minimum failure count of a VM that is considered recent. Smaller counts are decayed remainders of
// old failures.
constexpr double minRecentFailures = 0.5;
// All VMs report their counts of a server for this time after a failure.
constexpr absl::Duration reportingPeriod = absl::Seconds(4);
// Interval between reports of a server that has had no failures since the last report.
constexpr absl::Duration successReportInterval = absl::Seconds(1);

} // namespace

OutcomeCounts FleetOutcomes::decayed(const Window &window, Common::Instant now)
{
    const double weight = std::exp2(-absl::FDivDuration(now - window.at, countHalfLife));
    return { window.counts.answered * weight, window.counts.failed * weight };
}

OutcomeCounts &FleetOutcomes::ownCounts(Server &server, Common::Instant now)
{
    Window &window = server.windows[this->self];
    window.counts = decayed(window, now);
    window.at = now;
    return window.counts;
}

bool FleetOutcomes::reportDue(const Server &server, Common::Instant now)
{
    return now - server.lastFailureAt < reportingPeriod
           && (server.failedSinceReport
               || (server.answeredSinceReport && now - server.reportedAt >= successReportInterval));
}

void FleetOutcomes::onAnswered(const Common::BackendServerName &server, Common::Instant now)
{
    Server &entry = this->servers[server];
    this->ownCounts(entry, now).answered += 1.0;
    entry.answeredSinceReport = true;
}

void FleetOutcomes::onFailed(const Common::BackendServerName &server, Common::Instant now,
                             double weight)
{
    Server &entry = this->servers[server];
    this->ownCounts(entry, now).failed += weight;
    entry.lastFailureAt = now;
    entry.failedSinceReport = true;
}

void FleetOutcomes::forget(const Common::BackendServerName &server)
{
    this->servers.erase(server);
}

OutcomeReport FleetOutcomes::takeReport(Common::Instant now)
{
    OutcomeReport report;
    report.vm = this->self;
    for (auto &[name, server] : this->servers) {
        if (reportDue(server, now)) {
            server.reportedAt = now;
            server.failedSinceReport = false;
            server.answeredSinceReport = false;
            report.servers.push_back({ name, this->ownCounts(server, now) });
        }
    }
    if (!report.servers.empty()) {
        report.sequence = ++this->lastSequence;
    }
    return report;
}

bool FleetOutcomes::apply(const OutcomeReport &report, Common::Instant now)
{
    std::uint64_t &known = this->sequences[report.vm];
    if (report.vm == this->self || report.sequence <= known) {
        return false;
    }
    known = report.sequence;
    for (const ServerOutcomes &outcomes : report.servers) {
        Server &server = this->servers[outcomes.server];
        if (outcomes.counts.failed >= minRecentFailures) {
            server.lastFailureAt = now;
        }
        server.windows[report.vm] = { outcomes.counts, now };
    }
    return true;
}

bool FleetOutcomes::failing(const Common::BackendServerName &server, Common::Instant now) const
{
    const auto found = this->servers.find(server);
    // Fast path: this is called for every server on each request, and nearly all servers have never
    // failed.
    if (found == this->servers.end()
        || found->second.lastFailureAt == Common::Instant::fromOrigin(-absl::InfiniteDuration())) {
        return false;
    }
    OutcomeCounts sum;
    std::size_t reportingVms = 0;
    double ownFailures = 0.0;
    for (const auto &[vm, window] : found->second.windows) {
        const OutcomeCounts counts = decayed(window, now);
        reportingVms += counts.failed >= minRecentFailures ? 1 : 0;
        ownFailures += vm == this->self ? counts.failed : 0.0;
        sum.answered += counts.answered;
        sum.failed += counts.failed;
    }
    const bool confirmed = reportingVms >= minReportingVms || ownFailures >= minFailures;
    return confirmed && sum.failed >= minFailures
           && sum.failed >= minFailureFraction * (sum.failed + sum.answered);
}

} // namespace Currantfall::Steering
