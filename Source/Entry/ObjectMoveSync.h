#pragma once

#include "currantfall/Common/EventLog.h"

#include "PeerChannel.h"
#include "RequestSteering.h"

namespace Currantfall::Entry {

/// Sends the moves of objects to other backend servers to the other entry VMs, and applies the
/// moves that they send.
class ObjectMoveSync
{
public:
    ObjectMoveSync(RequestSteering &steering, PeerChannel peers, Common::EventLog &log);

    /// Sends the moves that were made since the last call.
    void sendNewMoves();
    void onLinkUp(const Common::VmName &peer);
    void onMessage(const Common::VmName &peer, const Peering::Wire::ObjectMovesT &message);

private:
    RequestSteering &steering;
    PeerChannel peers;
    Common::EventLog &log;
};

} // namespace Currantfall::Entry
