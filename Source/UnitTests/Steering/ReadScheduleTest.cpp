#include "currantfall/Steering/ReadSchedule.h"

#include <catch2/catch.hpp>

using namespace Currantfall::Steering;

// Answers the pattern of hundreds of VMs that start at the same time.
TEST_CASE("VMs that start at the same time read tables from the store one after another")
{
    CHECK(firstReadDelay({ false, true, std::nullopt, 0.9 }) == absl::ZeroDuration());
    CHECK(firstReadDelay({ false, false, 0, 0.9 }) == absl::ZeroDuration());
    CHECK(firstReadDelay({ false, false, 10, 0.5 }) == absl::Milliseconds(100));
    CHECK(firstReadDelay({ false, false, 300, 0.0 }) == absl::ZeroDuration());
    CHECK(firstReadDelay({ false, false, 300, 1.0 }) == absl::Seconds(2));
    CHECK(firstReadDelay({ false, false, 3000, 1.0 }) == absl::Seconds(2));
    // At the first start the list is empty; the VMs find each other first.
    CHECK(firstReadDelay({ true, true, std::nullopt, 0.5 }) == absl::Milliseconds(500));
    CHECK(firstReadDelay({ true, false, 0, 0.0 }) > firstReadDelay({ true, true, 0, 1.0 }));
}
