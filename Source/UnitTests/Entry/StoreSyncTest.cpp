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
    StoreSync sync { context,       store, { { table, {}, absl::ZeroDuration(), {} } },
                     this->hooks(), log,   metrics };

    StoreSync::Hooks hooks()
    {
        StoreSync::Hooks result;
        result.self = Common::VmName("vm-1");
        result.onChanges = [](const std::string &, const auto &changes) { return changes; };
        result.peers = [] {
            return std::vector<Common::VmName> { Common::VmName("vm-2"), Common::VmName("vm-3") };
        };
        result.send = [this](const Common::VmName &peer, Wire::BodyUnion body) {
            if (const auto *update = body.AsStoreUpdate()) {
                this->sent.push_back({ peer.value(), *update });
            }
        };
        result.readerRank = [] { return std::size_t { 1 }; };
        return result;
    }

    /// A peer sends all rows of the table.
    void receiveAll(std::uint64_t version, const std::vector<std::string> &keys)
    {
        Wire::StoreUpdateT message;
        message.table = table;
        message.era = 1;
        message.to = version;
        message.complete = true;
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
