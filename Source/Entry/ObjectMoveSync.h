#pragma once

#include <functional>
#include <vector>

#include "currantfall/Common/EventLog.h"
#include "currantfall/Peering/PeerTransport.h"

#include "RequestSteering.h"

namespace Currantfall::Entry {

/// Sends the moves of objects to other backend servers to the other entry VMs, and applies the
/// moves that they send.
class ObjectMoveSync
{
public:
    struct Hooks
    {
        std::function<std::vector<Common::VmName>()> peers;
        std::function<void(const Common::VmName &peer, Peering::Wire::BodyUnion body)> send;
    };

    ObjectMoveSync(RequestSteering &steering, Hooks hooks, Common::EventLog &log);

    /// Sends the moves that were made since the last call.
    void sendNewMoves();
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
