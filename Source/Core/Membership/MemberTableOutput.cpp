#include <algorithm>
#include <cstdint>
#include <iterator>
#include <utility>

#include "currantfall/Common/RendezvousHash.h"

#include "MemberTableState.h"

namespace Currantfall::Membership {

namespace {

using Common::Instant;
using Common::VmName;
using Common::ZoneName;

constexpr std::size_t partnersPerZone = 2;
/// Period of the state check, as a fraction of the heartbeat base.
constexpr int ageingsPerHeartbeat = 2;
/// If every member of a zone is suspect, other partners are tried after this time, since the first
/// two may be gone while the platform's list still names them.
constexpr absl::Duration partnerRotation = absl::Seconds(10);
/// A member whose digest arrived within this many digest intervals gets digests even if this VM
/// would not have chosen it: the views of both zones may differ for a while.
constexpr int partnerIntervals = 4;

} // namespace

Outgoing MemberTable::State::advance(Instant now)
{
    this->observe(now);
    if (now >= this->nextAgeing) {
        this->age(now);
        this->nextAgeing = now + this->settings.heartbeatBase / ageingsPerHeartbeat;
    }
    Outgoing outgoing;
    if (now >= this->nextHeartbeat) {
        outgoing.heartbeat = this->makeHeartbeat(now);
        this->nextHeartbeat = now + this->heartbeatInterval();
    }
    this->addRelays(now, outgoing.digests);
    if (now >= this->nextDigest) {
        this->addZoneDigests(now, outgoing.digests);
        this->scheduleDigest(now);
    }
    return outgoing;
}

Instant MemberTable::State::nextDue() const
{
    Instant due = std::min({ this->nextAgeing, this->nextHeartbeat, this->nextDigest });
    for (const auto &[zone, relay] : this->relays) {
        if (relay.pending) {
            due = std::min(due, relay.notBefore);
        }
    }
    return due;
}

absl::Duration MemberTable::State::heartbeatInterval() const
{
    const double bytesPerRound = static_cast<double>(this->ownZoneMates + 1) * 2
                                 * static_cast<double>(this->settings.frameBytes);
    return std::max(this->settings.heartbeatBase,
                    absl::Seconds(bytesPerRound / this->settings.bytesPerSecond));
}

std::vector<Endpoint> MemberTable::State::peersToConnect()
{
    std::map<VmName, Endpoint> chosen;
    const auto add = [&](const VmName &vm) {
        const MemberRecord *record = this->find(vm);
        if (record != nullptr && !record->member.address.empty()) {
            const Member &member = record->member;
            chosen.insert_or_assign(
                    vm, Endpoint { vm, member.address, member.portBase, record->peerEndpoint });
        }
    };
    for (const auto &[zone, members] : this->zones()) {
        if (zone == this->self.zone) {
            for (const MemberRecord *record : members) {
                add(record->member.vm);
            }
            continue;
        }
        const std::vector<VmName> ownPartners = this->partnersOf(this->self.zone, zone);
        if (std::find(ownPartners.begin(), ownPartners.end(), this->self.vm) == ownPartners.end()) {
            continue;
        }
        for (const VmName &vm : this->partnersOf(zone, this->self.zone)) {
            add(vm);
        }
    }
    for (const auto &[vm, since] : this->requestedPeers) {
        add(vm);
    }
    std::vector<Endpoint> result;
    result.reserve(chosen.size());
    std::transform(chosen.begin(), chosen.end(), std::back_inserter(result),
                   [](auto &entry) { return std::move(entry.second); });
    return result;
}

const std::map<ZoneName, MemberTable::State::ZoneMembers> &MemberTable::State::zones()
{
    if (!this->zoneIndexValid) {
        this->zoneIndex.clear();
        for (auto &[vm, record] : this->records) {
            if (!record.member.zone.empty()) {
                this->zoneIndex[record.member.zone].push_back(&record);
            }
        }
        this->zoneIndexValid = true;
    }
    return this->zoneIndex;
}

std::vector<VmName> MemberTable::State::partnersOf(const ZoneName &zone, const ZoneName &towards)
{
    std::vector<VmName> candidates;
    std::vector<VmName> suspects;
    const auto found = this->zones().find(zone);
    if (found != this->zones().end()) {
        for (const MemberRecord *record : found->second) {
            const bool suspect = record->member.state == MemberState::Suspect;
            (suspect ? suspects : candidates).push_back(record->member.vm);
        }
    }
    if (zone == this->self.zone) {
        candidates.push_back(this->self.vm);
    }
    std::string key = zone.value() + ">" + towards.value();
    if (candidates.empty()) {
        candidates = std::move(suspects);
        const double turn = absl::FDivDuration(this->lastCall.sinceOrigin(), partnerRotation);
        // Appended in two steps: "#" + a temporary string gives a false -Wrestrict in g++ 12.
        key += '#';
        key += std::to_string(static_cast<std::int64_t>(turn));
    }
    const auto nameOf = [](const VmName &vm) -> const std::string & { return vm.value(); };
    return Common::topCandidates(key, std::move(candidates), partnersPerZone, nameOf);
}

OutgoingHeartbeat MemberTable::State::makeHeartbeat(Instant now)
{
    OutgoingHeartbeat outgoing;
    outgoing.to = this->linkedMates();
    outgoing.heartbeat.vm = this->self.vm;
    outgoing.heartbeat.incarnation = this->self.incarnation;
    outgoing.heartbeat.sequence = ++this->sequence;
    outgoing.heartbeat.sentAt = now.sinceOrigin();
    outgoing.heartbeat.reported = this->own;
    return outgoing;
}

void MemberTable::State::addZoneDigests(Instant now, std::vector<OutgoingDigest> &digests)
{
    std::vector<VmName> recipients;
    for (const auto &[zone, members] : this->zones()) {
        if (zone == this->self.zone) {
            continue;
        }
        std::vector<VmName> chosen = this->digestRecipients(now, zone, members);
        std::move(chosen.begin(), chosen.end(), std::back_inserter(recipients));
    }
    if (recipients.empty()) {
        return;
    }
    const absl::Duration interval
            = std::max(this->currentDigestInterval, this->heartbeatInterval());
    digests.push_back(this->makeDigest(now, this->self.zone, interval, std::move(recipients)));
}

void MemberTable::State::addRelays(Instant now, std::vector<OutgoingDigest> &digests)
{
    std::vector<VmName> mates;
    for (auto &[zone, relay] : this->relays) {
        if (!relay.pending || now < relay.notBefore) {
            continue;
        }
        relay.pending = false;
        // Half an interval lets the digests of a sender through that come slightly early.
        relay.notBefore = now + this->currentDigestInterval / 2;
        if (mates.empty()) {
            mates = this->linkedMates();
        }
        if (mates.empty()) {
            continue;
        }
        const absl::Duration interval = std::max(this->currentDigestInterval, relay.interval);
        digests.push_back(this->makeDigest(now, zone, interval, mates));
    }
}

std::vector<VmName> MemberTable::State::digestRecipients(Instant now, const ZoneName &zone,
                                                         const ZoneMembers &members)
{
    std::vector<VmName> partners;
    const std::vector<VmName> ownPartners = this->partnersOf(this->self.zone, zone);
    if (std::find(ownPartners.begin(), ownPartners.end(), this->self.vm) != ownPartners.end()) {
        partners = this->partnersOf(zone, this->self.zone);
    }
    const absl::Duration recent = partnerIntervals * this->currentDigestInterval;
    std::vector<VmName> recipients;
    for (const MemberRecord *record : members) {
        const VmName &vm = record->member.vm;
        const bool chosen = std::find(partners.begin(), partners.end(), vm) != partners.end();
        if (record->linked() && (chosen || now - record->lastDigest <= recent)) {
            recipients.push_back(vm);
        }
    }
    return recipients;
}

std::vector<VmName> MemberTable::State::linkedMates()
{
    std::vector<VmName> mates;
    const auto found = this->zones().find(this->self.zone);
    if (found == this->zones().end()) {
        return mates;
    }
    for (const MemberRecord *record : found->second) {
        if (record->linked()) {
            mates.push_back(record->member.vm);
        }
    }
    return mates;
}

std::vector<DigestEntry> MemberTable::State::entriesOf(Instant now, const ZoneMembers &members)
{
    std::vector<DigestEntry> entries;
    const std::size_t count = std::min(members.size(), this->settings.maxDigestEntries);
    if (count == 0) {
        return entries;
    }
    std::size_t &cursor = this->entryCursors[members.front()->member.zone];
    for (std::size_t taken = 0; taken < count; ++taken) {
        const MemberRecord &record = *members[(cursor + taken) % members.size()];
        const absl::Duration age = now - record.member.lastHeard;
        // Members that are about to be removed are of no use to others.
        if (!record.heard() || age > this->settings.removeAfter) {
            continue;
        }
        const Member &member = record.member;
        DigestEntry entry;
        entry.identity = { member.vm,          member.zone,    member.region,
                           member.incarnation, member.address, member.portBase };
        entry.reported
                = { record.reportedLeaving, member.revision, member.keyPrefix, member.loads };
        entry.age = age;
        entries.push_back(std::move(entry));
    }
    cursor = (cursor + count) % members.size();
    return entries;
}

std::vector<DigestEntry> MemberTable::State::zoneEntries(Instant now, const ZoneName &zone)
{
    std::vector<DigestEntry> entries;
    const auto members = this->zones().find(zone);
    if (members != this->zones().end()) {
        entries = this->entriesOf(now, members->second);
    }
    if (zone == this->self.zone) {
        entries.push_back(this->ownEntry());
    }
    return entries;
}

DigestEntry MemberTable::State::ownEntry() const
{
    return { this->self, this->own, absl::ZeroDuration() };
}

void MemberTable::State::scheduleDigest(Instant now)
{
    const double share = this->settings.briefDigests ? 1 - fullDigestShare : 1;
    // Relays are at most two per zone and interval, so that the interval settles.
    const absl::Duration affordable
            = absl::Seconds(this->digestBytes / (this->settings.digestBytesPerSecond * share));
    this->digestBytes = 0;
    this->currentDigestInterval = std::max(this->heartbeatInterval(), affordable);
    this->nextDigest = now + this->currentDigestInterval;
}

} // namespace Currantfall::Membership
