#include "currantfall/Drain/DrainState.h"

#include <catch2/catch.hpp>

namespace Currantfall::Drain {

namespace {

const DrainTarget zone { DrainKind::Zone, "lm-a" };
const DrainTarget server { DrainKind::BackendServer, "bellbook-lm-a-1" };
const Common::VmName first("vm-1");
const Common::VmName second("vm-2");

} // namespace

TEST_CASE("A drain is not empty before every VM has reported")
{
    DrainState state;
    REQUIRE_FALSE(state.empty(zone));
    state.setTargets({ zone });
    REQUIRE_FALSE(state.empty(zone));
    state.setReporters({ first, second });
    state.report(zone, first, {});
    REQUIRE_FALSE(state.empty(zone));
    REQUIRE(state.holders(zone) == std::vector<DrainState::Holder> { { second, std::nullopt } });
    state.report(zone, second, {});
    REQUIRE(state.empty(zone));
}

TEST_CASE("Status says which VM holds what, until its last report is empty")
{
    DrainState state;
    state.setTargets({ zone, server });
    state.setReporters({ first, second });
    state.report(zone, first, { 2, 1, 0 });
    state.report(zone, second, { 0, 0, 5 });
    REQUIRE(state.held(zone) == HeldWork { 2, 1, 5 });
    state.report(zone, first, {});
    REQUIRE(state.holders(zone)
            == std::vector<DrainState::Holder> { { second, HeldWork { 0, 0, 5 } } });
    REQUIRE(state.holders(server).size() == 2);
}

TEST_CASE("A dead VM does not hold a drain for ever")
{
    DrainState state;
    state.setTargets({ zone });
    state.setReporters({ first, second });
    state.report(zone, first, {});
    state.report(zone, second, { 1, 0, 0 });
    state.setReporters({ first });
    state.report(zone, second, { 1, 0, 0 });
    REQUIRE(state.empty(zone));
}

TEST_CASE("A drain that starts again does not use reports of the one before")
{
    DrainState state;
    state.setReporters({ first });
    state.setTargets({ zone, server });
    state.report(zone, first, {});
    state.report(server, first, {});
    state.setTargets({ server });
    state.setTargets({ server, zone });
    REQUIRE(state.empty(server));
    REQUIRE_FALSE(state.empty(zone));
}

} // namespace Currantfall::Drain
