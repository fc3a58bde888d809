#include "currantfall/Steering/ReadSchedule.h"

#include <algorithm>

#include <catch2/catch.hpp>

using namespace Currantfall::Steering;

// Answers the pattern of hundreds of VMs that start at the same time.
TEST_CASE("VMs that start at the same time read large tables from the store one after another")
{
    FirstRead first;
    first.share = 1.0;
    SECTION("the VMs are listed")
    {
        const int listed = GENERATE(0, 10, 100, 3000);
        first.listedVms = listed;
        const absl::Duration longest = std::min(absl::Milliseconds(10) * listed, absl::Seconds(1));
        CHECK(firstReadDelay(first) == longest);
        first.share = 0.5;
        CHECK(firstReadDelay(first) == longest / 2);
        first.share = 0.0;
        CHECK(firstReadDelay(first) == absl::ZeroDuration());
    }
    SECTION("the list is not known yet")
    {
        CHECK(firstReadDelay(first) == absl::Seconds(1));
    }
    SECTION("the list itself, and what lookups need, are read at once")
    {
        first.listedVms = 3000;
        first.listsVms = GENERATE(false, true);
        first.small = !first.listsVms;
        CHECK(firstReadDelay(first) == absl::ZeroDuration());
    }
}

// The list is empty then, so that the VMs find each other first.
TEST_CASE("At the first start of a fleet its tables are read after its list")
{
    FirstRead list;
    list.firstStart = true;
    list.listsVms = true;
    list.share = 1.0;
    FirstRead table;
    table.firstStart = true;
    table.small = GENERATE(false, true);
    CHECK(firstReadDelay(list) <= absl::Seconds(1));
    CHECK(firstReadDelay(table) > firstReadDelay(list));
    table.share = 1.0;
    CHECK(firstReadDelay(table) <= absl::Milliseconds(3500));
}
