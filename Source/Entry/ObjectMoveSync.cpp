#include "ObjectMoveSync.h"

#include <memory>
#include <utility>
#include <vector>

namespace Currantfall::Entry {

namespace Wire = Peering::Wire;
using Membership::SpreadDuty;

namespace {

Wire::ObjectMovesT toWire(const std::vector<Steering::ObjectMove> &moves)
{
    Wire::ObjectMovesT message;
    for (const Steering::ObjectMove &move : moves) {
        auto entry = std::make_unique<Wire::ObjectMoveT>();
        entry->service = move.service.value();
        entry->object = move.object;
        entry->server = move.server.value();
        entry->from = move.from.value();
        entry->sequence = move.sequence;
        message.moves.push_back(std::move(entry));
    }
    return message;
}

} // namespace

ObjectMoveSync::ObjectMoveSync(RequestSteering &steering, PeerChannel peers, Common::EventLog &log)
    : steering(steering), peers(std::move(peers)), log(log)
{ }

void ObjectMoveSync::sendNewMoves()
{
    const auto moves = this->steering.selector().takeMoves();
    if (moves.empty()) {
        return;
    }
    this->peers.spread(this->peers.plan().targets(SpreadDuty::Fleet), withDuty(toWire(moves)));
    for (const Steering::ObjectMove &move : moves) {
        this->log.important("object_moved", { { "service", move.service.value() },
                                              { "object", move.object },
                                              { "from", move.from.value() },
                                              { "to", move.server.value() } });
    }
}

void ObjectMoveSync::onLinkUp(const Common::VmName &peer)
{
    const auto moves = this->steering.selector().moves();
    if (moves.empty()) {
        return;
    }
    Wire::ObjectMovesT message = toWire(moves);
    // A peer of another zone may be the only one of its zone with a link to this one.
    message.duty = static_cast<std::uint8_t>(SpreadDuty::Zone);
    this->peers.send({ peer }, toBody(std::move(message)));
}

void ObjectMoveSync::onMessage(const Common::VmName &peer, const Wire::ObjectMovesT &message)
{
    std::vector<Steering::ObjectMove> appliedMoves;
    for (const auto &entry : message.moves) {
        if (entry == nullptr) {
            continue;
        }
        Steering::ObjectMove move { Common::ServiceName(entry->service), entry->object,
                                    Common::BackendServerName(entry->server),
                                    Common::BackendServerName(entry->from), entry->sequence };
        if (this->steering.selector().applyMove(move, Common::monotonicNow())) {
            appliedMoves.push_back(std::move(move));
        }
    }
    if (!appliedMoves.empty()) {
        const auto duty = Membership::spreadDutyOf(message.duty);
        this->peers.spread(this->peers.plan().targets(peer, duty), withDuty(toWire(appliedMoves)));
    }
}

} // namespace Currantfall::Entry
