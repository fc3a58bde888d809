#include "currantfall/Steering/FleetOutcomes.h"

#include <cmath>
#include <utility>

namespace Currantfall::Steering {

namespace {

// Counts have half of their weight after this time, so that a server that was given up is tried
// again after a few seconds.
constexpr absl::Duration countHalfLife = absl::Seconds(2);
// Failures without which no server is given up; two may be chance.
constexpr double fewestFailures = 2.5;
// VMs that must have seen it fail, unless the deciding VM has seen enough itself: one VM may have a
// bad path to a sound server.
constexpr std::size_t fewestWitnesses = 2;
// Part of the requests that a given-up server fails. A server that still answers some requests is
// worth more than the cold caches of others.
constexpr double failingPart = 0.8;
// Counts of other VMs from which a server is suspected; smaller ones are what is left of old
// failures.
constexpr double suspiciousCount = 0.5;
// Time after a failure in which all VMs report what they see of the server.
constexpr absl::Duration suspicionTime = absl::Seconds(4);
// Time between reports of a server that has only answered.
constexpr absl::Duration answersInterval = absl::Seconds(1);

} // namespace

OutcomeCounts FleetOutcomes::decayed(const Window &window, Common::Instant now)
{
    const double weight = std::exp2(-absl::FDivDuration(now - window.at, countHalfLife));
    return { window.counts.answered * weight, window.counts.failed * weight };
}

OutcomeCounts &FleetOutcomes::own(Server &server, Common::Instant now)
{
    Window &window = server.windows[this->self];
    window.counts = decayed(window, now);
    window.at = now;
    return window.counts;
}

bool FleetOutcomes::reportDue(const Server &server, Common::Instant now)
{
    return now - server.suspectedAt < suspicionTime
           && (server.failedSince
               || (server.answeredSince && now - server.reportedAt >= answersInterval));
}

void FleetOutcomes::onAnswered(const Common::BackendServerName &server, Common::Instant now)
{
    Server &entry = this->servers[server];
    this->own(entry, now).answered += 1.0;
    entry.answeredSince = true;
}

void FleetOutcomes::onFailed(const Common::BackendServerName &server, Common::Instant now,
                             double weight)
{
    Server &entry = this->servers[server];
    this->own(entry, now).failed += weight;
    entry.suspectedAt = now;
    entry.failedSince = true;
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
            server.failedSince = false;
            server.answeredSince = false;
            report.servers.push_back({ name, this->own(server, now) });
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
        if (outcomes.counts.failed >= suspiciousCount) {
            server.suspectedAt = now;
        }
        server.windows[report.vm] = { outcomes.counts, now };
    }
    return true;
}

bool FleetOutcomes::failing(const Common::BackendServerName &server, Common::Instant now) const
{
    const auto found = this->servers.find(server);
    // Asked for every server of each request, nearly all of which no VM has ever seen failing.
    if (found == this->servers.end()
        || found->second.suspectedAt == Common::Instant::fromOrigin(-absl::InfiniteDuration())) {
        return false;
    }
    OutcomeCounts sum;
    std::size_t witnesses = 0;
    double ownFailures = 0.0;
    for (const auto &[vm, window] : found->second.windows) {
        const OutcomeCounts counts = decayed(window, now);
        witnesses += counts.failed >= suspiciousCount ? 1 : 0;
        ownFailures += vm == this->self ? counts.failed : 0.0;
        sum.answered += counts.answered;
        sum.failed += counts.failed;
    }
    const bool seen = witnesses >= fewestWitnesses || ownFailures >= fewestFailures;
    return seen && sum.failed >= fewestFailures
           && sum.failed >= failingPart * (sum.failed + sum.answered);
}

} // namespace Currantfall::Steering
