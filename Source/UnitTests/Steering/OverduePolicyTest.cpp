#include "currantfall/Steering/OverduePolicy.h"

#include <catch2/catch.hpp>

using Currantfall::Steering::OverduePolicy;

namespace {

// Availability checks of Bellringer: work with and without the object in the server's cache.
constexpr absl::Duration warm = absl::Milliseconds(290);
constexpr absl::Duration missed = absl::Milliseconds(880);

} // namespace

// Load pattern: a tenth of the servers is five times as slow. Their warm answers come late, but
// they come; a second request would take a slot and a cold run from others.
TEST_CASE("Requests of slow servers are not doubled")
{
    CHECK(OverduePolicy::hedgeAfter(warm, missed, absl::Seconds(4)) > warm * 5);
}

// Pattern: answers are lost, and the caller waits for four seconds.
TEST_CASE("A request without an answer goes to another server while there is time for its work")
{
    const absl::Duration after = OverduePolicy::hedgeAfter(warm, missed, absl::Seconds(4));
    CHECK(after + missed <= absl::Seconds(4));
    CHECK(OverduePolicy::hedgeAfter(warm, missed, absl::Seconds(2)) == absl::InfiniteDuration());
}

TEST_CASE("A suspected server is checked before others")
{
    CHECK(OverduePolicy::checkAfter(warm, true) < OverduePolicy::checkAfter(warm, false));
    // Before another server gets the request as well.
    CHECK(OverduePolicy::checkAfter(warm, false)
          < OverduePolicy::hedgeAfter(warm, missed, absl::Seconds(4)));
}
