#include "currantfall/Membership/MemberTable.h"

#include <algorithm>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace Currantfall;
using namespace Currantfall::Membership;
using Common::Instant;
using Common::VmName;

namespace {

constexpr Common::Incarnation firstRun = 10;

Instant at(std::int64_t milliseconds)
{
    return Instant::fromOrigin(absl::Milliseconds(milliseconds));
}

Identity identity(const std::string &vm, const std::string &zone,
                  Common::Incarnation incarnation = firstRun)
{
    return { VmName(vm), Common::ZoneName(zone), Common::RegionName("lm"), incarnation, "127.0.0.1",
             7000 };
}

ListedVm listed(const std::string &vm, const std::string &zone)
{
    return {
        VmName(vm), Common::ZoneName(zone), Common::RegionName("lm"), "127.0.0.1", 7000, false
    };
}

Heartbeat heartbeat(const std::string &vm, std::int64_t sentMs, std::uint64_t sequence,
                    Common::Incarnation incarnation = firstRun)
{
    Heartbeat value;
    value.vm = VmName(vm);
    value.incarnation = incarnation;
    value.sequence = sequence;
    value.sentAt = absl::Milliseconds(sentMs);
    value.reported.revision = sequence;
    return value;
}

MemberTable table(const std::string &vm, const std::string &zone, bool briefDigests = false)
{
    MembershipSettings settings;
    settings.briefDigests = briefDigests;
    auto created = MemberTable::create(at(0), identity(vm, zone), settings);
    REQUIRE(created.has_value());
    return std::move(*created);
}

MemberState stateOf(const MemberTable &table, const std::string &vm)
{
    const auto view = table.view();
    const Member *member = view->find(VmName(vm));
    REQUIRE(member != nullptr);
    return member->state;
}

/// Advances in small steps, so that the table sees no pause.
void advanceTo(MemberTable &table, std::int64_t fromMs, std::int64_t toMs)
{
    for (std::int64_t now = fromMs; now <= toMs; now += 50) {
        table.advance(at(now));
    }
}

/// Tables that exchange their messages at once over the links that they ask for.
class Tables
{
public:
    explicit Tables(bool briefDigests) : briefDigests(briefDigests) { }

    void add(const std::string &vm, const std::string &zone)
    {
        this->rows.push_back(listed(vm, zone));
        this->tables.emplace(VmName(vm), table(vm, zone, this->briefDigests));
        this->zones.emplace(VmName(vm), zone);
    }

    void listAll(std::int64_t nowMs)
    {
        for (auto &[vm, member] : this->tables) {
            member.applyPlatformList(at(nowMs), this->rows);
        }
    }

    void kill(const std::string &vm) { this->tables.erase(VmName(vm)); }

    void step(std::int64_t nowMs)
    {
        for (auto &[vm, member] : this->tables) {
            for (const Endpoint &peer : member.peersToConnect()) {
                this->connect(nowMs, vm, peer.vm);
            }
        }
        for (auto &[vm, member] : this->tables) {
            const Outgoing outgoing = member.advance(at(nowMs));
            if (outgoing.heartbeat) {
                for (const VmName &to : outgoing.heartbeat->to) {
                    this->with(to, [&](auto &peer) {
                        peer.applyHeartbeat(at(nowMs), outgoing.heartbeat->heartbeat);
                    });
                }
            }
            for (const OutgoingDigest &digest : outgoing.digests) {
                for (const VmName &to : digest.to) {
                    const VmName &from = vm;
                    this->with(to, [&](auto &peer) {
                        peer.applyDigest(at(nowMs), from, digest.digest);
                    });
                }
            }
        }
    }

    bool allSee(const std::string &vm, MemberState state) const
    {
        return std::all_of(this->tables.begin(), this->tables.end(), [&](const auto &entry) {
            return entry.first == VmName(vm) || stateOf(entry.second, vm) == state;
        });
    }

    std::map<VmName, MemberTable> tables;

private:
    template<typename Function>
    void with(const VmName &vm, const Function &function)
    {
        const auto found = this->tables.find(vm);
        if (found != this->tables.end()) {
            function(found->second);
        }
    }

    void connect(std::int64_t nowMs, const VmName &left, const VmName &right)
    {
        if (!this->tables.contains(right) || !this->links.emplace(left, right).second) {
            return;
        }
        this->with(left, [&](auto &peer) {
            peer.applyLinkUp(at(nowMs), identity(right.value(), this->zones.at(right)));
        });
        this->with(right, [&](auto &peer) {
            peer.applyLinkUp(at(nowMs), identity(left.value(), this->zones.at(left)));
        });
    }

    bool briefDigests;
    std::vector<ListedVm> rows;
    std::map<VmName, std::string> zones;
    std::set<std::pair<VmName, VmName>> links;
};

} // namespace

TEST_CASE("The heartbeat interval keeps a zone within its byte budget")
{
    MemberTable member = table("vm-0", "lm-a");
    REQUIRE(member.heartbeatInterval() == absl::Milliseconds(250));
    std::vector<ListedVm> rows;
    rows.reserve(100);
    for (int index = 0; index < 100; ++index) {
        rows.push_back(listed("vm-" + std::to_string(index), "lm-a"));
    }
    member.applyPlatformList(at(0), rows);
    // 100 members x 2 x 404 bytes / 20,000 bytes/s.
    REQUIRE(member.heartbeatInterval() == absl::Milliseconds(4040));
}

// Guards against links that go around the listed peer address once the peer has named itself.
TEST_CASE("A listed peer address outlives Hello and a restart, and changes with the list")
{
    MemberTable member = table("a", "lm-a");
    ListedVm row = listed("b", "lm-a");
    row.peerEndpoint = PeerEndpoint { "10.0.0.2", 7108 };
    member.applyPlatformList(at(0), { row });
    member.applyLinkUp(at(0), identity("b", "lm-a"));
    REQUIRE(member.peersToConnect().front().peerEndpoint == row.peerEndpoint);
    member.applyLinkUp(at(1), identity("b", "lm-a", firstRun + 1));
    REQUIRE(member.peersToConnect().front().peerEndpoint == row.peerEndpoint);
    member.applyPlatformList(at(2), { listed("b", "lm-a") });
    REQUIRE_FALSE(member.peersToConnect().front().peerEndpoint);
}

TEST_CASE("A listed member becomes live, suspect after four intervals, and live again")
{
    MemberTable member = table("a", "lm-a");
    member.applyPlatformList(at(0), { listed("b", "lm-a") });
    REQUIRE(stateOf(member, "b") == MemberState::Unknown);
    member.applyLinkUp(at(0), identity("b", "lm-a"));
    member.applyHeartbeat(at(100), heartbeat("b", 100, 1));
    advanceTo(member, 100, 1100);
    REQUIRE(stateOf(member, "b") == MemberState::Live);
    advanceTo(member, 1150, 1300);
    REQUIRE(stateOf(member, "b") == MemberState::Suspect);
    Heartbeat leaving = heartbeat("b", 1400, 2);
    leaving.reported.leaving = true;
    member.applyHeartbeat(at(1400), leaving);
    REQUIRE(stateOf(member, "b") == MemberState::Leaving);
}

TEST_CASE("Only members that are silent and not listed are removed")
{
    MemberTable member = table("a", "lm-a");
    member.applyPlatformList(at(0), { listed("b", "lm-a"), listed("never", "lm-a") });
    member.applyLinkUp(at(0), identity("c", "lm-a")); // The list lags behind c.
    member.applyHeartbeat(at(0), heartbeat("c", 0, 1));
    member.applyPlatformList(at(50), { listed("b", "lm-a") });
    advanceTo(member, 50, 500);
    REQUIRE(stateOf(member, "c") == MemberState::Live);
    REQUIRE(member.view()->find(VmName("never")) == nullptr);
    member.applyLinkDown(at(500), VmName("c"), firstRun);
    advanceTo(member, 500, 29'000);
    // Kept while a new owner may need the time of its last heartbeat.
    REQUIRE(stateOf(member, "c") == MemberState::Suspect);
    advanceTo(member, 29'000, 31'000);
    REQUIRE(member.view()->find(VmName("c")) == nullptr);
    REQUIRE(stateOf(member, "b") == MemberState::Suspect);
}

TEST_CASE("A restarted VM loses its earlier state and its earlier run is ignored")
{
    MemberTable member = table("a", "lm-a");
    member.applyLinkUp(at(0), identity("b", "lm-a"));
    member.applyHeartbeat(at(0), heartbeat("b", 0, 7));
    member.applyLinkUp(at(100), identity("b", "lm-a", firstRun + 1));
    REQUIRE(stateOf(member, "b") == MemberState::Unknown);
    REQUIRE(member.view()->find(VmName("b"))->revision == 0);
    member.applyHeartbeat(at(120), heartbeat("b", 120, 8, firstRun));
    REQUIRE(stateOf(member, "b") == MemberState::Unknown);
    member.applyHeartbeat(at(150), heartbeat("b", 5, 1, firstRun + 1));
    REQUIRE(stateOf(member, "b") == MemberState::Live);
}

// Guards against an owner that continues after a pause on the strength of heartbeats that waited in
// its socket buffers.
TEST_CASE("After a pause of this process all others are suspect until heard again")
{
    MemberTable member = table("a", "lm-a");
    member.applyLinkUp(at(0), identity("b", "lm-a"));
    member.applyLinkUp(at(0), identity("far", "ok-a"));
    member.applyHeartbeat(at(0), heartbeat("b", 0, 1));
    advanceTo(member, 0, 500);
    REQUIRE_FALSE(member.pausedSince().has_value());

    member.applyHeartbeat(at(5'000), heartbeat("b", 1'000, 2));
    REQUIRE(member.pausedSince() == at(500));
    REQUIRE(stateOf(member, "b") == MemberState::Suspect);
    REQUIRE(stateOf(member, "far") == MemberState::Suspect);
    member.advance(at(5'100));
    REQUIRE(member.pausedSince() == at(500));
    SECTION("the peer is heard")
    {
        member.applyHeartbeat(at(5'200), heartbeat("b", 5'200, 3));
        REQUIRE(stateOf(member, "b") == MemberState::Live);
        advanceTo(member, 5'200, 5'400);
        REQUIRE_FALSE(member.pausedSince().has_value());
    }
    SECTION("the peer stays silent for a lease")
    {
        advanceTo(member, 5'100, 6'900);
        REQUIRE(member.pausedSince() == at(500));
        advanceTo(member, 6'900, 7'300);
        REQUIRE_FALSE(member.pausedSince().has_value());
    }
}

TEST_CASE("The topology version changes only with the topology")
{
    MemberTable member = table("b", "lm-a");
    member.applyLinkUp(at(0), identity("c", "lm-a"));
    member.applyLinkUp(at(0), identity("a", "lm-a"));
    member.applyHeartbeat(at(0), heartbeat("c", 0, 1));
    const auto before = member.view();
    member.applyHeartbeat(at(100), heartbeat("c", 100, 2));
    const auto after = member.view();
    REQUIRE(before->find(VmName("c"))->revision == 1);
    REQUIRE(after->find(VmName("c"))->revision == 2);
    REQUIRE(after->version() != before->version());
    REQUIRE(after->topologyVersion() == before->topologyVersion());
    REQUIRE(after->members().size() == 3);
    REQUIRE(std::is_sorted(
            after->members().begin(), after->members().end(),
            [](const auto &left, const auto &right) { return left->vm < right->vm; }));
    member.applyHeartbeat(at(200), heartbeat("a", 200, 1));
    REQUIRE(member.view()->topologyVersion() != before->topologyVersion());
}

TEST_CASE("Requested peers are connected until they are idle")
{
    MemberTable member = table("a", "lm-a");
    std::vector<ListedVm> rows;
    for (int index = 0; index < 30; ++index) {
        rows.push_back(listed("near-" + std::to_string(index), "lm-a"));
        rows.push_back(listed("far-" + std::to_string(index), "ok-a"));
    }
    member.applyPlatformList(at(0), rows);
    const std::size_t usual = member.peersToConnect().size();
    REQUIRE(usual >= 30);
    REQUIRE(usual <= 32);
    for (int index = 0; index < 30; ++index) {
        member.requestPeer(at(0), VmName("far-" + std::to_string(index)));
    }
    REQUIRE(member.peersToConnect().size() == 60);
    advanceTo(member, 0, 31'000);
    REQUIRE(member.peersToConnect().size() <= 32);
}

// Guards against zones that don't hear of each other and against news that outlives its member.
TEST_CASE("Every VM sees every other through digests, and sees its death")
{
    const bool briefDigests = GENERATE(false, true);
    // Simulated time; full digests of three zones exceed the byte budget at the base interval.
    const std::int64_t detectionMs = briefDigests ? 2'000 : 5'000;
    Tables all(briefDigests);
    for (const std::string zone : { "lm-a", "lm-b", "ok-a" }) {
        for (int index = 0; index < 4; ++index) {
            all.add(zone + "-" + std::to_string(index), zone);
        }
    }
    all.listAll(0);
    std::int64_t now = 0;
    for (; now < 3'000; now += 50) {
        all.step(now);
    }
    for (const auto &[vm, member] : all.tables) {
        REQUIRE(all.allSee(vm.value(), MemberState::Live));
    }
    all.kill("ok-a-1");
    for (; now < 3'000 + detectionMs; now += 50) {
        all.step(now);
    }
    REQUIRE(all.allSee("ok-a-1", MemberState::Suspect));
    REQUIRE(all.allSee("ok-a-0", MemberState::Live));
}

// Guards against brief digests that leave out that a member got or lost all slots of a service: VMs
// of a drained zone refused requests as long as the next full digest of the other zone was not due.
TEST_CASE("VMs of other zones learn of a member's slots before the next full digest")
{
    Tables all(true);
    for (const std::string zone : { "lm-a", "lm-b", "ok-a" }) {
        for (int index = 0; index < 4; ++index) {
            all.add(zone + "-" + std::to_string(index), zone);
        }
    }
    all.listAll(0);
    std::int64_t now = 0;
    const auto stepFor = [&](std::int64_t durationMs) {
        for (const std::int64_t end = now + durationMs; now < end; now += 50) {
            all.step(now);
        }
    };
    const auto allSeeLoads = [&all](const std::vector<ServiceLoad> &loads) {
        return std::all_of(all.tables.begin(), all.tables.end(), [&](const auto &entry) {
            return entry.first == VmName("ok-a-1")
                   || entry.second.view()->find(VmName("ok-a-1"))->loads == loads;
        });
    };
    stepFor(3'000);
    for (int round = 0; round < 4; ++round) {
        std::vector<ServiceLoad> loads;
        if (round % 2 == 0) {
            loads.push_back({ Common::ServiceName("slotview"), 3, 3, 0 });
        }
        all.tables.at(VmName("ok-a-1")).setOwnState(at(now), { false, 1, "", loads });
        // A heartbeat, a digest and a relay; full digests are 1.6 s apart in this deployment.
        stepFor(800);
        REQUIRE(allSeeLoads(loads));
    }
}

// Guards against brief digests that leave out that a member accepts no requests any more, or does
// so again: VMs of other zones went on naming it to callers.
TEST_CASE("VMs of other zones learn of a member without a revision before the next full digest")
{
    Tables all(true);
    for (const std::string zone : { "lm-a", "lm-b", "ok-a" }) {
        for (int index = 0; index < 4; ++index) {
            all.add(zone + "-" + std::to_string(index), zone);
        }
    }
    all.listAll(0);
    std::int64_t now = 0;
    const auto stepFor = [&](std::int64_t durationMs) {
        for (const std::int64_t end = now + durationMs; now < end; now += 50) {
            all.step(now);
        }
    };
    const auto allSeeRevision = [&all](Common::Revision revision) {
        return std::all_of(all.tables.begin(), all.tables.end(), [&](const auto &entry) {
            return entry.first == VmName("ok-a-1")
                   || entry.second.view()->find(VmName("ok-a-1"))->revision == revision;
        });
    };
    stepFor(3'000);
    for (int round = 0; round < 4; ++round) {
        const Common::Revision revision = round % 2 == 0 ? 1 : 0;
        all.tables.at(VmName("ok-a-1")).setOwnState(at(now), { true, revision, "", {} });
        // As for slots.
        stepFor(800);
        REQUIRE(allSeeRevision(revision));
    }
}

// Guards against news that makes a member look later or fresher than it is: incarnations never go
// back, and lastHeard is never after the latest true sign of life, whatever links hold up.
TEST_CASE("Late and repeated news never revives a member")
{
    REQUIRE(rc::check("freshness", [] {
        MemberTable member = table("a", "lm-a");
        member.applyLinkUp(at(0), identity("b", "lm-a"));
        member.applyLinkUp(at(0), identity("relay", "ok-a"));
        member.applyHeartbeat(at(0), heartbeat("b", 0, 1));
        member.applyDigest(at(0), VmName("relay"), {});
        std::int64_t now = 0;
        std::uint64_t sequence = 1;
        Common::Incarnation highest = firstRun;
        std::map<Common::Incarnation, std::int64_t> lastSign { { firstRun, 0 } };
        std::set<Common::Incarnation> heartbeats { firstRun };
        const auto steps = *rc::gen::inRange(1, 40);
        for (int step = 0; step < steps; ++step) {
            now += *rc::gen::inRange(0, 200);
            const std::int64_t sent = now - *rc::gen::inRange<std::int64_t>(0, now + 1);
            const auto incarnation = *rc::gen::inRange<Common::Incarnation>(firstRun, firstRun + 3);
            std::int64_t sign = sent;
            if (*rc::gen::arbitrary<bool>()) {
                // A new run's first heartbeat has no earlier one to compare its delay with.
                const bool first = incarnation >= highest && heartbeats.insert(incarnation).second;
                member.applyHeartbeat(at(now),
                                      heartbeat("b", first ? now : sent, ++sequence, incarnation));
                sign = first ? now : sent;
            } else {
                const std::int64_t age = *rc::gen::inRange<std::int64_t>(0, sent + 1);
                Digest digest;
                digest.sentAt = absl::Milliseconds(sent);
                digest.interval = absl::Milliseconds(250);
                digest.entries
                        = { { identity("b", "lm-a", incarnation), {}, absl::Milliseconds(age) } };
                member.applyDigest(at(now), VmName("relay"), digest);
                sign = sent - age;
            }
            member.advance(at(now));
            highest = std::max(highest, incarnation);
            auto &latest = lastSign.try_emplace(incarnation, sign).first->second;
            latest = std::max(latest, sign);
            const auto view = member.view();
            const Member *seen = view->find(VmName("b"));
            RC_ASSERT(seen != nullptr);
            RC_ASSERT(seen->incarnation == highest);
            RC_ASSERT(seen->lastHeard <= at(lastSign.at(highest)));
            // Four intervals, and states are checked twice per interval.
            if (now - lastSign.at(highest) > 1'000 + 125) {
                RC_ASSERT(seen->state == MemberState::Suspect);
            }
        }
    }));
}

// Guards against brief digests that refresh members which the sender does not vouch for, or that
// refer to a full digest which this VM does not have.
TEST_CASE("A brief digest refreshes only the unchanged members of its base")
{
    MemberTable member = table("a", "lm-a");
    member.applyLinkUp(at(0), identity("relay", "ok-a"));
    Digest full;
    full.sentAt = absl::Milliseconds(0);
    full.interval = absl::Milliseconds(250);
    full.zone = Common::ZoneName("ok-a");
    full.base = 7;
    for (const std::string vm : { "relay", "steady", "silent", "removed", "restarted" }) {
        full.entries.push_back({ identity(vm, "ok-a"), {}, absl::ZeroDuration() });
    }
    member.applyDigest(at(0), VmName("relay"), full);

    Digest brief = full;
    brief.sentAt = absl::Milliseconds(900);
    brief.brief = true;
    brief.restAge = absl::Milliseconds(100);
    brief.entries = { { identity("silent", "ok-a"), {}, absl::Milliseconds(900) },
                      { identity("restarted", "ok-a", firstRun + 1), {}, absl::ZeroDuration() },
                      { { VmName("removed"), {}, {}, 0, {}, 0 }, {}, absl::ZeroDuration() } };
    const auto lastHeard = [&member](const std::string &vm) {
        return member.view()->find(VmName(vm))->lastHeard;
    };
    SECTION("the base is known")
    {
        // 300 ms later than usual.
        member.applyDigest(at(1'200), VmName("relay"), brief);
        REQUIRE(lastHeard("steady") == at(800));
        REQUIRE(lastHeard("silent") == at(0));
        REQUIRE(lastHeard("removed") == at(0));
        REQUIRE(member.view()->find(VmName("restarted"))->incarnation == firstRun + 1);
    }
    SECTION("another base")
    {
        brief.base = 8;
        member.applyDigest(at(900), VmName("relay"), brief);
        REQUIRE(lastHeard("steady") == at(0));
    }
    SECTION("the base was sent over an earlier link")
    {
        member.applyLinkDown(at(100), VmName("relay"), firstRun);
        member.applyLinkUp(at(200), identity("relay", "ok-a"));
        member.applyDigest(at(900), VmName("relay"), brief);
        REQUIRE(lastHeard("steady") == at(0));
    }
}
