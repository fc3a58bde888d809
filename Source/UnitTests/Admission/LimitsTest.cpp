#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include "currantfall/Admission/CircuitBreaker.h"
#include "currantfall/Admission/ConcurrencyLimit.h"
#include "currantfall/Admission/EntryLimiter.h"

using namespace Currantfall::Admission;
using namespace Currantfall::Common;

namespace {

Instant at(int milliseconds)
{
    return Instant::fromOrigin(absl::Milliseconds(milliseconds));
}

FlowKey flow(const std::string &tenant, const std::string &service)
{
    return { TenantName(tenant), ServiceName(service) };
}

EntryLimiterSettings limits()
{
    return {
        100, 1000, { 0.0, 0.15, 0.05 }, { { TenantName("a"), 1.0 }, { TenantName("b"), 1.0 } }
    };
}

int fill(EntryLimiter &limiter, RankIndex rank, const FlowKey &of, std::size_t bytes = 0)
{
    int taken = 0;
    while (limiter.tryAcquire(rank, of, bytes)) {
        ++taken;
    }
    return taken;
}

} // namespace

TEST_CASE("A flood of the lowest rank leaves the other ranks their reserves")
{
    EntryLimiter limiter(limits());
    // Reserves are 40, 35 and 5; the lowest rank can borrow the remaining 20. One flow stops when
    // it holds eight times what is free.
    REQUIRE(fill(limiter, 2, flow("a", "archive")) == 23);
    REQUIRE(fill(limiter, 1, flow("a", "uploads")) >= 31);
    REQUIRE(fill(limiter, 0, flow("a", "bookings")) >= 35);
}

TEST_CASE("A flood of one service leaves room for another service and tenant of its rank")
{
    EntryLimiter limiter(limits());
    fill(limiter, 0, flow("a", "availability"));
    REQUIRE(limiter.tryAcquire(0, flow("b", "availability"), 0));
    REQUIRE(fill(limiter, 0, flow("a", "bookings")) >= 5);
}

TEST_CASE("Body bytes are limited, and released permits give back what they held")
{
    EntryLimiter limiter(limits());
    const auto permit = limiter.tryAcquire(0, flow("a", "s"), 500);
    REQUIRE(permit);
    REQUIRE(!limiter.tryAcquire(0, flow("b", "s"), 500));
    REQUIRE(limiter.tryAcquire(0, flow("b", "s"), 100));
    limiter.release(*permit);
    limiter.release(*permit);
    REQUIRE(limiter.requests() == 1);
    REQUIRE(limiter.bytes() == 100);
}

TEST_CASE("Entry limits hold for any sequence of requests")
{
    REQUIRE(rc::check("limits", [] {
        EntryLimiter limiter(limits());
        std::vector<EntryLimiter::Permit> permits;
        const int steps = *rc::gen::inRange(0, 300);
        for (int step = 0; step < steps; ++step) {
            const auto rank = *rc::gen::inRange<RankIndex>(0, 4);
            const auto tenant = std::string(1, static_cast<char>(*rc::gen::inRange('a', 'e')));
            if (*rc::gen::inRange(0, 5) == 0 && !permits.empty()) {
                limiter.release(permits.back());
                permits.pop_back();
            } else if (const auto permit
                       = limiter.tryAcquire(rank, flow(tenant, "s"), *rc::gen::inRange(0, 60))) {
                permits.push_back(*permit);
            }
            RC_ASSERT(limiter.requests() == permits.size());
            RC_ASSERT(limiter.requests() <= 100U);
            RC_ASSERT(limiter.bytes() <= 1000U);
            RC_ASSERT(limiter.requestsOf(2) <= 25U);
        }
    }));
}

TEST_CASE("A dead backend server gets one probe at a time, at growing intervals")
{
    CircuitBreaker breaker;
    for (int failure = 0; failure < 3; ++failure) {
        REQUIRE(breaker.tryAttempt(at(0)));
        breaker.failed(at(0));
    }
    REQUIRE(!breaker.tryAttempt(at(499)));
    REQUIRE(breaker.tryAttempt(at(500)));
    REQUIRE(!breaker.tryAttempt(at(500)));
    breaker.failed(at(510));
    REQUIRE(breaker.nextAttempt(at(510)) == at(1510));
    REQUIRE(breaker.tryAttempt(at(1510)));
    // The probe never reports: it counts as failed, and the server is probed again later.
    REQUIRE(!breaker.tryAttempt(at(3510)));
    REQUIRE(breaker.tryAttempt(at(5510)));
    breaker.succeeded();
    REQUIRE(breaker.state(at(5510)) == CircuitBreaker::State::Closed);
}

TEST_CASE("Failures that are not consecutive don't open the breaker")
{
    CircuitBreaker breaker;
    for (int round = 0; round < 10; ++round) {
        breaker.failed(at(0));
        breaker.failed(at(0));
        breaker.succeeded();
    }
    REQUIRE(breaker.tryAttempt(at(0)));
}

TEST_CASE("A shed answer lowers the limit for a while and never to zero")
{
    ConcurrencyLimit limit(4);
    limit.shed(at(0), 4);
    REQUIRE(limit.limit(at(0)) == 3);
    REQUIRE(limit.nextGrowth(at(0)) == at(1000));
    limit.shed(at(10), 1);
    REQUIRE(limit.limit(at(10)) == 1);
    REQUIRE(limit.limit(at(2010)) == 3);
    REQUIRE(limit.limit(at(3010)) == 4);
    REQUIRE(limit.nextGrowth(at(3010)) == Instant::infinite());
    limit.setSlots(2);
    REQUIRE(limit.limit(at(3010)) == 2);
}
