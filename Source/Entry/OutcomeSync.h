#pragma once

#include <functional>
#include <vector>

#include "currantfall/Membership/Recipients.h"
#include "currantfall/Peering/PeerTransport.h"

#include "RequestSteering.h"

namespace Currantfall::Entry {

/// Shares the outcomes of requests to failing backend servers with other entry VMs.
class OutcomeSync
{
public:
    struct Hooks
    {
        Common::VmName self;
        std::function<std::vector<Common::VmName>()> peers;
        std::function<void(const Common::VmName &peer, Peering::Wire::BodyUnion body)> send;
    };

    OutcomeSync(RequestSteering &steering, Hooks hooks);

    /// Sends the outcomes that have changed since the last call.
    void sendChanges(Common::Instant now);
    void onMessage(const Peering::Wire::OutcomeReportT &message, Common::Instant now);

private:
    /// Sends the report to the peers that are not yet among its recipients.
    void sendReport(const Steering::OutcomeReport &report, Membership::Recipients recipients) const;

    RequestSteering &steering;
    Hooks hooks;
};

} // namespace Currantfall::Entry
