#include "currantfall/Steering/RowWriteSchedule.h"

#include <catch2/catch.hpp>

using namespace Currantfall::Steering;
using namespace Currantfall::Common;

namespace {

constexpr std::size_t fewVms = 50;

Instant at(int milliseconds)
{
    return Instant::fromOrigin(absl::Milliseconds(milliseconds));
}

/// Writes at `milliseconds` if the row is due.
bool write(RowWriteSchedule &schedule, int milliseconds, bool succeeds)
{
    if (!schedule.due(at(milliseconds), false, at(milliseconds), fewVms)) {
        return false;
    }
    schedule.started();
    CHECK_FALSE(schedule.due(at(milliseconds), false, at(milliseconds), fewVms));
    schedule.finished(at(milliseconds), succeeds);
    return true;
}

} // namespace

// Guards against a VM that others learn of late.
TEST_CASE("A row is written at once at the start")
{
    RowWriteSchedule schedule(0.9);
    CHECK(write(schedule, 0, true));
}

// Guards against a row that is missing for good after the store has lost it.
TEST_CASE("A row that the store has lost is written again")
{
    RowWriteSchedule schedule(0.5);
    CHECK_FALSE(schedule.due(at(0), true, at(0), fewVms));
    CHECK_FALSE(write(schedule, 1000, true));
    CHECK(write(schedule, 1500, true));
    CHECK_FALSE(schedule.due(at(9000), true, at(9000), fewVms));
    CHECK_FALSE(write(schedule, 10000, true));
    CHECK(write(schedule, 10500, true));
}

// Guards against repeated writes while the replica is older than the last write.
TEST_CASE("A write is not repeated before a newer replica shows that the row is missing")
{
    RowWriteSchedule schedule(0.0);
    CHECK(write(schedule, 1000, true));
    CHECK_FALSE(schedule.due(at(9000), false, at(900), fewVms));
    CHECK_FALSE(schedule.due(at(9000), false, at(1500), fewVms));
    CHECK(schedule.due(at(9000), false, at(1501), fewVms));
}

// Guards against a flood of writes when many VMs notice at once that their rows are missing.
TEST_CASE("Writes of many VMs are spread over a time that grows with their number")
{
    const std::size_t vmCount = 1000;
    RowWriteSchedule last(0.999);
    RowWriteSchedule first(0.0);
    CHECK_FALSE(last.due(at(0), true, at(0), vmCount));
    CHECK_FALSE(first.due(at(0), true, at(0), vmCount));
    CHECK(first.due(at(1), false, at(1), vmCount));
    CHECK_FALSE(last.due(at(1), false, at(1), vmCount));
    CHECK_FALSE(last.due(at(19900), false, at(1), vmCount));
    CHECK(last.due(at(20000), false, at(1), vmCount));
}

// Guards against a flood of writes that a busy store refuses.
TEST_CASE("Failed writes are repeated with exponential backoff")
{
    RowWriteSchedule schedule(0.0);
    int now = 0;
    CHECK(write(schedule, now, false));
    for (const int backoff : { 250, 500, 1000, 2000, 4000, 4000 }) {
        CHECK_FALSE(write(schedule, now + backoff - 1, false));
        CHECK(write(schedule, now + backoff, false));
        now += backoff;
    }
}
