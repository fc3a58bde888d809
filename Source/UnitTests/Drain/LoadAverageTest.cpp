#include "currantfall/Drain/LoadAverage.h"

#include <cmath>

#include <catch2/catch.hpp>

namespace Currantfall::Drain {

namespace {

Common::Instant at(std::int64_t ms)
{
    return Common::Instant::fromOrigin(absl::Milliseconds(ms));
}

} // namespace

// Guards against a headroom check that refuses or allows a drain because of one moment's load.
TEST_CASE("The load average covers many seconds and follows lasting changes")
{
    LoadAverage average;
    REQUIRE(average.mean() == 0.0);
    std::int64_t now = 0;
    const auto run = [&](std::int64_t durationMs, double even, double odd) {
        for (const std::int64_t end = now + durationMs; now < end; now += 20) {
            average.add(at(now), now / 20 % 2 == 0 ? even : odd);
        }
    };
    run(2'000, 12, 2);
    REQUIRE(std::abs(average.mean() - 7) < 0.2);
    // A burst of a fifth of a second changes little.
    run(200, 12, 12);
    REQUIRE(average.mean() < 7.6);
    run(60'000, 3, 3);
    REQUIRE(std::abs(average.mean() - 3) < 0.1);
    // After a gap in the calls, the latest sample counts for all of it.
    now += 60'000;
    run(20, 9, 9);
    REQUIRE(average.mean() > 8.9);
}

} // namespace Currantfall::Drain
