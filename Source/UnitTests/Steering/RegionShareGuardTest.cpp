#include "currantfall/Steering/RegionShareGuard.h"

#include <algorithm>
#include <random>

#include <catch2/catch.hpp>

using namespace Currantfall;
using namespace Currantfall::Steering;

namespace {

const Common::RegionName home("home");
const Common::RegionName own("own");
const HomeRegions onlyHome = HomeRegions::fromList({ home });

/// Requests of callers of region "own". A tenant's may only run in "home"; all others run in "own".
class Traffic
{
public:
    /// Sends requests for `seconds`, of which the tenant's are `tenantPerSecond`. Returns the
    /// largest share of the requests that ran in "home", over windows of two seconds.
    double run(int seconds, int tenantPerSecond, int othersPerSecond)
    {
        double largest = 0.0;
        for (int window = 0; window < seconds / 2; ++window) {
            double inHome = 0.0;
            double total = 0.0;
            for (int step = 0; step < 200; ++step) {
                this->now = this->now + absl::Milliseconds(10);
                for (int count = this->arrivals(othersPerSecond); count > 0; --count) {
                    this->guard.record(own, this->now);
                    ++total;
                }
                for (int count = this->arrivals(tenantPerSecond); count > 0; --count) {
                    if (this->guard.admits(onlyHome, this->now)) {
                        this->guard.record(home, this->now);
                        ++inHome;
                        ++total;
                    } else {
                        ++this->refused;
                    }
                }
            }
            largest = std::max(largest, inHome / total);
        }
        return largest;
    }

    int refused = 0;

private:
    int arrivals(int perSecond)
    {
        return std::poisson_distribution<int>(perSecond / 100.0)(this->random);
    }

    RegionShareGuard guard;
    Common::Instant now;
    std::mt19937 random { 1 };
};

} // namespace

// Guards against a tenant with a home elsewhere whose surge moves the requests of a region (SHIFT).
TEST_CASE("A surge of a tenant with homes changes the regions of requests slowly")
{
    Traffic traffic;
    const double usual = traffic.run(20, 60, 140);
    const double surge = traffic.run(2, 480, 140);
    CHECK(surge - usual <= 0.15);
    CHECK(surge > usual);
    CHECK(traffic.refused > 0);
}

// Guards against refusals when all requests become more, or by chance.
TEST_CASE("Requests with homes are not refused while their share stays as it is")
{
    Traffic traffic;
    traffic.run(20, 60, 140);
    traffic.run(20, 120, 280);
    traffic.run(20, 15, 35);
    CHECK(traffic.refused <= 30);
}

TEST_CASE("Requests that all regions may handle are never refused for their region")
{
    RegionShareGuard guard;
    const Common::Instant now = Common::Instant::fromOrigin(absl::Seconds(1));
    for (int count = 0; count < 1000; ++count) {
        guard.record(home, now);
        CHECK(guard.admits(HomeRegions(), now));
    }
}
