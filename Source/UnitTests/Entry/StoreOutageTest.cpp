#include <atomic>
#include <list>
#include <thread>

#include <catch2/catch.hpp>

#include "StoreTables.h"
#include "Support/ScriptedBackend.h"
#include "platform/OperatorRows.h"

using namespace Currantfall;
using namespace Currantfall::Entry;
using namespace Currantfall::Tests;

namespace {

// From this time after the end of an outage on, a VM answers for what it has not read
// (stable_window_ms of the users' platform).
constexpr absl::Duration stableWindow = absl::Seconds(3);
constexpr absl::Duration outageStart = absl::Seconds(2);

/// A store whose calls, also those that wait for a change, get no answer during an outage. At the
/// end of the outage its only row changes.
class SilentStore
{
public:
    explicit SilentStore(absl::Duration outage)
        : start(Common::monotonicNow()), outageEnd(outageStart + outage)
    { }

    Platform::HostPort address() const { return { "127.0.0.1", this->backend.port() }; }
    Common::Instant returnsAt() const { return this->start + this->outageEnd; }

private:
    absl::Duration elapsed() const { return Common::monotonicNow() - this->start; }
    bool silent() const
    {
        return this->elapsed() >= outageStart && this->elapsed() < this->outageEnd;
    }

    void serve(ScriptedConnection &connection)
    {
        while (true) {
            const std::string request = connection.readRequest();
            if (request.empty()) {
                return;
            }
            const auto wait = request.find("wait_ms=");
            const absl::Duration until
                    = this->elapsed()
                      + absl::Milliseconds(
                              wait == std::string::npos ? 0 : std::stoi(request.substr(wait + 8)));
            const auto after = request.find("after=");
            const bool changed = this->elapsed() >= this->outageEnd;
            const bool news = after == std::string::npos
                              || (changed && std::stoi(request.substr(after + 6)) < 2);
            while (!news && !this->silent() && this->elapsed() < until) {
                std::this_thread::sleep_for(std::chrono::milliseconds(5));
            }
            if (this->silent()) {
                // What is lost stays lost when the store has returned.
                connection.closedWithin(60'000);
                return;
            }
            const std::string version = changed ? "2" : "1";
            const std::string row
                    = R"({"table":"op","part":"","key":"config","value":"","ver":)" + version + "}";
            connection.write(responseTo(request, "200 OK", "",
                                        R"({"rows":[)" + (news ? row : "")
                                                + R"(],"has_more":false,"ver":)" + version + "}"));
        }
    }

    Common::Instant start;
    absl::Duration outageEnd;
    ScriptedBackend backend { [this](ScriptedConnection &connection) { this->serve(connection); } };
};

StoreSync::Table operatorTable()
{
    for (StoreSync::Table &table : storeTables()) {
        if (table.name == Adapter::operatorTable) {
            return table;
        }
    }
    throw std::logic_error("no table of the operator");
}

/// The only VM of a deployment, with the table of the operator.
struct OnlyVm
{
    explicit OnlyVm(absl::Duration outage) : store(outage) { }

    StoreSync::Hooks hooks()
    {
        StoreSync::Hooks result;
        result.onChanges = [](const std::string &, const auto &changes) { return changes; };
        result.peers.plan = [this]() -> const Membership::SpreadPlan & { return this->plan; };
        result.peers.send = [](const auto &, const auto &) {};
        result.peers.spread = [](const auto &, const auto &) {};
        result.peers.readsCompressedValues = [](const auto &) { return true; };
        result.readerRank = [] { return std::size_t { 0 }; };
        result.firstReadDelay = [](const std::string &) { return absl::ZeroDuration(); };
        return result;
    }
    void advance()
    {
        this->sync.advance(Common::monotonicNow());
        this->context.poll();
        this->context.restart();
        const auto &rows = this->sync.replica(Adapter::operatorTable).rows();
        const auto row = rows.find("config");
        if (!this->learnedAt && row != rows.end() && row->second.position.version() == 2) {
            this->learnedAt = Common::monotonicNow();
        }
    }

    SilentStore store;
    boost::asio::io_context context;
    Common::EventLog log { "vm-1", {} };
    Telemetry::MetricsRegistry metrics;
    Membership::SpreadPlan plan {
        { Common::VmName("vm-1"), Common::ZoneName("a"), Common::RegionName("west") }, {}, {}
    };
    StoreSync sync { this->context, this->store.address(), { operatorTable() }, this->hooks(),
                     this->log,     this->metrics };
    std::optional<Common::Instant> learnedAt;
};

} // namespace

// Guards against a VM without peers that acts by an old configuration, because it reads the store
// too late after an outage (CONFIG).
TEST_CASE("A VM reads the operator's table soon after an outage of any length")
{
    std::list<OnlyVm> vms;
    for (int tenths = 3; tenths <= 93; tenths += 3) {
        vms.emplace_back(absl::Milliseconds(100) * tenths);
    }
    const Common::Instant end = vms.back().store.returnsAt() + 2 * stableWindow;
    while (Common::monotonicNow() < end
           && std::any_of(vms.begin(), vms.end(), [](const auto &vm) { return !vm.learnedAt; })) {
        for (OnlyVm &vm : vms) {
            vm.advance();
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(10));
    }
    for (const OnlyVm &vm : vms) {
        REQUIRE(vm.learnedAt);
        CHECK(*vm.learnedAt - vm.store.returnsAt() < stableWindow);
    }
}
