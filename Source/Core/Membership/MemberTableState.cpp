#include "MemberTableState.h"

#include <algorithm>
#include <set>
#include <utility>

namespace Currantfall::Membership {

namespace {

using Common::Instant;

/// A digest that names a longer interval is not believed: suspicion would take hours.
constexpr absl::Duration maxNewsInterval = absl::Minutes(5);

} // namespace

MemberTable::State::State(Instant now, Identity self, MembershipSettings settings)
    : self(std::move(self)), settings(settings), lastCall(now), nextHeartbeat(now), nextDigest(now),
      nextAgeing(now), currentDigestInterval(settings.heartbeatBase)
{ }

void MemberTable::State::applyPlatformList(Instant now, const std::vector<ListedVm> &list)
{
    this->observe(now);
    std::set<Common::VmName> names;
    for (const ListedVm &row : list) {
        if (row.vm == this->self.vm || !Common::isValidName(row.vm.value())) {
            continue;
        }
        names.insert(row.vm);
        MemberRecord *known = this->find(row.vm);
        MemberRecord &record = known != nullptr ? *known : this->create(now, row.vm);
        record.listed = true;
        record.listedLeaving = row.leaving;
        if (record.peerEndpoint != row.peerEndpoint) {
            record.peerEndpoint = row.peerEndpoint;
            this->touchTopology(record);
        }
        // The list lags, so what a live member said about itself takes precedence.
        if (!record.alive() || record.member.address.empty()) {
            this->place(record, row.zone, row.region, row.address, row.portBase);
        }
        this->updateState(now, record);
    }
    for (auto &[vm, record] : this->records) {
        if (!names.contains(vm)) {
            record.listed = false;
            record.listedLeaving = false;
            this->updateState(now, record);
        }
    }
}

void MemberTable::State::applyHeartbeat(Instant now, const Heartbeat &heartbeat)
{
    this->observe(now);
    MemberRecord *record = this->find(heartbeat.vm);
    if (record == nullptr || heartbeat.incarnation < record->member.incarnation) {
        return;
    }
    if (heartbeat.incarnation > record->member.incarnation) {
        this->restart(now, *record, heartbeat.incarnation);
    }
    if (heartbeat.sequence <= record->lastSequence) {
        return;
    }
    record->lastSequence = heartbeat.sequence;
    const absl::Duration delay = record->delay.excess(now, heartbeat.sentAt);
    this->applyNews(now, *record, heartbeat.reported, now - delay, absl::ZeroDuration());
}

void MemberTable::State::applyDigest(Instant now, const Common::VmName &from, const Digest &digest)
{
    this->observe(now);
    MemberRecord *sender = this->find(from);
    if (sender == nullptr) {
        return;
    }
    sender->lastDigest = now;
    const absl::Duration delay = sender->delay.excess(now, digest.sentAt);
    const absl::Duration interval
            = std::clamp(digest.interval, absl::ZeroDuration(), maxNewsInterval);
    for (const DigestEntry &entry : digest.entries) {
        if (entry.identity.vm != this->self.vm && Common::isValidName(entry.identity.vm.value())) {
            this->applyEntry(now, entry, delay, interval);
        }
    }
    if (digest.base != 0) {
        this->applyBase(now, from, digest, delay, interval);
    }
    // The zone of the sender is relayed; relayed entries of other zones are not, or news would
    // circulate.
    if (sender->member.zone != this->self.zone) {
        Relay &relay = this->relays[sender->member.zone];
        relay.pending = true;
        relay.interval = interval;
    }
}

void MemberTable::State::applyEntry(Instant now, const DigestEntry &entry, absl::Duration delay,
                                    absl::Duration interval)
{
    const Identity &identity = entry.identity;
    if (!Common::isValidName(identity.zone.value())) {
        return; // A member that the sender has removed.
    }
    const absl::Duration age = std::max(entry.age, absl::ZeroDuration()) + delay;
    MemberRecord *record = this->find(identity.vm);
    if (record == nullptr) {
        const absl::Duration limit
                = this->settings.suspectIntervals * std::max(interval, this->heartbeatInterval());
        if (age > limit) {
            return; // Old news must not bring back a member that was removed.
        }
        record = &this->create(now, identity.vm);
    }
    if (identity.incarnation < record->member.incarnation) {
        return;
    }
    if (identity.incarnation > record->member.incarnation) {
        this->restart(now, *record, identity.incarnation);
    }
    const Instant heardAt = now - age;
    if (heardAt <= record->member.lastHeard) {
        return;
    }
    if (!record->linked()) {
        this->place(*record, identity.zone, identity.region, identity.address, identity.portBase);
    }
    this->applyNews(now, *record, entry.reported, heardAt, interval);
}

void MemberTable::State::applyLinkUp(Instant now, const Identity &peer)
{
    this->observe(now);
    if (peer.vm == this->self.vm || !Common::isValidName(peer.vm.value())) {
        return;
    }
    MemberRecord *known = this->find(peer.vm);
    MemberRecord &record = known != nullptr ? *known : this->create(now, peer.vm);
    if (peer.incarnation < record.member.incarnation) {
        return;
    }
    if (peer.incarnation > record.member.incarnation) {
        this->restart(now, record, peer.incarnation);
    }
    this->forgetBases(peer.vm);
    record.linkedIncarnation = peer.incarnation;
    this->place(record, peer.zone, peer.region, peer.address, peer.portBase);
    this->updateState(now, record);
}

void MemberTable::State::applyLinkDown(Instant now, const Common::VmName &vm,
                                       Common::Incarnation incarnation)
{
    this->observe(now);
    MemberRecord *record = this->find(vm);
    if (record != nullptr && record->linkedIncarnation == incarnation) {
        record->linkedIncarnation = 0;
        this->forgetBases(vm);
    }
}

void MemberTable::State::setOwnState(Instant now, ReportedState state)
{
    this->observe(now);
    if (state == this->own) {
        return;
    }
    const bool urgent = state.leaving != this->own.leaving || state.revision != this->own.revision
                        || state.keyPrefix != this->own.keyPrefix;
    if (urgent) {
        // Loads wait for the next heartbeat, but peers must stop sending work to a leaving VM.
        this->nextHeartbeat = now;
    }
    if (state.leaving != this->own.leaving) {
        ++this->topologyVersion;
    }
    this->own = std::move(state);
    ++this->version;
}

void MemberTable::State::requestPeer(Instant now, const Common::VmName &vm)
{
    this->observe(now);
    this->requestedPeers[vm] = now;
}

void MemberTable::State::observe(Instant now)
{
    const absl::Duration gap = now - this->lastCall;
    const Instant before = this->lastCall;
    this->lastCall = std::max(this->lastCall, now);
    if (gap <= this->settings.lease) {
        return;
    }
    if (!this->pauseStart) {
        this->pauseStart = before;
    }
    this->resumedAt = now;
    for (auto &[vm, record] : this->records) {
        const bool awaited = record.alive() && record.member.zone == this->self.zone;
        record.awaitedAfterPause = record.awaitedAfterPause || awaited;
        record.heardSincePause = false;
        this->updateState(now, record);
    }
}

void MemberTable::State::endPause(Instant now)
{
    if (!this->pauseStart || now == this->resumedAt) {
        return;
    }
    bool awaited = false;
    bool missing = false;
    bool anyHeard = false;
    for (const auto &[vm, record] : this->records) {
        awaited = awaited || record.awaitedAfterPause;
        missing = missing || (record.awaitedAfterPause && !record.heardSincePause);
        anyHeard = anyHeard || (record.heardSincePause && record.alive());
    }
    const bool heard = awaited ? !missing : anyHeard;
    // After a lease in which it could hear, the view is as good as that of any partitioned VM.
    if (!heard && now - this->resumedAt < this->settings.lease) {
        return;
    }
    this->pauseStart.reset();
    for (auto &[vm, record] : this->records) {
        record.awaitedAfterPause = false;
    }
}

MemberRecord *MemberTable::State::find(const Common::VmName &vm)
{
    const auto found = this->records.find(vm);
    return found == this->records.end() ? nullptr : &found->second;
}

MemberRecord &MemberTable::State::create(Instant now, const Common::VmName &vm)
{
    MemberRecord &record = this->records[vm];
    record.member.vm = vm;
    record.knownSince = now;
    this->zoneIndexValid = false;
    this->touchTopology(record);
    return record;
}

void MemberTable::State::restart(Instant now, MemberRecord &record, Common::Incarnation incarnation)
{
    this->forgetBases(record.member.vm);
    const Member &before = record.member;
    Member fresh;
    fresh.vm = before.vm;
    fresh.zone = before.zone;
    fresh.region = before.region;
    fresh.address = before.address;
    fresh.portBase = before.portBase;
    fresh.incarnation = incarnation;
    record.member = std::move(fresh);
    record.reportedLeaving = false;
    record.listedLeaving = false;
    record.linkedIncarnation = 0;
    record.knownSince = now;
    record.lastSequence = 0;
    record.newsInterval = absl::ZeroDuration();
    record.delay = DelayEstimator();
    record.awaitedAfterPause = false;
    record.heardSincePause = true;
    this->touchTopology(record);
}

void MemberTable::State::place(MemberRecord &record, const Common::ZoneName &zone,
                               const Common::RegionName &region, const std::string &address,
                               std::uint16_t portBase)
{
    Member &member = record.member;
    if (member.zone == zone && member.region == region && member.address == address
        && member.portBase == portBase) {
        return;
    }
    if (member.zone != zone) {
        this->zoneIndexValid = false;
        this->ownZoneMates -= member.zone == this->self.zone ? 1 : 0;
        this->ownZoneMates += zone == this->self.zone ? 1 : 0;
    }
    member.zone = zone;
    member.region = region;
    member.address = address;
    member.portBase = portBase;
    this->touchTopology(record);
}

void MemberTable::State::applyNews(Instant now, MemberRecord &record, const ReportedState &reported,
                                   Instant heardAt, absl::Duration interval)
{
    Member &member = record.member;
    member.revision = reported.revision;
    member.keyPrefix = reported.keyPrefix;
    member.loads = reported.loads;
    record.reportedLeaving = reported.leaving;
    this->applySign(now, record, heardAt, interval);
}

void MemberTable::State::applySign(Instant now, MemberRecord &record, Instant heardAt,
                                   absl::Duration interval)
{
    if (heardAt >= this->resumedAt) {
        record.heardSincePause = true;
    }
    record.member.lastHeard = std::max(record.member.lastHeard, heardAt);
    record.newsInterval = interval;
    this->touch(record);
    this->updateState(now, record);
}

void MemberTable::State::updateState(Instant now, MemberRecord &record)
{
    const Instant since = record.heard() ? record.member.lastHeard : record.knownSince;
    MemberState state = MemberState::Live;
    if (!record.heardSincePause || now - since > this->suspectTime(record)) {
        state = MemberState::Suspect;
    } else if (!record.heard()) {
        state = MemberState::Unknown;
    } else if (record.reportedLeaving || record.listedLeaving) {
        state = MemberState::Leaving;
    }
    if (state != record.member.state) {
        record.member.state = state;
        this->touchTopology(record);
    }
}

absl::Duration MemberTable::State::suspectTime(const MemberRecord &record) const
{
    return this->settings.suspectIntervals
           * std::max(record.newsInterval, this->heartbeatInterval());
}

void MemberTable::State::age(Instant now)
{
    for (auto position = this->records.begin(); position != this->records.end();) {
        MemberRecord &record = position->second;
        this->updateState(now, record);
        const bool forgotten
                = !record.heard() || now - record.member.lastHeard > this->settings.removeAfter;
        if (!record.listed && !record.linked() && !record.alive() && forgotten) {
            this->ownZoneMates -= record.member.zone == this->self.zone ? 1 : 0;
            position = this->records.erase(position);
            this->zoneIndexValid = false;
            ++this->version;
            ++this->topologyVersion;
        } else {
            ++position;
        }
    }
    std::erase_if(this->requestedPeers, [&](const auto &request) {
        return now - request.second > this->settings.requestedPeerIdle;
    });
    this->endPause(now);
}

void MemberTable::State::touch(MemberRecord &record)
{
    record.snapshot.reset();
    ++this->version;
}

void MemberTable::State::touchTopology(MemberRecord &record)
{
    this->touch(record);
    ++this->topologyVersion;
}

std::shared_ptr<const Member> MemberTable::State::ownMember() const
{
    auto member = std::make_shared<Member>();
    member->vm = this->self.vm;
    member->zone = this->self.zone;
    member->region = this->self.region;
    member->address = this->self.address;
    member->portBase = this->self.portBase;
    member->incarnation = this->self.incarnation;
    member->revision = this->own.revision;
    member->state = this->own.leaving ? MemberState::Leaving : MemberState::Live;
    member->keyPrefix = this->own.keyPrefix;
    member->loads = this->own.loads;
    member->lastHeard = this->lastCall;
    return member;
}

std::shared_ptr<const MemberView> MemberTable::State::view()
{
    if (this->cachedView != nullptr && this->cachedView->version() == this->version) {
        return this->cachedView;
    }
    std::vector<std::shared_ptr<const Member>> members;
    members.reserve(this->records.size() + 1);
    const auto ownPosition = this->records.lower_bound(this->self.vm);
    for (auto position = this->records.begin(); position != this->records.end(); ++position) {
        if (position == ownPosition) {
            members.push_back(this->ownMember());
        }
        MemberRecord &record = position->second;
        if (record.snapshot == nullptr) {
            record.snapshot = std::make_shared<const Member>(record.member);
        }
        members.push_back(record.snapshot);
    }
    if (ownPosition == this->records.end()) {
        members.push_back(this->ownMember());
    }
    this->cachedView = std::make_shared<const MemberView>(this->version, this->topologyVersion,
                                                          std::move(members));
    return this->cachedView;
}

} // namespace Currantfall::Membership
