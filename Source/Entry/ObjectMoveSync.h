#pragma once

#include <functional>
#include <vector>

#include "currantfall/Common/EventLog.h"
#include "currantfall/Peering/PeerTransport.h"

#include "RequestSteering.h"

namespace Currantfall::Entry {

/// Tells other entry VMs which objects this one moved to other backend servers, and follows their
/// moves.
class ObjectMoveSync
{
public:
    struct Hooks
    {
        std::function<std::vector<Common::VmName>()> peers;
        std::function<void(const Common::VmName &peer, Peering::Wire::BodyUnion body)> send;
    };

    ObjectMoveSync(RequestSteering &steering, Hooks hooks, Common::EventLog &log);

    /// Sends the moves since the last call.
    void sendNew();
    void onLinkUp(const Common::VmName &peer);
    void onMessage(const Common::VmName &peer, const Peering::Wire::ObjectMovesT &message);

private:
    void sendMoves(const std::vector<Steering::ObjectMove> &moves,
                   const std::vector<Common::VmName> &peers) const;

    RequestSteering &steering;
    Hooks hooks;
    Common::EventLog &log;
};

} // namespace Currantfall::Entry
