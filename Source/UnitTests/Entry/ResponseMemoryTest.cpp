#include "ResponseMemory.h"

#include <catch2/catch.hpp>

using namespace Currantfall::Entry;

namespace {

constexpr std::size_t mebibyte = std::size_t { 1024 } * 1024;
// 10 MiB for all bodies, 5 MiB for one.
constexpr std::size_t processBytes = 50 * mebibyte;

Currantfall::Admission::MemoryBudget budgetOf(std::size_t bytes)
{
    Currantfall::Admission::MemoryBudgetSettings settings;
    settings.bytes = bytes;
    return Currantfall::Admission::MemoryBudget(settings);
}

ResponseMemory memoryOfProcess()
{
    return { processBytes, budgetOf(processBytes) };
}

} // namespace

// Guards against responses of a few servers that take all memory for responses.
TEST_CASE("The largest body makes room for the others")
{
    ResponseMemory memory = memoryOfProcess();
    CHECK(memory.maxBodyBytes() == 5 * mebibyte);
    int revoked = 0;
    const auto largest = memory.reserve([&revoked] { ++revoked; });
    const auto other = memory.reserve([&revoked] { ++revoked; });
    const auto third = memory.reserve([&revoked] { ++revoked; });
    CHECK(largest->growTo(5 * mebibyte));
    CHECK(other->growTo(4 * mebibyte));
    CHECK(memory.used() == 9 * mebibyte);
    CHECK(third->growTo(2 * mebibyte));
    CHECK(revoked == 1);
    CHECK(largest->revoked());
    CHECK_FALSE(largest->growTo(6 * mebibyte));
    CHECK(memory.used() == 6 * mebibyte);
    // The body that grows is the largest itself.
    CHECK_FALSE(other->growTo(9 * mebibyte));
}

// Guards against ending a response that is already being written to its caller.
TEST_CASE("Complete and small bodies are not revoked")
{
    ResponseMemory memory = memoryOfProcess();
    const auto complete = memory.reserve([] { FAIL("revoked"); });
    CHECK(complete->growTo(5 * mebibyte));
    complete->keep();
    const auto written = memory.reserve([] { FAIL("revoked"); });
    CHECK(written->growTo(5 * mebibyte));
    written->keep();
    const auto next = memory.reserve([] { FAIL("revoked"); });
    CHECK(next->growTo(mebibyte / 16));
    CHECK_FALSE(next->growTo(mebibyte));
}

// Guards against memory that is never returned, so that later responses are refused.
TEST_CASE("The memory of a body is returned")
{
    ResponseMemory memory = memoryOfProcess();
    {
        const auto body = memory.reserve([] {});
        CHECK(body->growTo(mebibyte));
        const auto written = memory.reserve([] {});
        CHECK(written->growTo(mebibyte));
        written->keep();
        CHECK(memory.used() == 2 * mebibyte);
    }
    CHECK(memory.used() == 0);
    auto body = memory.reserve([] {});
    {
        const ResponseMemory ended = memoryOfProcess();
    }
    CHECK(body->growTo(1));
}

// Guards against responses that take memory that requests have already, each inside its own limit.
TEST_CASE("A response does not grow beyond the budget of the process")
{
    Currantfall::Admission::MemoryBudget budget = budgetOf(8 * mebibyte);
    ResponseMemory memory(processBytes, budget);
    const auto now = Currantfall::Common::monotonicNow();
    const auto requests = budget.openInUse(7 * mebibyte, now);
    const auto body = memory.reserve([] { FAIL("revoked"); });
    CHECK_FALSE(body->growTo(2 * mebibyte));
    CHECK(body->revoked());
    CHECK(memory.used() == 0);
    CHECK(budget.used() == 7 * mebibyte);
}

// Guards against a server's connection that is read on although its response was given up.
TEST_CASE("A stalled response is revoked for a request")
{
    Currantfall::Admission::MemoryBudget budget = budgetOf(4 * mebibyte);
    ResponseMemory memory(processBytes, budget);
    int revoked = 0;
    const auto body = memory.reserve([&revoked] { ++revoked; });
    CHECK(body->growTo(2 * mebibyte));
    const auto later = Currantfall::Common::monotonicNow() + absl::Seconds(20);
    const auto request = budget.open([] { FAIL("revoked"); }, later);
    CHECK(request->resize(3 * mebibyte, later));
    CHECK(revoked == 1);
    CHECK(body->revoked());
    CHECK(memory.used() == 0);
}
