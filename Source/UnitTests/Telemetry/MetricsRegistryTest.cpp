#include "currantfall/Telemetry/MetricsRegistry.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <iostream>
#include <thread>

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include "currantfall/Telemetry/LatencyHistogram.h"

using namespace Currantfall::Common;
using namespace Currantfall::Telemetry;

namespace {

RequestLabels labels(const std::string &tenant, Outcome outcome = Outcome::Answered)
{
    return { ServiceName("bellbook"), TenantName(tenant), RankName("urgent"), outcome };
}

void setNames(MetricsRegistry &registry)
{
    registry.setKnownNames({ ServiceName("bellbook") }, { TenantName("a"), TenantName("b") },
                           { RankName("urgent") });
}

std::size_t linesWith(const std::string &page, const std::string &part)
{
    std::size_t count = 0;
    for (std::size_t at = page.find(part); at != std::string::npos; at = page.find(part, at + 1)) {
        ++count;
    }
    return count;
}

} // namespace

TEST_CASE("Quantiles are within one bucket of the true value")
{
    REQUIRE(rc::check("quantile", [] {
        auto values = *rc::gen::nonEmpty(
                rc::gen::container<std::vector<int>>(rc::gen::inRange(100, 100000000)));
        LatencyHistogram first;
        LatencyHistogram second;
        for (std::size_t index = 0; index < values.size(); ++index) {
            (index % 2 == 0 ? first : second).record(absl::Microseconds(values[index]));
        }
        first.merge(second);
        std::sort(values.begin(), values.end());
        const double q = *rc::gen::inRange(1, 101) / 100.0;
        const auto rank = std::ceil(q * static_cast<double>(values.size()) - 1e-9);
        const double exact = values[static_cast<std::size_t>(rank) - 1];
        const double estimate = absl::ToDoubleMicroseconds(first.quantile(q));
        RC_ASSERT(estimate > exact / 1.0507);
        RC_ASSERT(estimate < exact * 1.0507);
    }));
}

TEST_CASE("Latencies outside the axis, negative ones and an empty histogram have quantiles")
{
    LatencyHistogram histogram;
    REQUIRE(histogram.quantile(0.99) == absl::ZeroDuration());
    histogram.record(absl::Seconds(-1));
    histogram.record(absl::Seconds(5000));
    REQUIRE(histogram.quantile(0.1) == absl::Microseconds(50));
    REQUIRE(histogram.quantile(1.0) == absl::Seconds(600));
    REQUIRE(histogram.thinned().back().cumulativeCount == 1);
    REQUIRE(histogram.count() == 2);
}

TEST_CASE("Tenants that callers invent share one series")
{
    MetricsRegistry registry;
    setNames(registry);
    for (int index = 0; index < 1000; ++index) {
        const std::string tenant = "invented-" + std::to_string(index);
        registry.recordLatency(labels(tenant), absl::Milliseconds(100));
        registry.addToCounter("requests_total", { { "tenant", tenant } });
    }
    registry.recordLatency(labels("a"), absl::Milliseconds(1));
    const std::string page = registry.toPrometheus();
    REQUIRE(linesWith(page, "currantfall_request_duration_seconds_count{") == 2);
    REQUIRE(registry.counter("requests_total", { { "tenant", "other" } }) == 1000);
    REQUIRE(registry.quantile(0.5, {}, {}, TenantName("a")) < absl::Milliseconds(2));
    REQUIRE(registry.quantile(0.5) > absl::Milliseconds(90));
}

TEST_CASE("A label with unbounded values can't use up the memory")
{
    MetricsRegistry registry;
    for (int index = 0; index < 10000; ++index) {
        registry.addToCounter("peers_total", { { "peer", std::to_string(index) } });
        registry.setGauge("peer_age", 1.0, { { "peer", std::to_string(index) } });
    }
    const std::string page = registry.toPrometheus();
    REQUIRE(linesWith(page, "peers_total{") == 257);
    REQUIRE(linesWith(page, "peer_age{") == 257);
    REQUIRE(registry.counter("peers_total", { { "peer", "other" } }) == 10000 - 256);
}

TEST_CASE("Series keep their names when another document adds and removes tenants")
{
    MetricsRegistry registry;
    setNames(registry);
    registry.recordLatency(labels("b"), absl::Milliseconds(1));
    registry.setKnownNames({ ServiceName("bellbook") }, { TenantName("c"), TenantName("a") },
                           { RankName("urgent") });
    registry.recordLatency(labels("b"), absl::Milliseconds(1));
    registry.recordLatency(labels("c"), absl::Milliseconds(1));
    const std::string page = registry.toPrometheus();
    for (const std::string tenant : { "b", "c", "other" }) {
        REQUIRE(linesWith(page, "_count{service=\"bellbook\",tenant=\"" + tenant + "\"") == 1);
    }
}

TEST_CASE("The page has the text format that scrapers read")
{
    MetricsRegistry registry;
    setNames(registry);
    registry.describe("drops_total", "Dropped\nrequests \\ all");
    registry.addToCounter("drops_total", { { "reason", "a \"b\" \\ \n" } }, 3);
    registry.setGauge("slots", 0.5);
    registry.recordLatency(labels("a", Outcome::NotRun), absl::Milliseconds(2));
    const std::string page = registry.toPrometheus();
    REQUIRE(linesWith(page, "# HELP drops_total Dropped\\nrequests \\\\ all\n") == 1);
    REQUIRE(linesWith(page, "# TYPE drops_total counter\n"
                            "drops_total{reason=\"a \\\"b\\\" \\\\ \\n\"} 3\n")
            == 1);
    REQUIRE(linesWith(page, "# TYPE slots gauge\nslots 0.5\n") == 1);
    const std::string series = "currantfall_request_duration_seconds_bucket{service=\"bellbook\","
                               "tenant=\"a\",rank=\"urgent\",outcome=\"not-run\",le=\"";
    REQUIRE(linesWith(page, series) == 31);
    REQUIRE(linesWith(page, series + "600\"} 1\n") == 1);
    REQUIRE(linesWith(page, series + "+Inf\"} 1\n") == 1);
    REQUIRE(linesWith(page, "outcome=\"not-run\"} 0.002\n") == 1);
}

TEST_CASE("Threads record while the page is read and the names change, and nothing is lost")
{
    MetricsRegistry registry;
    setNames(registry);
    registry.setGauge("slots", 1.0);
    constexpr int perThread = 5000;
    std::vector<std::thread> threads;
    threads.reserve(4);
    for (int thread = 0; thread < 4; ++thread) {
        threads.emplace_back([&registry] {
            for (int index = 0; index < perThread; ++index) {
                registry.recordLatency(labels("a"), absl::Milliseconds(1));
                registry.addToCounter("requests_total", { { "tenant", "a" } });
            }
        });
    }
    for (int round = 0; round < 20; ++round) {
        setNames(registry);
        REQUIRE(linesWith(registry.toPrometheus(), "\nslots 1\n") == 1);
    }
    for (std::thread &thread : threads) {
        thread.join();
    }
    REQUIRE(registry.counter("requests_total", { { "tenant", "a" } }) == 20000);
    REQUIRE(linesWith(registry.toPrometheus(), "outcome=\"answered\"} 20000\n") == 1);
}

TEST_CASE("Cost of one record", "[.benchmark]")
{
    MetricsRegistry registry;
    setNames(registry);
    constexpr int perThread = 1000000;
    for (const int threadCount : { 1, 4 }) {
        for (const bool counter : { false, true }) {
            const auto start = std::chrono::steady_clock::now();
            std::vector<std::thread> threads;
            threads.reserve(threadCount);
            for (int thread = 0; thread < threadCount; ++thread) {
                threads.emplace_back([&registry, counter] {
                    const RequestLabels request = labels("a");
                    const Labels counterLabels { { "tenant", "a" }, { "service", "bellbook" } };
                    for (int index = 0; index < perThread; ++index) {
                        if (counter) {
                            registry.addToCounter("requests_total", counterLabels);
                        } else {
                            registry.recordLatency(request, absl::Microseconds(100 + index));
                        }
                    }
                });
            }
            for (std::thread &thread : threads) {
                thread.join();
            }
            const std::chrono::duration<double, std::nano> elapsed
                    = std::chrono::steady_clock::now() - start;
            std::cout << R"({"record":")" << (counter ? "counter" : "latency") << R"(","threads":)"
                      << threadCount << R"(,"ns":)" << elapsed.count() / perThread << "}\n";
        }
    }
}
