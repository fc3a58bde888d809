#include "currantfall/Steering/OverduePolicy.h"

#include <catch2/catch.hpp>

using Currantfall::Steering::OverduePolicy;

namespace {

// Service times of Bellringer's availability checks with a cache hit and a cache miss.
constexpr absl::Duration cacheHitTime = absl::Milliseconds(290);
constexpr absl::Duration cacheMissTime = absl::Milliseconds(880);

} // namespace

// Load pattern: a tenth of the servers is five times slower than usual. They still answer cache
// hits, only later; a hedge would take a slot and a run with a cache miss on another server.
TEST_CASE("Requests to slow servers are not hedged")
{
    CHECK(OverduePolicy::hedgeAfter(cacheHitTime, cacheMissTime, absl::Seconds(4))
          > cacheHitTime * 5);
}

// Guards against time-outs when an answer is lost and the caller waits for four seconds.
TEST_CASE("A request without an answer is hedged if the remaining time covers a cache miss")
{
    const absl::Duration hedgeDelay
            = OverduePolicy::hedgeAfter(cacheHitTime, cacheMissTime, absl::Seconds(4));
    CHECK(hedgeDelay + cacheMissTime <= absl::Seconds(4));
    CHECK(OverduePolicy::hedgeAfter(cacheHitTime, cacheMissTime, absl::Seconds(2))
          == absl::InfiniteDuration());
}

TEST_CASE("The connection to a suspected server is checked earlier")
{
    CHECK(OverduePolicy::checkAfter(cacheHitTime, true)
          < OverduePolicy::checkAfter(cacheHitTime, false));
    // The connection is checked before the request is hedged.
    CHECK(OverduePolicy::checkAfter(cacheHitTime, false)
          < OverduePolicy::hedgeAfter(cacheHitTime, cacheMissTime, absl::Seconds(4)));
}
