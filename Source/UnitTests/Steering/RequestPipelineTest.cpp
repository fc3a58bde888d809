#include "currantfall/Steering/RequestPipeline.h"

#include <map>

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace Currantfall::Steering;

namespace {

using Numbers = std::vector<RequestPipeline::Number>;

constexpr PipelineLimits limits { 4, 1000 };

} // namespace

// Answers the pattern of callers that send several reads at once.
TEST_CASE("Requests that may be repeated are started together and answered in order")
{
    RequestPipeline pipeline(limits);
    const auto first = pipeline.add(PipelineMode::Parallel, 1, false);
    const auto second = pipeline.add(PipelineMode::Parallel, 1, false);
    CHECK(pipeline.start() == Numbers { first, second });
    CHECK(pipeline.start().empty());
    pipeline.finish(second, 1);
    CHECK_FALSE(pipeline.nextResponse());
    pipeline.finish(first, 1);
    CHECK(pipeline.nextResponse() == first);
    pipeline.removeFirst();
    CHECK(pipeline.nextResponse() == second);
}

// Guards against requests that run twice: callers send requests again that they sent behind a
// response that closes the connection.
TEST_CASE("A request that must not be repeated is started alone and first")
{
    RequestPipeline pipeline(limits);
    const auto read = pipeline.add(PipelineMode::Parallel, 1, false);
    const auto write = pipeline.add(PipelineMode::Alone, 1, false);
    const auto later = pipeline.add(PipelineMode::Parallel, 1, false);
    CHECK(pipeline.start() == Numbers { read });
    pipeline.finish(read, 1);
    CHECK(pipeline.start().empty());
    pipeline.removeFirst();
    CHECK(pipeline.start() == Numbers { write });
    pipeline.finish(write, 1);
    CHECK(pipeline.start().empty());
    pipeline.removeFirst();
    CHECK(pipeline.start() == Numbers { later });
}

// Guards against requests that are passed on and then cut off when a VM leaves.
TEST_CASE("A connection that is not kept closes after the last request that was started")
{
    RequestPipeline pipeline(limits);
    const auto first = pipeline.add(PipelineMode::Parallel, 1, false);
    const auto second = pipeline.add(PipelineMode::Parallel, 1, false);
    REQUIRE(pipeline.start().size() == 2);
    pipeline.disableKeepAlive();
    const auto late = pipeline.add(PipelineMode::Parallel, 1, false);
    CHECK(pipeline.start().empty());
    pipeline.finish(first, 1);
    CHECK_FALSE(pipeline.closesAfterFirst());
    pipeline.removeFirst();
    pipeline.finish(second, 1);
    CHECK(pipeline.start().empty());
    CHECK(pipeline.closesAfterFirst());
    CHECK(pipeline.dropUnstarted() == Numbers { late });
    pipeline.removeFirst();
    CHECK(pipeline.empty());
}

// Guards against memory that a caller fills that sends without reading.
TEST_CASE("Nothing is read beyond the limits of a connection")
{
    RequestPipeline pipeline(limits);
    CHECK(pipeline.mayRead());
    SECTION("number of requests")
    {
        for (std::size_t number = 0; number < limits.requests; ++number) {
            CHECK(pipeline.mayRead());
            pipeline.add(PipelineMode::Parallel, 1, false);
        }
        CHECK_FALSE(pipeline.mayRead());
        pipeline.removeFirst();
        CHECK(pipeline.mayRead());
    }
    SECTION("bytes of responses that wait")
    {
        pipeline.add(PipelineMode::Parallel, 1, false);
        const auto second = pipeline.add(PipelineMode::Parallel, 1, false);
        REQUIRE(pipeline.start().size() == 2);
        pipeline.finish(second, limits.bytes);
        CHECK_FALSE(pipeline.mayRead());
    }
    SECTION("behind the last request of a connection")
    {
        pipeline.add(PipelineMode::Parallel, 1, true);
        CHECK_FALSE(pipeline.mayRead());
        CHECK(pipeline.closesAfterFirst());
    }
}

TEST_CASE("Any order of events keeps the order of responses and the rules of repetition")
{
    rc::check([] {
        RequestPipeline pipeline(limits);
        std::map<RequestPipeline::Number, PipelineMode> modes;
        std::map<RequestPipeline::Number, bool> running; // Started and not finished.
        RequestPipeline::Number nextWritten = 0;
        const int steps = *rc::gen::inRange(1, 60);
        for (int step = 0; step < steps; ++step) {
            const int event = *rc::gen::inRange(0, 12);
            if (event < 4 && pipeline.mayRead()) {
                const auto mode = *rc::gen::element(PipelineMode::Parallel, PipelineMode::Alone);
                modes[pipeline.add(mode, 1, false)] = mode;
            } else if (event < 7 && !running.empty()) {
                const auto index = *rc::gen::inRange<std::size_t>(0, running.size());
                const auto chosen = std::next(running.begin(), static_cast<std::ptrdiff_t>(index));
                pipeline.finish(chosen->first, 1);
                running.erase(chosen);
            } else if (event < 11) {
                if (const auto number = pipeline.nextResponse()) {
                    RC_ASSERT(*number == nextWritten++);
                    RC_ASSERT(!pipeline.closesAfterFirst() || running.empty());
                    pipeline.removeFirst();
                }
            } else {
                pipeline.disableKeepAlive();
            }
            for (const auto number : pipeline.start()) {
                RC_ASSERT(modes.at(number) == PipelineMode::Parallel || number == nextWritten);
                running[number] = true;
            }
            for (const auto &[number, present] : running) {
                RC_ASSERT(modes.at(number) == PipelineMode::Parallel || running.size() == 1);
            }
        }
    });
}
