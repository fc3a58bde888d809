#include "ObjectMoveSync.h"

#include <memory>
#include <utility>

namespace Currantfall::Entry {

namespace Wire = Peering::Wire;

ObjectMoveSync::ObjectMoveSync(RequestSteering &steering, Hooks hooks, Common::EventLog &log)
    : steering(steering), hooks(std::move(hooks)), log(log)
{ }

void ObjectMoveSync::sendNewMoves()
{
    const auto moves = this->steering.selector().takeMoves();
    this->sendMoves(moves, this->hooks.peers());
    for (const Steering::ObjectMove &move : moves) {
        this->log.important("object_moved", { { "service", move.service.value() },
                                              { "object", move.object },
                                              { "from", move.from.value() },
                                              { "to", move.server.value() } });
    }
}

void ObjectMoveSync::onLinkUp(const Common::VmName &peer)
{
    this->sendMoves(this->steering.selector().moves(), { peer });
}

void ObjectMoveSync::sendMoves(const std::vector<Steering::ObjectMove> &moves,
                               const std::vector<Common::VmName> &peers) const
{
    if (moves.empty()) {
        return;
    }
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
    for (const Common::VmName &peer : peers) {
        auto copy = message;
        Wire::BodyUnion body;
        body.Set(std::move(copy));
        this->hooks.send(peer, std::move(body));
    }
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
    std::vector<Common::VmName> others = this->hooks.peers();
    std::erase(others, peer);
    this->sendMoves(appliedMoves, others);
}

} // namespace Currantfall::Entry
