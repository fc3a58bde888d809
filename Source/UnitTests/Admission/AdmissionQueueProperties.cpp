#include <map>
#include <numeric>

#include <absl/container/flat_hash_set.h>
#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include "currantfall/Admission/AdmissionQueue.h"

using namespace Currantfall::Admission;
using namespace Currantfall::Common;

namespace {

Instant at(int milliseconds)
{
    return Instant::fromOrigin(absl::Milliseconds(milliseconds));
}

QueueSettings settings(const std::vector<double> &floors)
{
    QueueSettings result;
    result.discipline.floors = floors;
    result.discipline.tenants = { { TenantName("t0"), 3.0 }, { TenantName("t1"), 1.0 } };
    result.discipline.overloadInterval = absl::Milliseconds(20);
    result.slots = 2;
    result.maxQueued = 6;
    result.maxQueuedBytes = 40;
    result.initialServiceTime = absl::Milliseconds(5);
    return result;
}

/// Sets of requests, without any order: what each discipline must keep to.
template<typename Queue>
class Model
{
public:
    void step()
    {
        this->now += *rc::gen::inRange(0, 20);
        switch (*rc::gen::inRange(0, 10)) {
        case 0:
            this->slots = *rc::gen::inRange<std::size_t>(0, 4);
            this->queue.setSlots(at(this->now), this->slots);
            return;
        case 1:
            this->cancel();
            return;
        case 2:
        case 3:
        case 4:
            this->end();
            return;
        case 5:
        case 6:
            this->next();
            return;
        default:
            this->offer();
        }
    }

    void finish()
    {
        this->now += 100000;
        this->next();
        RC_ASSERT(this->waiting.empty());
        RC_ASSERT(this->queue.queued() == 0U);
        RC_ASSERT(this->queue.queuedBytes() == 0U);
    }

private:
    void offer()
    {
        const auto tenant = std::string("t").append(std::to_string(*rc::gen::inRange(0, 4)));
        const RequestId id = ++this->lastId;
        const QueuedRequest request { id,
                                      *rc::gen::inRange<RankIndex>(0, 4),
                                      { TenantName(tenant), ServiceName("s") },
                                      at(this->now + *rc::gen::inRange(-5, 200)),
                                      *rc::gen::inRange<std::size_t>(0, 15) };
        if (this->queue.offer(at(this->now), request)) {
            this->waiting.emplace(id, request);
        }
        RC_ASSERT(this->queue.queued() <= 6U);
        RC_ASSERT(this->queue.queuedBytes() <= 40U);
    }

    void next()
    {
        const Selection selection = this->queue.next(at(this->now));
        for (const DroppedRequest &dropped : selection.dropped) {
            RC_ASSERT(this->waiting.erase(dropped.request.id) == 1U);
        }
        if (selection.start) {
            RC_ASSERT(this->waiting.erase(selection.start->id) == 1U);
            RC_ASSERT(this->running.size() < this->slots);
            RC_ASSERT(at(this->now) < selection.start->deadline);
            this->running.insert(selection.start->id);
        } else if (this->running.size() < this->slots) {
            RC_ASSERT(this->waiting.empty());
        }
        RC_ASSERT(this->queue.queued() == this->waiting.size());
        RC_ASSERT(this->queue.inUse() == this->running.size());
    }

    void cancel()
    {
        if (this->lastId == 0) {
            return;
        }
        const RequestId id = *rc::gen::inRange<RequestId>(1, this->lastId + 1);
        // A displaced request stays in the model until next() reports it.
        if (this->queue.cancel(id)) {
            RC_ASSERT(this->waiting.erase(id) == 1U);
        }
    }

    void end()
    {
        if (this->running.empty()) {
            return;
        }
        const RequestId id = *this->running.begin();
        this->running.erase(id);
        if (*rc::gen::inRange(0, 4) == 0) {
            this->queue.abandoned(at(this->now), id);
        } else {
            this->queue.finished(at(this->now), id, absl::Milliseconds(*rc::gen::inRange(0, 30)));
        }
    }

    Queue queue = Queue(settings({ 0.0, 0.15, 0.05 }));
    std::size_t slots = 2;
    int now = 0;
    RequestId lastId = 0;
    std::map<RequestId, QueuedRequest> waiting;
    std::set<RequestId> running;
};

template<typename Discipline>
bool conservesRequests()
{
    return rc::check("each request is refused, started, dropped or cancelled exactly once", [] {
        Model<BasicAdmissionQueue<Discipline>> model;
        const int steps = *rc::gen::inRange(1, 150);
        for (int step = 0; step < steps; ++step) {
            model.step();
        }
        model.finish();
    });
}

} // namespace

TEST_CASE("No discipline loses a request or starts more than the slots")
{
    REQUIRE(conservesRequests<RankedFair>());
    REQUIRE(conservesRequests<StrictPriority>());
    REQUIRE(conservesRequests<WeightedFair>());
    REQUIRE(conservesRequests<AdaptiveLifo>());
}

TEST_CASE("With all ranks backlogged, every window of starts keeps every floor")
{
    REQUIRE(rc::check("floors over a sliding window", [] {
        const auto parts = *rc::gen::container<std::vector<int>>(4, rc::gen::inRange(0, 26));
        std::vector<double> floors;
        floors.reserve(parts.size());
        for (const int part : parts) {
            floors.push_back(part / 100.0);
        }
        DisciplineSettings discipline;
        discipline.floors = floors;
        RankedFair ranked(discipline);
        std::uint64_t sequence = 0;
        const auto push = [&](RankIndex rank) {
            ++sequence;
            ranked.push({ { sequence, rank, {}, at(0), 0 }, sequence, at(0) });
        };
        for (RankIndex rank = 0; rank < floors.size(); ++rank) {
            push(rank);
        }
        constexpr std::size_t window = 100;
        std::vector<RankIndex> starts;
        for (int start = 0; start < 500; ++start) {
            starts.push_back(ranked.pop(at(0))->request.rank);
            push(starts.back());
        }
        for (std::size_t first = 0; first + window <= starts.size(); ++first) {
            std::vector<std::size_t> counts(floors.size(), 0);
            for (std::size_t start = first; start < first + window; ++start) {
                ++counts[starts[start]];
            }
            for (RankIndex rank = 0; rank < floors.size(); ++rank) {
                // A window may begin right after a start of the rank, and starts are whole.
                const double least = floors[rank] * window - static_cast<double>(floors.size());
                RC_ASSERT(static_cast<double>(counts[rank]) >= least);
            }
        }
    }));
}

TEST_CASE("Backlogged flows of a rank start in proportion to their weights")
{
    REQUIRE(rc::check("weighted fairness", [] {
        const auto weights = *rc::gen::container<std::vector<int>>(3, rc::gen::inRange(1, 6));
        std::vector<TenantWeight> tenants;
        tenants.reserve(weights.size());
        for (std::size_t index = 0; index < weights.size(); ++index) {
            tenants.push_back({ TenantName(std::string("t").append(std::to_string(index))),
                                static_cast<double>(weights[index]) });
        }
        FairQueue queue(tenants);
        std::uint64_t sequence = 0;
        const auto push = [&](std::size_t tenant) {
            ++sequence;
            const FlowKey flow { tenants[tenant].name, ServiceName("s") };
            queue.push({ { sequence, tenant, flow, at(0), 0 }, sequence, at(0) });
        };
        // Backlogs of any lengths, none of which runs out.
        for (std::size_t tenant = 0; tenant < weights.size(); ++tenant) {
            const int backlog = *rc::gen::inRange(2, 30);
            for (int entry = 0; entry < backlog; ++entry) {
                push(tenant);
            }
        }
        const int total = std::accumulate(weights.begin(), weights.end(), 0);
        std::vector<int> counts(weights.size(), 0);
        for (int start = 0; start < 20 * total; ++start) {
            const std::size_t tenant = queue.pop()->request.rank;
            ++counts[tenant];
            push(tenant);
        }
        for (std::size_t tenant = 0; tenant < weights.size(); ++tenant) {
            RC_ASSERT(std::abs(counts[tenant] - 20 * weights[tenant]) <= weights[tenant]);
        }
    }));
}
