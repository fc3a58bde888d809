#include "currantfall/Admission/AdmissionQueue.h"

#include <catch2/catch.hpp>

using namespace Currantfall::Admission;
using namespace Currantfall::Common;

namespace {

Instant at(int milliseconds)
{
    return Instant::fromOrigin(absl::Milliseconds(milliseconds));
}

QueuedRequest request(RequestId id, RankIndex rank, int deadline, const std::string &tenant = "a",
                      std::size_t bytes = 0)
{
    return { id, rank, { TenantName(tenant), ServiceName("s") }, at(deadline), bytes };
}

QueueSettings settings(std::size_t slots, std::size_t maxQueued = 100)
{
    QueueSettings result;
    result.discipline.floors = { 0.0, 0.15, 0.05 };
    result.discipline.tenants = { { TenantName("a"), 2.0 }, { TenantName("b"), 1.0 } };
    result.slots = slots;
    result.maxQueued = maxQueued;
    result.maxQueuedBytes = 1000;
    result.initialServiceTime = absl::Milliseconds(100);
    return result;
}

} // namespace

TEST_CASE("A request that can't start early enough is refused at once, with the wait to expect")
{
    AdmissionQueue queue(settings(1));
    REQUIRE(queue.offer(at(0), request(1, 0, 1000)));
    REQUIRE(queue.next(at(0)).start->id == 1);
    // One start takes 100 ms: the third one waits 300 ms and ends after 400 ms.
    REQUIRE(queue.offer(at(0), request(2, 0, 1000)));
    REQUIRE(queue.offer(at(0), request(3, 0, 1000)));
    const auto refused = queue.offer(at(0), request(4, 0, 390));
    REQUIRE(refused.error().reason == Reason::Overloaded);
    REQUIRE(refused.error().retryAfter == absl::Milliseconds(50));
    REQUIRE(queue.offer(at(0), request(5, 0, 400)));
    REQUIRE(queue.offer(at(0), request(6, 0, 99)).error().reason == Reason::DeadlineTooShort);
}

TEST_CASE("A request that expires in the queue is reported once and never started")
{
    AdmissionQueue queue(settings(1));
    REQUIRE(queue.offer(at(0), request(1, 0, 1000)));
    REQUIRE(queue.next(at(0)).start);
    REQUIRE(queue.offer(at(0), request(2, 0, 300)));
    REQUIRE(queue.nextExpiry() == at(200));
    REQUIRE(queue.next(at(200)).dropped.empty());
    const Selection late = queue.next(at(201));
    REQUIRE(late.dropped.size() == 1);
    REQUIRE(late.dropped.front().request.id == 2);
    queue.finished(at(202), 1, absl::Milliseconds(202));
    const Selection after = queue.next(at(202));
    REQUIRE(!after.start);
    REQUIRE(after.dropped.empty());
    REQUIRE(!queue.cancel(2));
}

TEST_CASE("Fewer slots than in use start nothing until enough requests have ended")
{
    AdmissionQueue queue(settings(2));
    for (RequestId id = 1; id <= 3; ++id) {
        REQUIRE(queue.offer(at(0), request(id, 0, 10000)));
    }
    REQUIRE(queue.next(at(0)).start);
    REQUIRE(queue.next(at(0)).start);
    queue.setSlots(at(1), 1);
    queue.finished(at(2), 1, absl::Milliseconds(2));
    REQUIRE(!queue.next(at(2)).start);
    queue.abandoned(at(3), 2);
    REQUIRE(queue.next(at(3)).start->id == 3);
}

TEST_CASE("An idle queue recovers from an estimate that is longer than every deadline")
{
    AdmissionQueue queue(settings(1));
    REQUIRE(queue.offer(at(0), request(1, 0, 3000)));
    REQUIRE(queue.next(at(0)).start);
    queue.finished(at(5000), 1, absl::Seconds(5));
    for (RequestId id = 2; id < 80; ++id) {
        REQUIRE(queue.offer(at(5000), request(id, 0, 8000)));
        REQUIRE(queue.next(at(5000)).start);
        REQUIRE(!queue.offer(at(5000), request(1000 + id, 0, 5001)));
        queue.finished(at(5000), id, absl::Milliseconds(10));
    }
    REQUIRE(queue.expectedServiceTime(ServiceName("s")) < absl::Milliseconds(20));
}

TEST_CASE("A queue full of low-rank requests of one tenant admits others in their place")
{
    AdmissionQueue queue(settings(1, 10));
    REQUIRE(queue.offer(at(0), request(1, 0, 100000)));
    REQUIRE(queue.next(at(0)).start);
    for (RequestId id = 10; id < 20; ++id) {
        REQUIRE(queue.offer(at(0), request(id, 2, 100000, "a", 50)));
    }
    REQUIRE(!queue.offer(at(0), request(20, 2, 100000)));
    REQUIRE(queue.offer(at(0), request(21, 2, 100000, "b")));
    REQUIRE(queue.offer(at(0), request(22, 0, 100000)));
    const Selection selection = queue.next(at(0));
    REQUIRE(selection.dropped.size() == 2);
    REQUIRE(selection.dropped[0].request.id == 19);
    REQUIRE(selection.dropped[1].refusal.reason == Reason::Overloaded);
    // Bytes are limited as well.
    REQUIRE(queue.queuedBytes() == 400);
    REQUIRE(queue.cancel(10));
    REQUIRE(!queue.offer(at(0), request(23, 0, 100000, "a", 1001)));
}

TEST_CASE("Another document keeps queued requests, and dropAll reports each of them")
{
    AdmissionQueue queue(settings(1));
    for (RequestId id = 1; id <= 3; ++id) {
        REQUIRE(queue.offer(at(0), request(id, 1, 10000)));
    }
    QueueSettings oneRank = settings(7);
    oneRank.discipline.floors = { 0.0 };
    queue.reconfigure(at(0), oneRank);
    REQUIRE(queue.slots() == 1);
    REQUIRE(queue.next(at(0)).start->id == 1);
    queue.dropAll(Reason::NoCapacity);
    REQUIRE(queue.next(at(0)).dropped.size() == 2);
    REQUIRE(queue.queued() == 0);
}

TEST_CASE("Invented tenant names don't add shares")
{
    AdmissionQueue queue(settings(100));
    for (RequestId id = 1; id <= 50; ++id) {
        const std::string tenant = id <= 25 ? "b" : "invented-" + std::to_string(id);
        REQUIRE(queue.offer(at(0), request(id, 0, 100000, tenant)));
    }
    int ofTenant = 0;
    for (int start = 0; start < 20; ++start) {
        ofTenant += queue.next(at(0)).start->id <= 25 ? 1 : 0;
    }
    REQUIRE(ofTenant == 10);
}
