#include <map>
#include <set>
#include <utility>
#include <vector>

#include "EntryDaemon.h"

// The part of EntryDaemon that deals with the other entry VMs.

namespace Currantfall::Entry {

using Membership::MemberState;

Common::Result<void> EntryDaemon::startCluster(Common::Incarnation minIncarnation)
{
    Cluster::Hooks hooks;
    hooks.onMessage = [this](const Common::VmName &peer, Peering::Wire::MessageT &message) {
        const Common::Instant now = Common::monotonicNow();
        if (const auto *update = message.body.AsStoreUpdate()) {
            this->storeSync->onUpdate(peer, *update, now);
        } else if (const auto *request = message.body.AsStoreRequest()) {
            this->storeSync->onRequest(peer, *request, now);
        } else if (const auto *moves = message.body.AsObjectMoves()) {
            this->objectMoveSync->onMessage(peer, *moves);
        } else if (const auto *outcomes = message.body.AsOutcomeReport()) {
            this->outcomeSync->onMessage(peer, *outcomes, now);
        } else if (const auto *returned = message.body.AsReturnedZones()) {
            this->onReturnedZones(*returned, now);
        } else if (const auto *quotaRequest = message.body.AsQuotaRequest()) {
            this->quotaSync->onMessage(peer, *quotaRequest, now);
        } else if (const auto *quotaGrant = message.body.AsQuotaGrant()) {
            this->quotaSync->onMessage(peer, *quotaGrant, now);
        }
    };
    hooks.onLinkUp = [this](const Common::VmName &peer) {
        this->storeSync->onLinkUp(peer, Common::monotonicNow());
        this->objectMoveSync->onLinkUp(peer);
        this->sendReturnedZones(peer);
        this->updateQuotaPeers();
    };
    hooks.onMembersChanged = [this] { this->onMembersChanged(); };
    hooks.processorShareOf
            = [this](const Common::VmName &vm) { return this->processorShareOf(vm); };
    hooks.ownState = [this] {
        Membership::ReportedState state;
        state.leaving = this->leaving;
        state.revision = this->steering.configuration() == nullptr || this->refusingNew
                                 ? 0
                                 : this->steering.configuration()->version();
        return state;
    };
    hooks.onIncarnationOutdated = [this](Common::Incarnation known) {
        // Posted, because restarting destroys the cluster that runs this callback.
        boost::asio::post(this->context, [this, known] { this->restartCluster(known); });
    };
    auto started = Cluster::start(this->context, this->settings, minIncarnation, std::move(hooks),
                                  this->log);
    if (!started) {
        return tl::unexpected(started.error());
    }
    this->cluster = std::move(*started);
    this->clusterStartedAt = Common::monotonicNow();
    this->steering.outcomes().startRun(this->cluster->incarnation());
    return {};
}

void EntryDaemon::restartCluster(Common::Incarnation known)
{
    // Several peers may report the same incarnation.
    if (this->leaving || known < this->cluster->incarnation()) {
        return;
    }
    this->log.important("incarnation_outdated",
                        { { "own", this->cluster->incarnation() }, { "known", known } });
    // The old cluster must release its port before the new one can listen on it.
    this->cluster.reset();
    if (const auto started = this->startCluster(known + 1); !started) {
        this->log.important("cluster_failed", Common::errorFields(started.error()));
        this->stopEventLoop();
        return;
    }
    this->onVmRows();
}

void EntryDaemon::startPeerSync()
{
    this->objectMoveSync
            = std::make_unique<ObjectMoveSync>(this->steering, this->peerChannel(), this->log);
    this->outcomeSync = std::make_unique<OutcomeSync>(this->steering, this->peerChannel());
    this->quotaSync = std::make_unique<QuotaSync>(this->steering.quotas(), this->peerChannel());
}

PeerChannel EntryDaemon::peerChannel()
{
    // The cluster may be replaced.
    PeerChannel channel;
    channel.plan
            = [this]() -> const Membership::SpreadPlan & { return this->cluster->spreadPlan(); };
    channel.send = [this](const auto &peers, Peering::Wire::BodyUnion body) {
        this->cluster->send(peers, std::move(body));
    };
    channel.spread = [this](const auto &targets, const auto &message) {
        this->cluster->spread(targets, message);
    };
    channel.readsCompressedValues
            = [this](const auto &peer) { return this->cluster->readsCompressedValues(peer); };
    return channel;
}

void EntryDaemon::sendReturnedZones(const Common::VmName &peer)
{
    Peering::Wire::ReturnedZonesT message;
    for (const Steering::ReturnedZone &returned :
         this->steering.selector().returnedZones(Common::monotonicNow())) {
        auto entry = std::make_unique<Peering::Wire::ReturnedZoneT>();
        entry->zone = returned.zone.value();
        entry->age_ms = static_cast<std::uint32_t>(absl::ToInt64Milliseconds(returned.age));
        message.zones.push_back(std::move(entry));
    }
    Peering::Wire::BodyUnion body;
    body.Set(std::move(message));
    this->cluster->send({ peer }, std::move(body));
}

void EntryDaemon::onReturnedZones(const Peering::Wire::ReturnedZonesT &message, Common::Instant now)
{
    std::vector<Steering::ReturnedZone> zones;
    for (const auto &entry : message.zones) {
        if (entry != nullptr) {
            zones.push_back({ Common::ZoneName(entry->zone), absl::Milliseconds(entry->age_ms) });
        }
    }
    this->steering.selector().applyReturnedZones(zones, now);
}

void EntryDaemon::onMembersChanged()
{
    std::vector<Common::VmName> vms { this->settings.vm };
    std::map<Common::VmName, Membership::MemberState> states;
    nlohmann::ordered_json changes;
    for (const auto &member : this->cluster->members().members()) {
        states.emplace(member->vm, member->state);
        const auto before = this->memberStates.find(member->vm);
        if (before == this->memberStates.end() || before->second != member->state) {
            changes[member->vm.value()] = Membership::toString(member->state);
        }
        // A VM that is unreachable from here may still send requests to backend servers.
        if (member->vm != this->settings.vm && member->incarnation != 0) {
            vms.push_back(member->vm);
        }
    }
    for (const auto &[vm, state] : this->memberStates) {
        if (!states.contains(vm)) {
            changes[vm.value()] = "removed";
        }
    }
    this->memberStates = std::move(states);
    this->steering.selector().setVms(std::move(vms));
    this->updateQuotaPeers();
    if (!changes.empty()) {
        this->log.important("members", { { "count", this->memberStates.size() },
                                         { "changes", std::move(changes) } });
    }
}

void EntryDaemon::updateQuotaPeers()
{
    Quotas::QuotaKeeper &keeper = this->steering.quotas().keeper();
    if (!keeper.hasLimits()) {
        this->cluster->setExtraPeers({});
        return;
    }
    std::set<Common::VmName> reachable;
    for (const auto &member : this->cluster->members().members()) {
        // VMs of the own zone are linked; links to others are made when they are needed.
        const bool sendable
                = member->zone != this->settings.zone || this->cluster->hasLink(member->vm);
        if (member->state == MemberState::Live && sendable) {
            reachable.insert(member->vm);
        }
    }
    keeper.setReachable(std::move(reachable));
    this->cluster->setExtraPeers(keeper.wantedLinks());
}

} // namespace Currantfall::Entry
