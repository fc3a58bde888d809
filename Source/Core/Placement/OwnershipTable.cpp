#include "currantfall/Placement/OwnershipTable.h"

#include <algorithm>
#include <set>

#include "currantfall/Common/RendezvousHash.h"

namespace Currantfall::Placement {

namespace {

using ZoneMembers = absl::flat_hash_map<Common::ZoneName, std::vector<const PlacementMember *>>;

ZoneMembers byZone(const std::vector<MemberHeard> &members, bool suspect)
{
    ZoneMembers result;
    for (const MemberHeard &heard : members) {
        if (!heard.member.leaving && heard.member.suspect == suspect) {
            result[heard.member.zone].push_back(&heard.member);
        }
    }
    return result;
}

/// The members that can own servers of `zone`: its own, or those of the first zone of its region,
/// in document order, that has any. Nullptr if there are none.
const std::vector<const PlacementMember *> *
candidatesFor(const Configuration::Environment &environment, const ZoneMembers &members,
              const Common::ZoneName &zone)
{
    const auto own = members.find(zone);
    if (own != members.end()) {
        return &own->second;
    }
    const Configuration::Region *region = environment.regionOf(zone);
    if (region == nullptr) {
        return nullptr;
    }
    for (const Common::ZoneName &near : region->zones) {
        const auto found = members.find(near);
        if (found != members.end()) {
            return &found->second;
        }
    }
    return nullptr;
}

/// True if `left` is preferred to `right` as the owner of a server of `zone`. The order is total.
bool precedes(const Common::BackendServerName &server, const Common::ZoneName &zone,
              const PlacementMember &left, const PlacementMember &right)
{
    const bool leftLocal = left.zone == zone;
    const bool rightLocal = right.zone == zone;
    if (leftLocal != rightLocal) {
        return leftLocal;
    }
    const std::uint64_t leftWeight = Common::rendezvousWeight(server.value(), left.vm.value());
    const std::uint64_t rightWeight = Common::rendezvousWeight(server.value(), right.vm.value());
    return leftWeight != rightWeight ? leftWeight > rightWeight : left.vm < right.vm;
}

const PlacementMember *ownerAmong(const std::vector<const PlacementMember *> *candidates,
                                  const Configuration::BackendServer &server)
{
    if (candidates == nullptr) {
        return nullptr;
    }
    const auto best = std::min_element(
            candidates->begin(), candidates->end(),
            [&server](const PlacementMember *left, const PlacementMember *right) {
                return precedes(server.name, server.zone, *left, *right);
            });
    return *best;
}

} // namespace

OwnershipTable::OwnershipTable(Common::VmName self, Common::Instant started)
    : self(std::move(self)), notBefore(started + ownershipLease)
{ }

std::vector<OwnershipChange> OwnershipTable::update(Common::Instant now,
                                                    const Configuration::Environment &environment,
                                                    const std::vector<MemberHeard> &members)
{
    this->learn(members);
    this->byService.clear();
    const ZoneMembers eligible = byZone(members, false);
    const ZoneMembers suspects = byZone(members, true);
    std::vector<OwnershipChange> changes;
    std::set<Common::BackendServerName> present;
    for (const Configuration::Service &service : environment.services) {
        std::vector<Common::BackendServerName> &names = this->byService[service.name];
        for (const Configuration::BackendServer &backend : service.backendServers) {
            names.push_back(backend.name);
            present.insert(backend.name);
            Server &server = this->servers[backend.name];
            server.slots = backend.slots;
            const auto *candidates = candidatesFor(environment, eligible, backend.zone);
            const PlacementMember *owner = ownerAmong(candidates, backend);
            this->extendClaims(server);
            this->changeOwner(now, server, owner);
            const auto *silent = candidatesFor(environment, suspects, backend.zone);
            if (silent != nullptr && owner != nullptr) {
                for (const PlacementMember *suspect : *silent) {
                    if (precedes(backend.name, backend.zone, *suspect, *owner)) {
                        this->addSilentClaim(now, server, *suspect);
                    }
                }
            }
            this->assess(now, backend.name, server, changes);
        }
    }
    for (auto server = this->servers.begin(); server != this->servers.end();) {
        if (present.contains(server->first)) {
            ++server;
            continue;
        }
        if (server->second.state != OwnershipState::NotOwned) {
            changes.push_back({ server->first, OwnershipState::NotOwned });
        }
        server = this->servers.erase(server);
    }
    return changes;
}

std::vector<OwnershipChange> OwnershipTable::advance(Common::Instant now)
{
    std::vector<OwnershipChange> changes;
    for (auto &[name, server] : this->servers) {
        this->assess(now, name, server, changes);
    }
    return changes;
}

std::vector<OwnershipChange>
OwnershipTable::applyRelease(Common::Instant now, const Common::BackendServerName &backendServer,
                             const Common::VmName &vm, Common::Incarnation incarnation)
{
    std::vector<OwnershipChange> changes;
    const auto found = this->servers.find(backendServer);
    if (found == this->servers.end()) {
        return changes;
    }
    Server &server = found->second;
    const auto claim = server.claims.find(vm);
    if (claim == server.claims.end()) {
        server.earlyRelease = EarlyRelease { vm, incarnation, now };
        return changes;
    }
    if (claim->second.incarnation == incarnation) {
        server.claims.erase(claim);
        this->assess(now, backendServer, server, changes);
    }
    return changes;
}

std::vector<OwnershipChange> OwnershipTable::pause(Common::Instant now)
{
    this->notBefore = std::max(this->notBefore, now + ownershipLease);
    return this->advance(now);
}

void OwnershipTable::released(const Common::BackendServerName &backendServer)
{
    const auto found = this->servers.find(backendServer);
    if (found != this->servers.end() && found->second.state == OwnershipState::Releasing) {
        found->second.state = OwnershipState::NotOwned;
    }
}

OwnershipState OwnershipTable::state(const Common::BackendServerName &backendServer) const
{
    const auto found = this->servers.find(backendServer);
    return found == this->servers.end() ? OwnershipState::NotOwned : found->second.state;
}

std::optional<Common::VmName>
OwnershipTable::owner(const Common::BackendServerName &backendServer) const
{
    const auto found = this->servers.find(backendServer);
    return found == this->servers.end() ? std::nullopt : found->second.owner;
}

std::vector<Common::BackendServerName>
OwnershipTable::ownedOf(const Common::ServiceName &service) const
{
    std::vector<Common::BackendServerName> result;
    const auto names = this->byService.find(service);
    if (names == this->byService.end()) {
        return result;
    }
    for (const Common::BackendServerName &name : names->second) {
        if (this->state(name) == OwnershipState::Owned) {
            result.push_back(name);
        }
    }
    return result;
}

std::vector<std::pair<Common::VmName, std::size_t>>
OwnershipTable::ownersOf(const Common::ServiceName &service) const
{
    std::vector<std::pair<Common::VmName, std::size_t>> result;
    const auto names = this->byService.find(service);
    if (names == this->byService.end()) {
        return result;
    }
    for (const Common::BackendServerName &name : names->second) {
        const Server &server = this->servers.at(name);
        if (!server.owner) {
            continue;
        }
        const auto entry = std::find_if(result.begin(), result.end(), [&server](const auto &item) {
            return item.first == *server.owner;
        });
        if (entry == result.end()) {
            result.emplace_back(*server.owner, server.slots);
        } else {
            entry->second += server.slots;
        }
    }
    return result;
}

Common::Instant OwnershipTable::nextDue() const
{
    Common::Instant due = Common::Instant::infinite();
    for (const auto &item : this->servers) {
        if (item.second.state == OwnershipState::Waiting) {
            due = std::min(due, this->waitEnds(item.second));
        }
    }
    return due;
}

void OwnershipTable::learn(const std::vector<MemberHeard> &members)
{
    for (auto &item : this->known) {
        item.second.live = false;
    }
    for (const MemberHeard &heard : members) {
        Known &entry = this->known[heard.member.vm];
        entry.lastHeard = std::max(entry.lastHeard, heard.lastHeard);
        entry.incarnation = heard.member.incarnation;
        entry.live = !heard.member.suspect;
    }
}

void OwnershipTable::changeOwner(Common::Instant now, Server &server, const PlacementMember *owner)
{
    const bool unchanged = owner == nullptr ? !server.owner : server.owner == owner->vm;
    if (unchanged) {
        if (owner != nullptr) {
            server.ownerIncarnation = owner->incarnation;
        }
        return;
    }
    if (server.owner && *server.owner != this->self && !this->wasReleased(now, server)) {
        const auto entry = this->known.find(*server.owner);
        const bool live = entry != this->known.end() && entry->second.live;
        // A live owner learns of the change at about the same time; a silent one may have started
        // work until it was last heard, and stops one lease later.
        const Common::Instant from
                = live || entry == this->known.end() ? now : entry->second.lastHeard;
        server.claims[*server.owner] = { server.ownerIncarnation, now, from + ownershipLease };
    }
    server.earlyRelease.reset();
    server.owner.reset();
    if (owner != nullptr) {
        server.owner = owner->vm;
        server.ownerIncarnation = owner->incarnation;
    }
}

void OwnershipTable::addSilentClaim(Common::Instant now, Server &server,
                                    const PlacementMember &suspect)
{
    // A VM that starts or resumes while the owner is silent has never seen it as the owner.
    const Common::Instant until = this->known.at(suspect.vm).lastHeard + ownershipLease;
    if (until <= now || suspect.vm == this->self) {
        return;
    }
    Claim &claim = server.claims.try_emplace(suspect.vm, Claim { suspect.incarnation, now, until })
                           .first->second;
    claim.until = std::max(claim.until, until);
}

void OwnershipTable::extendClaims(Server &server)
{
    for (auto &[vm, claim] : server.claims) {
        const auto entry = this->known.find(vm);
        if (entry == this->known.end()) {
            continue;
        }
        const Common::Instant from = std::min(entry->second.lastHeard, claim.learned);
        claim.until = std::max(claim.until, from + ownershipLease);
    }
}

bool OwnershipTable::wasReleased(Common::Instant now, const Server &server) const
{
    // An older release may be from before the owner took the server again.
    return server.earlyRelease && server.earlyRelease->vm == *server.owner
           && server.earlyRelease->incarnation == server.ownerIncarnation
           && now - server.earlyRelease->received < ownershipLease;
}

Common::Instant OwnershipTable::waitEnds(const Server &server) const
{
    Common::Instant result = this->notBefore;
    for (const auto &[vm, claim] : server.claims) {
        if (vm != this->self) {
            result = std::max(result, claim.until);
        }
    }
    return result;
}

void OwnershipTable::assess(Common::Instant now, const Common::BackendServerName &name,
                            Server &server, std::vector<OwnershipChange> &changes)
{
    std::erase_if(server.claims, [now](const auto &item) { return item.second.until <= now; });
    OwnershipState next = server.state;
    if (server.owner == this->self) {
        next = this->waitEnds(server) <= now ? OwnershipState::Owned : OwnershipState::Waiting;
    } else if (next == OwnershipState::Owned || next == OwnershipState::Waiting) {
        next = OwnershipState::Releasing;
    }
    if (next != server.state) {
        server.state = next;
        changes.push_back({ name, next });
    }
}

} // namespace Currantfall::Placement
