#include "currantfall/Common/Time.h"

#include <ctime>

#include <catch2/catch.hpp>

using namespace Currantfall::Common;

namespace {

absl::Duration bootTime()
{
    timespec time {};
    clock_gettime(CLOCK_BOOTTIME, &time);
    return absl::DurationFromTimespec(time);
}

} // namespace

// Guards against leases and copies of the store that count as fresh after the VM was suspended.
TEST_CASE("Time goes on while the VM is suspended")
{
    const absl::Duration before = bootTime();
    const absl::Duration now = monotonicNow().sinceOrigin();
    CHECK(now >= before);
    CHECK(now <= bootTime());
}
