#include "StoreSync.h"

#include <catch2/catch.hpp>

using namespace Currantfall;
using namespace Currantfall::Entry;

namespace {

namespace Wire = Peering::Wire;

const std::string table = "servers";
// Nothing listens there, and the tests start no reads.
const Platform::HostPort store { "127.0.0.1", 1 };

/// A VM with two peers that records what it sends.
struct Fixture
{
    struct Sent
    {
        std::string peer;
        Wire::StoreUpdateT update;
    };

    boost::asio::io_context context;
    Common::EventLog log { "vm-1", {} };
    Telemetry::MetricsRegistry metrics;
    std::vector<Sent> sent;
    /// Peers that were asked for changes or for the whole table.
    std::vector<std::string> asked;
    absl::Duration firstReadDelay = absl::ZeroDuration();
    StoreSync sync { context,       store, { { table, {}, absl::ZeroDuration(), {} } },
                     this->hooks(), log,   metrics };

    Membership::SpreadPlan plan {
        { Common::VmName("vm-1"), Common::ZoneName("a"), Common::RegionName("west") },
        { { Common::VmName("vm-2"), Common::ZoneName("b"), Common::RegionName("west") },
          { Common::VmName("vm-3"), Common::ZoneName("a"), Common::RegionName("west") } },
        { { Common::ZoneName("a"), Common::RegionName("west") },
          { Common::ZoneName("b"), Common::RegionName("west") } }
    };

    StoreSync::Hooks hooks()
    {
        StoreSync::Hooks result;
        result.onChanges = [](const std::string &, const auto &changes) { return changes; };
        const auto send = [this](const Common::VmName &peer, const Wire::BodyUnion &body) {
            if (const auto *update = body.AsStoreUpdate()) {
                this->sent.push_back({ peer.value(), *update });
            } else if (body.AsStoreRequest() != nullptr) {
                this->asked.push_back(peer.value());
            }
        };
        result.peers.plan = [this]() -> const Membership::SpreadPlan & { return this->plan; };
        result.peers.send = [send](const auto &peers, const Wire::BodyUnion &body) {
            for (const Common::VmName &peer : peers) {
                send(peer, body);
            }
        };
        result.peers.spread = [send](const auto &targets, const auto &message) {
            for (const Membership::SpreadTarget &target : targets) {
                send(target.vm, message(target.duty));
            }
        };
        result.readerRank = [] { return std::size_t { 1 }; };
        result.firstReadDelay = [this](const std::string &) { return this->firstReadDelay; };
        return result;
    }

    /// A peer tells the version of its table.
    void receiveVersion(const std::string &peer, std::uint64_t version)
    {
        Wire::StoreUpdateT message;
        message.table = table;
        message.era = 1;
        message.from = version;
        message.to = version;
        this->sync.onUpdate(Common::VmName(peer), message, Common::monotonicNow());
    }

    /// A peer sends all rows of the table.
    void receiveAll(std::uint64_t version, const std::vector<std::string> &keys)
    {
        Wire::StoreUpdateT message;
        message.table = table;
        message.era = 1;
        message.to = version;
        message.complete = true;
        message.duty = static_cast<std::uint8_t>(Membership::SpreadDuty::Zone);
        for (const std::string &key : keys) {
            auto row = std::make_unique<Wire::StoreRowT>();
            row->key = key;
            row->version = version;
            message.rows.push_back(std::move(row));
        }
        this->sent.clear();
        this->sync.onUpdate(Common::VmName("vm-2"), message, Common::monotonicNow());
    }
};

} // namespace

// Guards against peers between the two versions that take the rows for all changes, and keep a row
// that the sender has never known and that is deleted.
TEST_CASE("All rows of a table are not passed on as changes since the version before")
{
    Fixture fixture;
    fixture.receiveAll(100, { "a" });
    fixture.receiveAll(110, { "a", "b" });
    CHECK(fixture.sync.replica(table).rows().size() == 2);
    REQUIRE(fixture.sent.size() == 1);
    CHECK(fixture.sent.front().peer == "vm-3");
    CHECK(fixture.sent.front().update.to == 110);
    CHECK(fixture.sent.front().update.from == 110);
    CHECK(fixture.sent.front().update.rows.empty());
}

// Guards against a zone that stays without tables: all its VMs have been restarted while the store
// can't be read, and only VMs of other zones have them.
TEST_CASE("A whole table is requested from another zone once the store would be read")
{
    Fixture fixture;
    fixture.firstReadDelay = absl::Hours(1);
    fixture.receiveVersion("vm-2", 100);
    CHECK(fixture.asked.empty());
    SECTION("a VM of the zone has it")
    {
        fixture.receiveVersion("vm-3", 100);
        CHECK(fixture.asked == std::vector<std::string> { "vm-3" });
    }
    SECTION("no VM of the zone has it")
    {
        fixture.firstReadDelay = absl::ZeroDuration();
        fixture.receiveVersion("vm-2", 100);
        CHECK(fixture.asked == std::vector<std::string> { "vm-2" });
    }
    SECTION("changes are requested from any zone")
    {
        fixture.receiveAll(100, { "a" });
        fixture.receiveVersion("vm-2", 110);
        CHECK(fixture.asked == std::vector<std::string> { "vm-2" });
    }
}
