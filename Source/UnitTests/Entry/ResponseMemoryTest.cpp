#include "ResponseMemory.h"

#include <catch2/catch.hpp>

using namespace Currantfall::Entry;

namespace {

constexpr std::size_t mebibyte = std::size_t { 1024 } * 1024;
// 10 MiB for all bodies, 5 MiB for one.
constexpr std::size_t processBytes = 50 * mebibyte;

} // namespace

// Guards against responses of a few servers that take all memory for responses.
TEST_CASE("The largest body makes room for the others")
{
    ResponseMemory memory(processBytes);
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
    ResponseMemory memory(processBytes);
    const auto complete = memory.reserve([] { FAIL("revoked"); });
    CHECK(complete->growTo(5 * mebibyte));
    complete->keep();
    const auto written = memory.reserveComplete(5 * mebibyte);
    const auto next = memory.reserve([] { FAIL("revoked"); });
    CHECK(next->growTo(mebibyte / 16));
    CHECK_FALSE(next->growTo(mebibyte));
}

// Guards against memory that is never returned, so that later responses are refused.
TEST_CASE("The memory of a body is returned")
{
    ResponseMemory memory(processBytes);
    {
        const auto body = memory.reserve([] {});
        CHECK(body->growTo(mebibyte));
        const auto written = memory.reserveComplete(mebibyte);
        CHECK(memory.used() == 2 * mebibyte);
    }
    CHECK(memory.used() == 0);
    auto body = memory.reserve([] {});
    {
        const ResponseMemory ended(processBytes);
    }
    CHECK(body->growTo(1));
}
