#pragma once

#include <functional>
#include <vector>

#include "currantfall/Membership/Recipients.h"
#include "currantfall/Peering/PeerTransport.h"

#include "RequestSteering.h"

namespace Currantfall::Entry {

/// Tells other entry VMs how requests at failing backend servers ended, and learns it from them.
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

    /// Sends what has changed since the last call.
    void sendNew(Common::Instant now);
    void onMessage(const Peering::Wire::OutcomeReportT &message, Common::Instant now);

private:
    /// Sends the report to the peers that have not got it.
    void sendReport(const Steering::OutcomeReport &report, Membership::Recipients recipients) const;

    RequestSteering &steering;
    Hooks hooks;
};

} // namespace Currantfall::Entry
