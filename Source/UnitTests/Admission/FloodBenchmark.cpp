#include <algorithm>
#include <array>
#include <cmath>
#include <iostream>
#include <queue>
#include <random>

#include <catch2/catch.hpp>

#include "currantfall/Admission/AdmissionQueue.h"

using namespace Currantfall::Admission;
using namespace Currantfall::Common;

namespace {

constexpr std::size_t slots = 8;
constexpr double meanServiceSeconds = 0.05;
constexpr double capacity = static_cast<double>(slots) / meanServiceSeconds;
constexpr double floodStart = 20.0;
constexpr double end = 80.0;

/// One kind of work: `load` and `flood` are arrivals as multiples of the capacity.
struct Class
{
    const char *service;
    const char *tenant;
    RankIndex rank;
    double load;
    double flood;
    double deadlineSeconds;
};

struct Scenario
{
    const char *name;
    std::vector<Class> classes;
};

struct Result
{
    int offered = 0;
    int started = 0;
    int inTime = 0;
    std::vector<double> waits;
    std::vector<double> latencies;
};

double quantile(std::vector<double> values, double q)
{
    if (values.empty()) {
        return 0.0;
    }
    std::sort(values.begin(), values.end());
    return values[static_cast<std::size_t>(q * static_cast<double>(values.size() - 1))];
}

Instant at(double seconds)
{
    return Instant::fromOrigin(absl::Seconds(seconds));
}

/// A discrete-event run: Poisson arrivals, service times with a mean of 50 ms and a long tail.
template<typename Discipline>
class Simulation
{
public:
    Simulation(const Scenario &scenario, unsigned seed)
        : scenario(scenario), results(scenario.classes.size()), queue(settings()), random(seed)
    { }

    std::vector<Result> run()
    {
        for (std::size_t index = 0; index < this->scenario.classes.size(); ++index) {
            this->scheduleArrival(0.0, index);
        }
        while (!this->events.empty()) {
            const Event event = this->events.top();
            this->events.pop();
            if (event.arrival) {
                this->arrive(event);
            } else {
                this->complete(event);
            }
            this->startAll(event.time);
        }
        return this->results;
    }

private:
    struct Event
    {
        double time;
        bool arrival;
        std::size_t subject; // Class of an arrival, request of a completion.

        bool operator<(const Event &other) const { return this->time > other.time; }
    };
    struct Request
    {
        std::size_t kind;
        double arrived;
        double serviceSeconds;
    };

    static QueueSettings settings()
    {
        QueueSettings result;
        result.discipline.floors = { 0.0, 0.15, 0.05 };
        result.discipline.tenants = { { TenantName("big"), 2.0 }, { TenantName("small"), 1.0 } };
        result.slots = slots;
        result.maxQueued = 512;
        result.maxQueuedBytes = 1U << 30U;
        return result;
    }

    bool counted(const Request &request) const { return request.arrived >= floodStart + 2.0; }

    void scheduleArrival(double now, std::size_t index)
    {
        const Class &kind = this->scenario.classes[index];
        const double load = now >= floodStart ? kind.flood : kind.load;
        const double next = now + std::exponential_distribution<>(load * capacity)(this->random);
        if (next < end) {
            this->events.push({ next, true, index });
        }
    }

    void arrive(const Event &event)
    {
        const Class &kind = this->scenario.classes[event.subject];
        this->scheduleArrival(event.time, event.subject);
        const double service = std::lognormal_distribution<>(std::log(meanServiceSeconds) - 0.125,
                                                             0.5)(this->random);
        const Request request { event.subject, event.time, service };
        this->requests.push_back(request);
        this->results[event.subject].offered += this->counted(request) ? 1 : 0;
        (void)this->queue.offer(at(event.time),
                                { this->requests.size(),
                                  kind.rank,
                                  { TenantName(kind.tenant), ServiceName(kind.service) },
                                  at(event.time + kind.deadlineSeconds),
                                  0 });
    }

    void complete(const Event &event)
    {
        const Request &request = this->requests[event.subject - 1];
        const Class &kind = this->scenario.classes[request.kind];
        this->queue.finished(at(event.time), event.subject, absl::Seconds(request.serviceSeconds));
        Result &result = this->results[request.kind];
        const double latency = event.time - request.arrived;
        if (this->counted(request)) {
            result.inTime += latency <= kind.deadlineSeconds ? 1 : 0;
            result.latencies.push_back(latency);
        }
    }

    void startAll(double now)
    {
        while (const auto start = this->queue.next(at(now)).start) {
            const Request &request = this->requests[start->id - 1];
            this->events.push({ now + request.serviceSeconds, false, start->id });
            if (this->counted(request)) {
                Result &result = this->results[request.kind];
                ++result.started;
                result.waits.push_back(now - request.arrived);
            }
        }
    }

    const Scenario &scenario;
    std::vector<Result> results;
    BasicAdmissionQueue<Discipline> queue;
    std::mt19937_64 random;
    std::priority_queue<Event> events;
    std::vector<Request> requests;
};

template<typename Discipline>
void report(const char *discipline, const Scenario &scenario, unsigned seed)
{
    const std::vector<Result> results = Simulation<Discipline>(scenario, seed).run();
    int inTime = 0;
    int started = 0;
    for (const Result &result : results) {
        inTime += result.inTime;
        started += result.started;
    }
    std::cout << R"({"scenario":")" << scenario.name << R"(","discipline":")" << discipline
              << R"(","seed":)" << seed << R"(,"goodput":)"
              << inTime / (capacity * (end - floodStart - 2.0)) << R"(,"classes":[)";
    for (std::size_t index = 0; index < results.size(); ++index) {
        const Result &result = results[index];
        const Class &kind = scenario.classes[index];
        std::cout << (index == 0 ? "" : ",") << R"({"service":")" << kind.service
                  << R"(","tenant":")" << kind.tenant << R"(","rank":)" << kind.rank
                  << R"(,"success":)" << static_cast<double>(result.inTime) / result.offered
                  << R"(,"share_of_starts":)" << static_cast<double>(result.started) / started
                  << R"(,"late":)" << result.started - result.inTime << R"(,"p99_wait_ms":)"
                  << 1000.0 * quantile(result.waits, 0.99) << R"(,"p99_latency_ms":)"
                  << 1000.0 * quantile(result.latencies, 0.99) << "}";
    }
    std::cout << "]}\n";
}

} // namespace

TEST_CASE("Disciplines under floods", "[.benchmark]")
{
    const Class availability { "slotview", "big", 0, 0.3, 0.3, 1.0 };
    const Class bookings { "bellbook", "small", 0, 0.1, 0.1, 3.0 };
    const Class uploads { "scrollcast", "big", 1, 0.14, 0.14, 10.0 };
    const Class archive { "oldnews", "big", 2, 0.05, 0.05, 30.0 };
    Class archiveFlood = archive;
    archiveFlood.flood = 10.0;
    Class availabilityFlood = availability;
    availabilityFlood.flood = 5.0;
    const std::array scenarios {
        Scenario { "no flood", { availability, bookings, uploads, archive } },
        Scenario { "archive 10x", { availability, bookings, uploads, archiveFlood } },
        Scenario { "availability 5x", { availabilityFlood, bookings, uploads, archive } },
    };
    for (const Scenario &scenario : scenarios) {
        for (unsigned seed = 1; seed <= 3; ++seed) {
            report<RankedFair>("ranked-fair", scenario, seed);
            report<StrictPriority>("strict-priority", scenario, seed);
            report<WeightedFair>("weighted-fair", scenario, seed);
            report<AdaptiveLifo>("adaptive-lifo", scenario, seed);
        }
    }
}
