#include "currantfall/Common/TimerService.h"

#include <vector>

#include <catch2/catch.hpp>

using namespace Currantfall::Common;

namespace {

Instant at(int milliseconds)
{
    return Instant::fromOrigin(absl::Milliseconds(milliseconds));
}

} // namespace

TEST_CASE("Timers run in the order of their due times")
{
    TimerService timers;
    std::vector<int> order;
    timers.subscribeOnce(at(20), [&order](Instant) { order.push_back(2); });
    timers.subscribeOnce(at(10), [&order](Instant) { order.push_back(1); });
    REQUIRE(timers.nextDue() == at(10));
    timers.advance(at(30));
    REQUIRE(order == std::vector<int> { 1, 2 });
    REQUIRE(timers.nextDue() == Instant::infinite());
}

TEST_CASE("A paused process runs a periodic timer once, not once for each missed period")
{
    TimerService timers;
    int calls = 0;
    timers.subscribeEvery(at(0), absl::Milliseconds(10), [&calls](Instant) { ++calls; });
    timers.advance(at(1000));
    REQUIRE(calls == 1);
    REQUIRE(timers.nextDue() == at(1010));
}

TEST_CASE("A callback can end its own subscription")
{
    TimerService timers;
    int calls = 0;
    TimerService::SubscriptionId id = 0;
    id = timers.subscribeEvery(at(0), absl::Milliseconds(10), [&](Instant) {
        ++calls;
        timers.unsubscribe(id);
    });
    timers.advance(at(10));
    timers.advance(at(20));
    REQUIRE(calls == 1);
}
