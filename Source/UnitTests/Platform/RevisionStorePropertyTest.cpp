#include <set>

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include "FakePlatform.h"

using namespace Currantfall;
using namespace Currantfall::Platform;

namespace {

const std::vector<std::string> zones = { "lm-a", "lm-b", "ok-a" };

Common::Result<EnvironmentRow> change(RevisionStore<FakePlatform> &store, unsigned choice)
{
    const DrainTarget target = { DrainKind::Zone, zones[choice % zones.size()] };
    switch (choice % 4) {
    case 0:
        return store.startDrain(target, "ana",
                                [](const EnvironmentRow &) { return Common::Result<void>(); });
    case 1:
        return store.finishDrain(target, "ana");
    case 2:
        return store.rollback(std::nullopt, "ana");
    default:
        return store.promote("document " + std::to_string(choice), "ana");
    }
}

/// What changes reported, by operation.
struct Reports
{
    std::set<std::string> succeeded;
    std::set<std::string> failed;
};

void runChange(FakePlatform &platform, unsigned choice, Reports &reports)
{
    auto store = platform.store();
    const std::uint64_t next = platform.lastOperation + 1;
    const auto result = change(store, choice);
    // Operations of changes that run before this one's write have later numbers.
    const std::string operation = "op-" + std::to_string(next);
    if (result) {
        RC_ASSERT(result->operation() == operation);
        reports.succeeded.insert(operation);
    } else if (!isResultUnknown(result.error())) {
        reports.failed.insert(operation);
    }
}

} // namespace

TEST_CASE("Under random faults and races, reports are true and revisions have no gap")
{
    rc::prop("a success has one effect and a failure has none", [] {
        FakePlatform platform;
        Reports reports;
        const auto steps = *rc::gen::container<std::vector<unsigned>>(
                30, rc::gen::inRange<unsigned>(0, 1000));
        for (const unsigned step : steps) {
            platform.writeFaults.clear();
            for (const int fault :
                 *rc::gen::container<std::vector<int>>(3, rc::gen::inRange(0, 9))) {
                platform.writeFaults.push_back(fault <= 5 ? static_cast<WriteFault>(fault)
                                                          : WriteFault::None);
            }
            if (step % 5 == 0) {
                platform.beforeWrite = [&] { runChange(platform, step / 5, reports); };
            }
            runChange(platform, step, reports);
        }
        std::set<std::string> accepted;
        for (std::size_t i = 0; i < platform.accepted.size(); ++i) {
            const auto row = EnvironmentRow::fromJson(platform.accepted[i]);
            RC_ASSERT(row.has_value());
            RC_ASSERT(row->revision() == i + 1);
            RC_ASSERT(accepted.insert(row->operation()).second);
            RC_ASSERT(!reports.failed.contains(row->operation()));
        }
        for (const std::string &operation : reports.succeeded) {
            RC_ASSERT(accepted.contains(operation));
        }
    });
}
