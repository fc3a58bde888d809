#include "StoreSync.h"

#include <random>

#include <catch2/catch.hpp>

using namespace Currantfall;
using namespace Currantfall::Entry;

namespace {

namespace Wire = Peering::Wire;

const std::string table = "servers";
// Nothing listens there, and the tests start no reads.
const Platform::HostPort store { "127.0.0.1", 1 };

/// Text of a configuration with many routes, which differ in their names. The first `routes` of two
/// texts are the same, but for the home of the first one.
std::string configurationText(int routes, const std::string &firstHome)
{
    std::minstd_rand random(1);
    std::string text = R"({"version":"r1","virtual_hosts":[{"host":"example","paths":[)";
    for (int route = 0; route < routes; ++route) {
        std::string name;
        for (int letter = 0; letter < 16; ++letter) {
            name.push_back(static_cast<char>('a' + random() % 26));
        }
        text += R"({"name":"r-)" + name.substr(0, 8) + R"(","prefix":"/)" + name.substr(8)
                + R"(/","kind":"safe","timeout_ms":1500,"target_latency_ms":500,"priority":0,)"
                + R"("service":"catalog","max_attempts":2,"sticky":true,"allowed_regions":[")"
                + (route == 0 ? firstHome : "east") + R"("]},)";
    }
    return text + "]}]}";
}

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
    /// Whether the peers read compressed values.
    bool peersReadCompressed = true;
    StoreSync sync { context,       store, { { table, {}, absl::ZeroDuration(), retention() } },
                     this->hooks(), log,   metrics };

    Membership::SpreadPlan plan {
        { Common::VmName("vm-1"), Common::ZoneName("a"), Common::RegionName("west") },
        { { Common::VmName("vm-2"), Common::ZoneName("b"), Common::RegionName("west") },
          { Common::VmName("vm-3"), Common::ZoneName("a"), Common::RegionName("west") } },
        { { Common::ZoneName("a"), Common::RegionName("west") },
          { Common::ZoneName("b"), Common::RegionName("west") } }
    };

    /// Longer values are later ones of their writer.
    static Steering::RetentionSettings retention()
    {
        Steering::RetentionSettings result;
        result.holdTime = absl::Hours(1);
        result.order = [](const Steering::RowChange &row) {
            return std::optional(Steering::WriterOrder(0, row.value.size()));
        };
        return result;
    }

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
        result.peers.readsCompressedValues
                = [this](const auto &) { return this->peersReadCompressed; };
        result.readerRank = [] { return std::size_t { 1 }; };
        result.firstReadDelay = [this](const std::string &) { return this->firstReadDelay; };
        return result;
    }

    /// Bytes of the frames with the updates that were sent.
    std::size_t sentBytes() const
    {
        std::size_t bytes = 0;
        for (const Sent &message : this->sent) {
            Wire::MessageT body;
            body.body = toBody(message.update);
            bytes += Peering::PeerTransport::encode(Peering::LinkClass::Control, body)->size();
        }
        return bytes;
    }

    /// A peer sends a row that has changed after `from`, or the whole table if `from` is 0.
    void receiveRow(std::uint64_t from, std::uint64_t to, const std::string &value)
    {
        this->receive(rowMessage(from, to, value));
    }

    void receive(const Wire::StoreUpdateT &message)
    {
        this->sent.clear();
        this->sync.onUpdate(Common::VmName("vm-2"), message, Common::monotonicNow());
    }

    static Wire::StoreUpdateT rowMessage(std::uint64_t from, std::uint64_t to,
                                         const std::string &value)
    {
        Wire::StoreUpdateT message;
        message.table = table;
        message.era = 1;
        message.from = from;
        message.to = to;
        message.complete = from == 0;
        message.duty = static_cast<std::uint8_t>(Membership::SpreadDuty::Zone);
        auto row = std::make_unique<Wire::StoreRowT>();
        row->key = "config";
        row->version = to;
        row->value.assign(value.begin(), value.end());
        message.rows.push_back(std::move(row));
        return message;
    }

    /// The row in the form of a difference to `base`.
    static Wire::StoreUpdateT differenceMessage(std::uint64_t from, std::uint64_t to,
                                                const std::string &value, const std::string &base)
    {
        Wire::StoreUpdateT message = rowMessage(from, to, "");
        const auto compressed = Peering::CompressedValue::compress(value, base).value();
        Wire::StoreRowT &row = *message.rows.front();
        row.compressed.assign(compressed.bytes().begin(), compressed.bytes().end());
        row.base_hash = compressed.baseHash();
        return message;
    }

    const std::string &value() const { return this->sync.replica(table).rows().at("config").value; }

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

// Guards against VMs that use a former configuration for seconds, because each change of a large
// one is sent whole to all peers over links that need a second for one copy.
TEST_CASE("A change of a large configuration takes little of the links to peers")
{
    // A VM with 10 Mbit/s that tells 20 peers has a quarter of the 4 s in which a change must be in
    // force everywhere.
    constexpr std::size_t maxBytes = 10'000'000 / 8 / 20;
    const int routesBefore = GENERATE(4200, 2800);
    Fixture fixture;
    fixture.receiveRow(0, 100, configurationText(routesBefore, "east"));
    const std::string changed = configurationText(4200, "west");
    fixture.receiveRow(100, 110, changed);
    CHECK(fixture.value() == changed);
    REQUIRE(fixture.sent.size() == 1);
    CHECK(fixture.sentBytes() < maxBytes);
}

// Guards against a VM that takes a difference for a value, or that stays behind because it lacks
// the value to which the difference was made.
TEST_CASE("A difference to a value that this VM lacks leads to a request for the changes")
{
    const std::string first = configurationText(100, "east");
    const std::string second = configurationText(100, "west");
    const std::string third = configurationText(101, "west");
    Fixture fixture;
    fixture.receiveRow(0, 100, first);
    SECTION("it has the value")
    {
        fixture.receive(Fixture::differenceMessage(100, 110, second, first));
        CHECK(fixture.value() == second);
        REQUIRE(fixture.sent.size() == 1);
        // Passed on as it came.
        CHECK(fixture.sent.front().update.rows.front()->compressed
              == Fixture::differenceMessage(100, 110, second, first).rows.front()->compressed);
        // The same change arrives from a second peer, and the one before it late.
        fixture.receive(Fixture::differenceMessage(100, 110, second, first));
        fixture.receive(Fixture::differenceMessage(100, 105, first, third));
        CHECK(fixture.value() == second);
        CHECK(fixture.asked.empty());
    }
    SECTION("it lacks the value")
    {
        fixture.receive(Fixture::differenceMessage(100, 120, third, second));
        CHECK(fixture.value() == first);
        CHECK(fixture.asked == std::vector<std::string> { "vm-2" });
        CHECK(fixture.sent.empty());
    }
    SECTION("the bytes are damaged")
    {
        Wire::StoreUpdateT message = Fixture::differenceMessage(100, 110, second, first);
        message.rows.front()->compressed.back() ^= 1;
        fixture.receive(message);
        CHECK(fixture.value() == first);
        CHECK(fixture.asked == std::vector<std::string> { "vm-2" });
    }
}

// Guards against a VM that requests changes and gets a difference that it can't read again.
TEST_CASE("Requested values refer to no other value")
{
    Fixture fixture;
    const std::string changed = configurationText(4200, "west");
    fixture.receiveRow(0, 100, configurationText(4200, "east"));
    fixture.receiveRow(100, 110, changed);
    fixture.sent.clear();
    Wire::StoreRequestT request;
    request.table = table;
    request.loaded = true;
    request.era = 1;
    request.version = 100;
    fixture.sync.onRequest(Common::VmName("vm-3"), request, Common::monotonicNow());
    REQUIRE(fixture.sent.size() == 1);
    const Wire::StoreRowT &row = *fixture.sent.front().update.rows.front();
    CHECK(row.value.empty());
    CHECK(row.base_hash == 0);
    CHECK(Peering::CompressedValue::received({ row.compressed.begin(), row.compressed.end() }, 0)
                  .decompress("")
                  .value()
          == changed);
}

// Guards against VMs of an earlier version that take a compressed value for an empty one.
TEST_CASE("Peers of earlier versions get values uncompressed")
{
    Fixture fixture;
    fixture.peersReadCompressed = false;
    const std::string changed = configurationText(100, "west");
    fixture.receiveRow(0, 100, configurationText(100, "east"));
    fixture.receiveRow(100, 110, changed);
    REQUIRE(fixture.sent.size() == 1);
    const Wire::StoreRowT &row = *fixture.sent.front().update.rows.front();
    CHECK(std::string(row.value.begin(), row.value.end()) == changed);
    CHECK(row.compressed.empty());
}

// Guards against VMs that send a large row to their peers each half second for as long as a
// restored store lists an older one.
TEST_CASE("What a VM keeps from before a restore of the store takes little of the links to peers")
{
    // A tenth of 10 Mbit/s, twice a second, for 10 peers.
    constexpr std::size_t maxBytesPerPeer = 10'000'000 / 8 / 10 / 2 / 10;
    const std::string kept = configurationText(4200, "west");
    Fixture fixture;
    fixture.receiveRow(0, 100, kept);
    Wire::StoreUpdateT restored = Fixture::rowMessage(0, 50, configurationText(4000, "east"));
    restored.era = 2;
    fixture.receive(restored);
    REQUIRE(fixture.value() == kept);
    fixture.sent.clear();
    fixture.sync.advance(Common::monotonicNow() + absl::Seconds(1));
    REQUIRE(fixture.sent.size() == 2);
    CHECK(fixture.sentBytes() < 2 * maxBytesPerPeer);

    // A peer that has the row asks for nothing, one that lacks it gets it.
    const Wire::StoreUpdateT version = fixture.sent.front().update;
    fixture.receive(version);
    CHECK(fixture.asked.empty());
    Fixture lacking;
    lacking.receive(restored);
    lacking.receive(version);
    if (!lacking.asked.empty()) {
        fixture.sent.clear();
        Wire::StoreRequestT request;
        request.table = table;
        request.loaded = true;
        request.era = 2;
        request.version = 50;
        fixture.sync.onRequest(Common::VmName("vm-3"), request, Common::monotonicNow());
        REQUIRE(fixture.sent.size() == 1);
        lacking.receive(fixture.sent.front().update);
    }
    CHECK(lacking.value() == kept);
}
