#pragma once

#include "PeerChannel.h"
#include "RequestSteering.h"

namespace Currantfall::Entry {

/// Shares the outcomes of requests to failing backend servers with the other entry VMs of the
/// region: its VMs send requests to the same servers, mostly those of the region, and traffic
/// between regions is expensive.
class OutcomeSync
{
public:
    OutcomeSync(RequestSteering &steering, PeerChannel peers);

    /// Sends the outcomes that have changed since the last call.
    void sendChanges(Common::Instant now);
    void onMessage(const Common::VmName &peer, const Peering::Wire::OutcomeReportT &message,
                   Common::Instant now);

private:
    RequestSteering &steering;
    PeerChannel peers;
};

} // namespace Currantfall::Entry
