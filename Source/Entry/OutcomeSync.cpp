#include "OutcomeSync.h"

#include <memory>
#include <utility>

namespace Currantfall::Entry {

namespace Wire = Peering::Wire;
using Membership::SpreadDuty;

namespace {

Wire::OutcomeReportT toWire(const Steering::OutcomeReport &report)
{
    Wire::OutcomeReportT message;
    message.vm = report.vm.value();
    message.sequence = report.sequence;
    for (const Steering::ServerOutcomes &outcomes : report.servers) {
        auto entry = std::make_unique<Wire::ServerOutcomesT>();
        entry->server = outcomes.server.value();
        entry->answered = static_cast<float>(outcomes.counts.answered);
        entry->failed = static_cast<float>(outcomes.counts.failed);
        message.servers.push_back(std::move(entry));
    }
    return message;
}

} // namespace

OutcomeSync::OutcomeSync(RequestSteering &steering, PeerChannel peers)
    : steering(steering), peers(std::move(peers))
{ }

void OutcomeSync::sendChanges(Common::Instant now)
{
    const Steering::OutcomeReport report = this->steering.outcomes().takeReport(now);
    if (!report.servers.empty()) {
        this->peers.spread(this->peers.plan().targets(SpreadDuty::Region),
                           withDuty(toWire(report)));
    }
}

void OutcomeSync::onMessage(const Common::VmName &peer, const Wire::OutcomeReportT &message,
                            Common::Instant now)
{
    Steering::OutcomeReport report;
    report.vm = Common::VmName(message.vm);
    report.sequence = message.sequence;
    for (const auto &entry : message.servers) {
        if (entry != nullptr) {
            report.servers.push_back({ Common::BackendServerName(entry->server),
                                       { entry->answered, entry->failed } });
        }
    }
    const auto duty = Membership::spreadDutyOf(message.duty);
    // VMs of earlier versions send to all their peers, also those of other regions.
    const bool known = duty != SpreadDuty::Everyone;
    if (this->steering.outcomes().apply(report, now)) {
        this->peers.spread(this->peers.plan().targets(peer, known ? duty : SpreadDuty::Region),
                           withDuty(toWire(report)));
    }
}

} // namespace Currantfall::Entry
