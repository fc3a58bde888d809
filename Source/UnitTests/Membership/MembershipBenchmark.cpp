#include <algorithm>
#include <cstdint>
#include <ctime>
#include <iostream>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include <catch2/catch.hpp>
#include <malloc.h>
#include <nlohmann/json.hpp>

#include "currantfall/Membership/MemberTable.h"
#include "currantfall/Peering/FrameCodec.h"

// Prints the slopes of the control plane's cost; run with the tag [.benchmark].

using namespace Currantfall;
using namespace Currantfall::Membership;
using Common::Instant;
using Common::VmName;

namespace {

constexpr int simulatedMs = 300'000;
constexpr int advanceMs = 50;
constexpr std::size_t entryBytes = 340;
constexpr double fullBytesPerSecond = 2'500;

double cpuSeconds()
{
    timespec time {};
    ::clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
    return absl::ToDoubleSeconds(absl::DurationFromTimespec(time));
}

Instant at(std::int64_t milliseconds)
{
    return Instant::fromOrigin(absl::Milliseconds(milliseconds));
}

ReportedState typicalState()
{
    ReportedState state;
    state.revision = 1'000;
    state.keyPrefix = "1~vm-00001~6123456789abc~vm-00002~6123456789abc~42";
    for (const std::string service : { "slotview", "bellbook", "scrollcast", "oldnews" }) {
        state.loads.push_back({ Common::ServiceName(service), 3, 9, 1 });
    }
    return state;
}

template<typename Target>
void fill(Target &target, const ReportedState &reported)
{
    target.revision = reported.revision;
    target.key_prefix = reported.keyPrefix;
    for (const ServiceLoad &load : reported.loads) {
        auto entry = std::make_unique<Peering::Wire::ServiceLoadT>();
        entry->service = load.service.value();
        entry->free_slots = load.freeSlots;
        entry->total_slots = load.totalSlots;
        entry->queued = load.queued;
        target.loads.push_back(std::move(entry));
    }
}

std::size_t frameBytes(const Heartbeat &heartbeat)
{
    Peering::Wire::HeartbeatT value;
    value.vm = heartbeat.vm.value();
    value.incarnation = heartbeat.incarnation;
    value.sequence = heartbeat.sequence;
    value.sent_ms = static_cast<std::uint64_t>(absl::ToInt64Milliseconds(heartbeat.sentAt));
    fill(value, heartbeat.reported);
    Peering::Wire::MessageT message;
    message.body.Set(std::move(value));
    return encodeFrame(Peering::protocolVersion, Peering::LinkClass::Control, message).size();
}

std::size_t frameBytes(const Digest &digest)
{
    Peering::Wire::MemberDigestT value;
    value.sent_ms = static_cast<std::uint64_t>(absl::ToInt64Milliseconds(digest.sentAt));
    for (const DigestEntry &entry : digest.entries) {
        auto wire = std::make_unique<Peering::Wire::MemberEntryT>();
        wire->vm = entry.identity.vm.value();
        wire->zone = entry.identity.zone.value();
        wire->region = entry.identity.region.value();
        wire->address = entry.identity.address;
        wire->port_base = entry.identity.portBase;
        wire->incarnation = entry.identity.incarnation;
        wire->age_ms = static_cast<std::uint32_t>(absl::ToInt64Milliseconds(entry.age));
        fill(*wire, entry.reported);
        value.entries.push_back(std::move(wire));
    }
    Peering::Wire::MessageT message;
    message.body.Set(std::move(value));
    return encodeFrame(Peering::protocolVersion, Peering::LinkClass::Control, message).size();
}

Identity identity(int index, int zones)
{
    const int zone = index % zones;
    return { VmName("vm-" + std::to_string(10'000 + index)),
             Common::ZoneName("zone-" + std::to_string(zone)),
             Common::RegionName("region-" + std::to_string(zone % 16)),
             1,
             "127.100.100.100",
             7000 };
}

/// One VM's table, fed with the messages of all others.
class Load
{
public:
    /// `self` is a multiple of `zones`, so that the own zone is the first one.
    Load(int self, int members, int zones, const MembershipSettings &settings)
        : table(std::move(*MemberTable::create(at(0), identity(self, zones), settings))),
          briefDigests(settings.briefDigests)
    {
        const std::size_t before = ::mallinfo2().uordblks;
        std::vector<ListedVm> rows;
        rows.reserve(static_cast<std::size_t>(members));
        for (int index = 0; index < members; ++index) {
            if (index == self) {
                continue;
            }
            const Identity peer = identity(index, zones);
            rows.push_back({ peer.vm, peer.zone, peer.region, peer.address, peer.portBase, false });
            if (index % zones == 0) {
                this->mates.push_back(peer);
            } else {
                this->others.resize(static_cast<std::size_t>(zones));
                this->others[static_cast<std::size_t>(index % zones)].push_back(peer);
            }
        }
        this->table.applyPlatformList(at(0), rows);
        rows = {};
        for (const Identity &mate : this->mates) {
            this->table.applyLinkUp(at(0), mate);
            this->linked.insert(mate.vm);
        }
        this->table.setOwnState(at(0), typicalState());
        this->play(0, 5'000);
        this->memoryBytes = ::mallinfo2().uordblks - before;
    }

    /// Simulates the time span; returns the CPU seconds spent in the table.
    double play(std::int64_t fromMs, std::int64_t toMs)
    {
        double spent = 0;
        for (std::int64_t now = fromMs; now < toMs; now += advanceMs) {
            this->connect(now);
            const std::vector<Heartbeat> heartbeats = this->heartbeatsDue(now);
            const std::vector<std::pair<VmName, Digest>> digests = this->digestsDue(now);
            const double before = cpuSeconds();
            for (const Heartbeat &heartbeat : heartbeats) {
                this->table.applyHeartbeat(at(now), heartbeat);
            }
            const double afterHeartbeats = cpuSeconds();
            for (const auto &[from, digest] : digests) {
                this->table.applyDigest(at(now), from, digest);
            }
            const double afterDigests = cpuSeconds();
            const Outgoing outgoing = this->table.advance(at(now));
            const double afterAdvance = cpuSeconds();
            this->table.view();
            spent += cpuSeconds() - before;
            this->heartbeatCpu += afterHeartbeats - before;
            this->digestCpu += afterDigests - afterHeartbeats;
            this->advanceCpu += afterAdvance - afterDigests;
            this->heartbeatsIn += heartbeats.size();
            for (const auto &[from, digest] : digests) {
                this->digestEntriesIn += digest.entries.size();
                this->bytesIn += frameBytes(digest);
            }
            this->bytesIn += this->heartbeatFrame * heartbeats.size();
            this->countOutgoing(outgoing);
        }
        return spent;
    }

    MemberTable table;
    std::vector<Identity> mates;
    std::vector<std::vector<Identity>> others; // By zone; empty for the own zone.
    std::size_t memoryBytes = 0;
    std::size_t heartbeatsIn = 0;
    std::size_t digestEntriesIn = 0;
    double heartbeatCpu = 0;
    double digestCpu = 0;
    double advanceCpu = 0;
    std::size_t bytesIn = 0;
    std::size_t bytesOut = 0;
    std::size_t partnerZones = 0; // Zones to which this VM sends digests.
    std::size_t heartbeatFrame = 0;
    std::size_t largestDigestFrame = 0;

private:
    /// Links to partners in other zones come up when the table asks for them.
    void connect(std::int64_t now)
    {
        if (now % 1'000 != 0) {
            return;
        }
        const auto view = this->table.view();
        const std::vector<Endpoint> peers = this->table.peersToConnect();
        this->partners.clear();
        for (const Endpoint &peer : peers) {
            const Member *member = view->find(peer.vm);
            if (member->zone != Common::ZoneName("zone-0")) {
                this->partners.emplace(member->zone, member->vm);
            }
            if (!this->linked.insert(member->vm).second) {
                continue;
            }
            this->table.applyLinkUp(at(now), { member->vm, member->zone, member->region, 1,
                                               member->address, member->portBase });
        }
        this->partnerZones = this->partners.size();
    }

    std::vector<Heartbeat> heartbeatsDue(std::int64_t now)
    {
        std::vector<Heartbeat> due;
        if (at(now) < this->nextHeartbeats) {
            return due;
        }
        this->nextHeartbeats = at(now) + this->table.heartbeatInterval();
        ++this->sequence;
        due.reserve(this->mates.size());
        for (const Identity &mate : this->mates) {
            due.push_back({ mate.vm, 1, this->sequence, absl::Milliseconds(now), typicalState() });
        }
        return due;
    }

    /// The sender's digest: full ones at the interval that its budget allows, others brief.
    Digest digestOf(std::int64_t now, const std::vector<Identity> &zone, bool partner)
    {
        Digest digest;
        digest.sentAt = absl::Milliseconds(now);
        digest.interval = this->table.digestInterval();
        digest.zone = zone.front().zone;
        digest.base = this->briefDigests ? 1 : 0;
        digest.restAge = absl::Milliseconds(100);
        Instant &nextFull = this->nextFull[digest.zone];
        digest.brief = this->briefDigests && at(now) < nextFull;
        if (digest.brief) {
            return digest;
        }
        const double recipients = partner ? 2 : static_cast<double>(this->mates.size() + 2);
        nextFull = at(now)
                   + absl::Seconds(recipients * static_cast<double>(zone.size() * entryBytes)
                                   / fullBytesPerSecond);
        digest.entries.reserve(zone.size());
        for (const Identity &peer : zone) {
            digest.entries.push_back({ peer, typicalState(), absl::Milliseconds(100) });
        }
        return digest;
    }

    /// Every other zone arrives at this VM's own interval: from its partner if this VM is one, or
    /// else through the relays of two mates.
    std::vector<std::pair<VmName, Digest>> digestsDue(std::int64_t now)
    {
        std::vector<std::pair<VmName, Digest>> due;
        if (at(now) < this->nextDigests || this->mates.size() < 2) {
            return due;
        }
        this->nextDigests = at(now) + this->table.digestInterval();
        for (const std::vector<Identity> &zone : this->others) {
            if (zone.empty()) {
                continue;
            }
            const auto partner = this->partners.find(zone.front().zone);
            Digest digest = this->digestOf(now, zone, partner != this->partners.end());
            if (partner != this->partners.end()) {
                due.emplace_back(partner->second, std::move(digest));
            } else {
                due.emplace_back(this->mates[0].vm, digest);
                due.emplace_back(this->mates[1].vm, std::move(digest));
            }
        }
        return due;
    }

    void countOutgoing(const Outgoing &outgoing)
    {
        if (outgoing.heartbeat) {
            this->heartbeatFrame = frameBytes(outgoing.heartbeat->heartbeat);
            this->bytesOut += this->heartbeatFrame * outgoing.heartbeat->to.size();
        }
        for (const OutgoingDigest &digest : outgoing.digests) {
            const std::size_t bytes = frameBytes(digest.digest);
            this->largestDigestFrame = std::max(this->largestDigestFrame, bytes);
            this->bytesOut += bytes * digest.to.size();
        }
    }

    bool briefDigests;
    std::map<Common::ZoneName, VmName> partners;
    std::set<VmName> linked;
    std::map<Common::ZoneName, Instant> nextFull;
    std::uint64_t sequence = 0;
    Instant nextHeartbeats;
    Instant nextDigests;
};

double microsecondsPer(double seconds, std::size_t count)
{
    return count == 0 ? 0 : seconds * 1e6 / static_cast<double>(count);
}

Digest fullDigest(const std::vector<Identity> &members)
{
    Digest digest;
    digest.entries.reserve(members.size());
    for (const Identity &member : members) {
        digest.entries.push_back({ member, typicalState(), absl::Milliseconds(100) });
    }
    return digest;
}

} // namespace

TEST_CASE("Cost of membership by number of members", "[.benchmark]")
{
    struct Size
    {
        int members;
        int zones;
        bool briefDigests;
        double digestBytesPerSecond;
    };
    constexpr double smallBudget = 2 * fullBytesPerSecond;
    const double daemonBudget = MembershipSettings().digestBytesPerSecond;
    const std::vector<Size> sizes
            = { { 10, 1, false, smallBudget },    { 100, 1, false, smallBudget },
                { 300, 1, false, smallBudget },   { 5'000, 55, false, smallBudget },
                { 5'000, 55, true, smallBudget }, { 4'600, 55, false, daemonBudget } };
    for (const auto &[members, zones, briefDigests, digestBytesPerSecond] : sizes) {
        MembershipSettings settings;
        settings.briefDigests = briefDigests;
        settings.digestBytesPerSecond = digestBytesPerSecond;
        int self = 0;
        auto created = std::make_unique<Load>(self, members, zones, settings);
        // With several zones, measure a VM that is a digest partner.
        while (zones > 1 && created->partnerZones == 0) {
            self += zones;
            created = std::make_unique<Load>(self, members, zones, settings);
        }
        Load &load = *created;
        load.bytesIn = 0;
        load.bytesOut = 0;
        load.heartbeatsIn = 0;
        load.digestEntriesIn = 0;
        load.heartbeatCpu = 0;
        load.digestCpu = 0;
        load.advanceCpu = 0;
        const double cpu = load.play(5'000, 5'000 + simulatedMs);
        const double seconds = simulatedMs / 1e3;
        const nlohmann::ordered_json line = {
            { "members", members },
            { "brief_digests", briefDigests },
            { "digest_budget_bytes_per_s", digestBytesPerSecond },
            { "zone_members", load.mates.size() + 1 },
            { "cpu_us_per_heartbeat", microsecondsPer(load.heartbeatCpu, load.heartbeatsIn) },
            { "cpu_us_per_digest_entry", microsecondsPer(load.digestCpu, load.digestEntriesIn) },
            { "cpu_us_per_advance", microsecondsPer(load.advanceCpu, simulatedMs / advanceMs) },
            { "cpu_percent_of_core", 100 * cpu / seconds },
            { "heartbeat_frame_bytes", load.heartbeatFrame },
            { "zone_digest_frame_bytes", frameBytes(fullDigest(load.mates)) },
            { "partner_zones", load.partnerZones },
            { "bytes_in_per_s", static_cast<double>(load.bytesIn) / seconds },
            { "bytes_out_per_s", static_cast<double>(load.bytesOut) / seconds },
            { "memory_bytes_per_member", load.memoryBytes / static_cast<std::size_t>(members) },
            { "heartbeat_interval_ms", absl::ToInt64Milliseconds(load.table.heartbeatInterval()) },
            { "digest_interval_ms", absl::ToInt64Milliseconds(load.table.digestInterval()) },
        };
        std::cout << line.dump() << std::endl;
    }
}

TEST_CASE("Cost of the platform's list by number of members", "[.benchmark]")
{
    constexpr int calls = 20;
    for (const int members : { 100, 1'000, 4'600 }) {
        std::vector<ListedVm> rows;
        for (int index = 0; index < members; ++index) {
            const Identity peer = identity(index, 55);
            rows.push_back({ peer.vm, peer.zone, peer.region, peer.address, peer.portBase, false });
        }
        MemberTable table = std::move(*MemberTable::create(at(0), identity(0, 55), {}));
        table.applyPlatformList(at(0), rows);
        const double before = cpuSeconds();
        for (int call = 1; call <= calls; ++call) {
            table.applyPlatformList(at(call), rows);
        }
        const nlohmann::ordered_json line
                = { { "members", members },
                    { "cpu_us_per_platform_list", microsecondsPer(cpuSeconds() - before, calls) } };
        std::cout << line.dump() << std::endl;
    }
}
