#include "OutcomeSync.h"

#include <algorithm>
#include <memory>
#include <utility>

namespace Currantfall::Entry {

namespace Wire = Peering::Wire;

OutcomeSync::OutcomeSync(RequestSteering &steering, Hooks hooks)
    : steering(steering), hooks(std::move(hooks))
{ }

void OutcomeSync::sendChanges(Common::Instant now)
{
    this->sendReport(this->steering.outcomes().takeReport(now), {});
}

void OutcomeSync::sendReport(const Steering::OutcomeReport &report,
                             Membership::Recipients recipients) const
{
    if (report.servers.empty()) {
        return;
    }
    recipients.add(this->hooks.self);
    const auto peers = recipients.addMissing(this->hooks.peers());
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
    message.recipients = recipients.hashes();
    for (const Common::VmName &peer : peers) {
        auto copy = message;
        Wire::BodyUnion body;
        body.Set(std::move(copy));
        this->hooks.send(peer, std::move(body));
    }
}

void OutcomeSync::onMessage(const Wire::OutcomeReportT &message, Common::Instant now)
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
    if (this->steering.outcomes().apply(report, now)) {
        this->sendReport(report, Membership::Recipients(message.recipients));
    }
}

} // namespace Currantfall::Entry
