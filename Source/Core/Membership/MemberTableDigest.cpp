#include <algorithm>
#include <utility>

#include "MemberTableState.h"

namespace Currantfall::Membership {

namespace {

using Common::Instant;
using Common::VmName;
using Common::ZoneName;

/// Bytes of a brief digest without entries, with its share of TCP and IP headers.
constexpr double briefBytes = 200;
/// A member that was not heard for this many intervals has its own entry, so that its age does not
/// count for the others.
constexpr int restIntervals = 2;

} // namespace

MemberTable::State::BaseMember MemberTable::State::BaseMember::create(const DigestEntry &entry)
{
    BaseMember member { entry.identity.incarnation,
                        entry.reported.leaving,
                        entry.reported.revision > 0,
                        entry.reported.keyPrefix,
                        {} };
    for (const ServiceLoad &load : entry.reported.loads) {
        if (load.totalSlots > 0) {
            member.servicesWithSlots.push_back(load.service);
        }
    }
    return member;
}

OutgoingDigest MemberTable::State::makeDigest(Instant now, const ZoneName &zone,
                                              absl::Duration interval, std::vector<VmName> to)
{
    OutgoingDigest outgoing;
    outgoing.to = std::move(to);
    outgoing.digest.sentAt = now.sinceOrigin();
    outgoing.digest.interval = interval;
    outgoing.digest.zone = zone;
    outgoing.digest.entries = this->zoneEntries(now, zone);
    if (!this->settings.briefDigests
        || outgoing.digest.entries.size() > this->settings.maxDigestEntries) {
        this->digestBytes += this->bytesOf(outgoing);
        return outgoing;
    }
    SentBase &base = this->sentBases[zone];
    const bool allHaveBase
            = std::all_of(outgoing.to.begin(), outgoing.to.end(),
                          [&base](const VmName &vm) { return base.recipients.contains(vm); });
    if (!allHaveBase || now >= base.nextFull || !this->makeBrief(base, outgoing)) {
        this->startBase(now, base, outgoing);
        return outgoing;
    }
    this->digestBytes
            += this->bytesOf(outgoing) + briefBytes * static_cast<double>(outgoing.to.size());
    return outgoing;
}

bool MemberTable::State::makeBrief(const SentBase &base, OutgoingDigest &outgoing) const
{
    Digest &digest = outgoing.digest;
    const absl::Duration limit
            = restIntervals * std::max(digest.interval, this->heartbeatInterval());
    std::vector<DigestEntry> differing;
    std::set<VmName> present;
    for (const DigestEntry &entry : digest.entries) {
        present.insert(entry.identity.vm);
        const auto known = base.members.find(entry.identity.vm);
        const bool changed
                = known == base.members.end() || known->second != BaseMember::create(entry);
        if (changed || entry.age > limit) {
            differing.push_back(entry);
        } else {
            digest.restAge = std::max(digest.restAge, entry.age);
        }
    }
    for (const auto &[vm, member] : base.members) {
        if (!present.contains(vm)) {
            DigestEntry removed;
            removed.identity.vm = vm;
            differing.push_back(std::move(removed));
        }
    }
    if (2 * differing.size() > digest.entries.size()) {
        digest.restAge = absl::ZeroDuration();
        return false;
    }
    digest.entries = std::move(differing);
    digest.brief = true;
    digest.base = base.number;
    return true;
}

void MemberTable::State::startBase(Instant now, SentBase &base, OutgoingDigest &outgoing)
{
    base.number = ++this->lastBase;
    base.recipients = { outgoing.to.begin(), outgoing.to.end() };
    base.members.clear();
    for (const DigestEntry &entry : outgoing.digest.entries) {
        base.members.emplace(entry.identity.vm, BaseMember::create(entry));
    }
    outgoing.digest.base = base.number;
    const double budget = this->settings.digestBytesPerSecond * fullDigestShare
                          / static_cast<double>(std::max<std::size_t>(this->sentBases.size(), 1));
    base.nextFull = now + absl::Seconds(this->bytesOf(outgoing) / budget);
}

void MemberTable::State::applyBase(Instant now, const VmName &from, const Digest &digest,
                                   absl::Duration delay, absl::Duration interval)
{
    ReceivedBase &base = this->receivedBases[{ from, digest.zone }];
    if (!digest.brief) {
        base.number = digest.base;
        base.members.clear();
        base.members.reserve(digest.entries.size());
        for (const DigestEntry &entry : digest.entries) {
            base.members.emplace_back(entry.identity.vm, entry.identity.incarnation);
        }
        return;
    }
    if (base.number != digest.base) {
        return; // The full digest was lost with an earlier link; the next one follows.
    }
    std::set<VmName> differing;
    for (const DigestEntry &entry : digest.entries) {
        differing.insert(entry.identity.vm);
    }
    const Instant heardAt = now - std::max(digest.restAge, absl::ZeroDuration()) - delay;
    for (const auto &[vm, incarnation] : base.members) {
        MemberRecord *record = this->find(vm);
        if (record != nullptr && record->member.incarnation == incarnation
            && record->member.lastHeard < heardAt && !differing.contains(vm)) {
            this->applySign(now, *record, heardAt, interval);
        }
    }
}

void MemberTable::State::forgetBases(const VmName &vm)
{
    for (auto &[zone, base] : this->sentBases) {
        base.recipients.erase(vm);
    }
    const auto first = this->receivedBases.lower_bound({ vm, ZoneName() });
    auto last = first;
    while (last != this->receivedBases.end() && last->first.first == vm) {
        ++last;
    }
    this->receivedBases.erase(first, last);
}

double MemberTable::State::bytesOf(const OutgoingDigest &outgoing) const
{
    const std::size_t entries = outgoing.to.size() * outgoing.digest.entries.size();
    return static_cast<double>(entries * this->settings.digestEntryBytes);
}

} // namespace Currantfall::Membership
