#include "currantfall/Placement/OwnershipTable.h"

#include <array>
#include <memory>

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include "PlacementFixture.h"

using namespace Currantfall::Common;
using namespace Currantfall::Placement;
using namespace Currantfall::Placement::Testing;

namespace {

const VmName a("vm-a");
const VmName b("vm-b");
const BackendServerName server("s-r1-a-1");

MemberHeard heard(const std::string &vm, int milliseconds, const std::string &zone = "r1-a")
{
    return { member(vm, zone), at(milliseconds) };
}

MemberHeard silent(const std::string &vm, int milliseconds)
{
    MemberHeard result = heard(vm, milliseconds);
    result.member.suspect = true;
    return result;
}

/// The one of vm-a and vm-b that owns the server while both live, and the other one.
std::array<std::string, 2> ownerAndOther()
{
    OwnershipTable table(a, at(0));
    table.update(at(0), environment(1), { heard("vm-a", 0), heard("vm-b", 0) });
    return *table.owner(server) == a ? std::array<std::string, 2> { "vm-a", "vm-b" }
                                     : std::array<std::string, 2> { "vm-b", "vm-a" };
}

} // namespace

TEST_CASE("A VM that has just started owns nothing for one lease")
{
    OwnershipTable table(a, at(0));
    table.update(at(100), environment(1), { heard("vm-a", 100) });
    REQUIRE(table.state(server) == OwnershipState::Waiting);
    REQUIRE(table.nextDue() == at(2000));
    REQUIRE(table.advance(at(1999)).empty());
    table.advance(at(2000));
    REQUIRE(table.state(server) == OwnershipState::Owned);
    REQUIRE(table.nextDue() == Instant::infinite());
}

TEST_CASE("A new owner waits one lease after the previous owner was last heard")
{
    const auto [owner, other] = ownerAndOther();
    OwnershipTable table(VmName(other), at(-10000));
    const auto document = environment(1);
    table.update(at(0), document, { heard(owner, 0), heard(other, 0) });
    REQUIRE(table.state(server) == OwnershipState::NotOwned);
    table.update(at(1000), document, { silent(owner, 200), heard(other, 1000) });
    table.advance(at(2199));
    REQUIRE(table.state(server) == OwnershipState::Waiting);
    REQUIRE(table.advance(at(2200))
            == std::vector<OwnershipChange> { { server, OwnershipState::Owned } });
    // The previous owner is heard again: this VM stops at once.
    table.update(at(3000), document, { heard(owner, 3000), heard(other, 3000) });
    REQUIRE(table.state(server) == OwnershipState::Releasing);
    REQUIRE(table.ownedOf(ServiceName("s")).size() == 1);
    table.released(server);
    REQUIRE(table.state(server) == OwnershipState::NotOwned);
}

TEST_CASE("A release by the previous owner ends the wait, one of another run does not")
{
    const auto [owner, other] = ownerAndOther();
    const auto document = environment(1);
    MemberHeard leaving = heard(owner, 1000);
    leaving.member.leaving = true;
    const bool early = GENERATE(false, true);
    const Incarnation incarnation = GENERATE(1, 2);
    OwnershipTable table(VmName(other), at(-10000));
    table.update(at(0), document, { heard(owner, 0), heard(other, 0) });
    if (early) {
        table.applyRelease(at(900), server, VmName(owner), incarnation);
    }
    table.update(at(1000), document, { leaving, heard(other, 1000) });
    if (!early) {
        REQUIRE(table.state(server) == OwnershipState::Waiting);
        table.applyRelease(at(1100), server, VmName(owner), incarnation);
    }
    const auto expected = incarnation == 1 ? OwnershipState::Owned : OwnershipState::Waiting;
    REQUIRE(table.state(server) == expected);
}

TEST_CASE("A previous owner that was only silent is waited for from when the change was learned")
{
    const auto [owner, other] = ownerAndOther();
    OwnershipTable table(VmName(other), at(-10000));
    const auto document = environment(1);
    table.update(at(0), document, { heard(owner, 0), heard(other, 0) });
    table.update(at(1000), document, { silent(owner, 0), heard(other, 1000) });
    REQUIRE(table.nextDue() == at(2000));
    MemberHeard leaving = heard(owner, 1500);
    leaving.member.leaving = true;
    table.update(at(1500), document, { leaving, heard(other, 1500) });
    REQUIRE(table.nextDue() == at(3000));
}

TEST_CASE("After a pause longer than the lease nothing is owned for another lease")
{
    const auto [owner, other] = ownerAndOther();
    OwnershipTable table { VmName(owner), at(-10000) };
    const auto document = environment(1);
    table.update(at(0), document, { heard(owner, 0), heard(other, 0) });
    REQUIRE(table.state(server) == OwnershipState::Owned);
    table.pause(at(9000));
    REQUIRE(table.state(server) == OwnershipState::Waiting);
    // The peers have not been heard during the pause: their servers are not taken over at once.
    table.update(at(9000), document, { heard(owner, 9000), silent(other, 0) });
    REQUIRE(table.ownedOf(ServiceName("s")).empty());
    REQUIRE(table.nextDue() == at(11000));
    table.advance(at(11000));
    REQUIRE(table.state(server) == OwnershipState::Owned);
}

TEST_CASE("A zone without members is served from its region only, and a removed server by nobody")
{
    OwnershipTable table(a, at(-10000));
    table.update(at(0), environment(2), { heard("vm-a", 0, "r1-b") });
    REQUIRE(table.ownedOf(ServiceName("s")).size() == 4);
    REQUIRE(!table.owner(BackendServerName("s-r2-a-1")));
    REQUIRE(table.ownersOf(ServiceName("s")).front().second == 8);
    const auto changes = table.update(at(10), environment(1), { heard("vm-a", 10, "r1-b") });
    REQUIRE(changes.size() == 2);
    REQUIRE(changes.front().state == OwnershipState::NotOwned);
}

namespace {

/// VMs that start, stop and freeze at any time and see each other up to 400 ms late.
class Fleet
{
public:
    void step()
    {
        this->now += 100;
        this->history.push_back(this->history.empty() ? Lives {} : this->history.back());
        for (std::size_t vm = 0; vm < count; ++vm) {
            this->changeLife(vm);
            if (this->history.back()[vm] != 0) {
                this->observe(vm);
            }
        }
        std::erase_if(this->releases, [this](const Release &release) {
            if (release.due > this->now) {
                return false;
            }
            if (this->history.back()[release.to] != 0) {
                this->tables[release.to]->applyRelease(at(this->now), release.server, release.from,
                                                       release.incarnation);
            }
            return true;
        });
        this->checkOwners();
    }

private:
    static constexpr std::size_t count = 4;
    /// Incarnation of each VM, 0 if it is silent: not running or frozen.
    using Lives = std::array<Incarnation, count>;
    struct Release
    {
        int due;
        std::size_t to;
        BackendServerName server;
        VmName from;
        Incarnation incarnation;
    };

    static std::string nameOf(std::size_t vm) { return "vm-" + std::to_string(vm); }

    void changeLife(std::size_t vm)
    {
        Incarnation &life = this->history.back()[vm];
        if (this->tables[vm] && life == 0) {
            if (this->now >= this->frozenUntil[vm]) {
                life = this->incarnations[vm];
                if (at(this->now) - at(this->frozenFrom[vm]) > longestUnreportedPause) {
                    this->tables[vm]->pause(at(this->now));
                }
            }
            return;
        }
        const int chance = *rc::gen::inRange(0, 40);
        if (!this->tables[vm] && chance < 4) {
            life = this->incarnations[vm] = static_cast<Incarnation>(this->now);
            this->tables[vm] = std::make_unique<OwnershipTable>(VmName(nameOf(vm)), at(this->now));
        } else if (this->tables[vm] && chance == 0) {
            life = 0;
            this->tables[vm].reset();
        } else if (this->tables[vm] && chance < 3) {
            life = 0;
            this->frozenFrom[vm] = this->now;
            this->frozenUntil[vm] = this->now + *rc::gen::inRange(1, 40) * 100;
        }
    }

    void observe(std::size_t observer)
    {
        // Never older than the last observation.
        const std::size_t latest = this->history.size() - 1;
        const std::size_t oldest = std::max(this->seen[observer], latest < 4 ? 0 : latest - 4);
        this->seen[observer] = *rc::gen::inRange(oldest, latest + 1);
        std::vector<MemberHeard> members;
        for (std::size_t vm = 0; vm < count; ++vm) {
            std::size_t when = vm == observer ? latest : this->seen[observer];
            const bool live = this->history[when][vm] != 0;
            while (when > 0 && this->history[when][vm] == 0) {
                --when;
            }
            if (this->history[when][vm] == 0) {
                continue;
            }
            MemberHeard entry = heard(nameOf(vm), static_cast<int>(when + 1) * 100);
            entry.member.suspect = !live;
            entry.member.incarnation = this->history[when][vm];
            members.push_back(entry);
        }
        OwnershipTable &table = *this->tables[observer];
        for (const OwnershipChange &change : table.update(at(this->now), this->document, members)) {
            if (change.state != OwnershipState::Releasing) {
                continue;
            }
            table.released(change.backendServer);
            const auto owner = table.owner(change.backendServer);
            if (owner) {
                const auto to = static_cast<std::size_t>(owner->value().back() - '0');
                this->releases.push_back({ this->now + *rc::gen::inRange(0, 10) * 100, to,
                                           change.backendServer, VmName(nameOf(observer)),
                                           this->history.back()[observer] });
            }
        }
    }

    void checkOwners()
    {
        for (const auto &backend : this->document.services.front().backendServers) {
            int owners = 0;
            for (std::size_t vm = 0; vm < count; ++vm) {
                // A frozen VM starts nothing.
                const bool running = this->history.back()[vm] != 0;
                owners += running && this->tables[vm]->state(backend.name) == OwnershipState::Owned;
            }
            RC_ASSERT(owners <= 1);
        }
    }

    const Currantfall::Configuration::Environment document = environment(2);
    int now = 0;
    std::vector<Lives> history;
    std::array<std::size_t, count> seen {};
    Lives incarnations {};
    std::array<int, count> frozenFrom {};
    std::array<int, count> frozenUntil {};
    std::array<std::unique_ptr<OwnershipTable>, count> tables;
    std::vector<Release> releases;
};

} // namespace

TEST_CASE("Deaths, pauses, restarts and lagging views never give a server two owners")
{
    REQUIRE(rc::check("one owner", [] {
        Fleet fleet;
        for (int step = 0; step < 150; ++step) {
            fleet.step();
        }
    }));
}
