#include "currantfall/Peering/ValueCodec.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include "currantfall/Peering/FrameCodec.h"

using namespace Currantfall;
using namespace Currantfall::Peering;
using Common::ErrorCode;

namespace {

/// A text without repetitions.
std::string randomText(std::size_t size)
{
    std::string text;
    std::uint32_t state = 1;
    while (text.size() < size) {
        state = state * 1'664'525U + 1'013'904'223U;
        text.push_back(static_cast<char>('!' + (state >> 16U) % 90U));
    }
    return text;
}

} // namespace

// Guards against values that arrive at a peer changed.
TEST_CASE("A compressed value is read unchanged")
{
    CHECK(rc::check([](const std::string &value, const std::string &base) {
        const auto compressed = CompressedValue::compress(value, base);
        RC_ASSERT(compressed.has_value());
        const auto copy = CompressedValue::received(compressed->bytes(), compressed->baseHash());
        RC_ASSERT(copy == *compressed);
        RC_ASSERT(copy.decompress(base).value() == value);
    }));
}

// Guards against a change of a large value that costs as much as the value.
TEST_CASE("The difference to a large value is small, wherever it is")
{
    const std::string base = randomText(3'000'000);
    std::string value = base;
    value.insert(GENERATE(0, 1'500'000, 3'000'000), "inserted");
    const auto compressed = CompressedValue::compress(value, base);
    REQUIRE(compressed);
    CHECK(compressed->bytes().size() < 4096);
    CHECK(compressed->decompress(base).value() == value);
}

// Guards against a reference to a value that is as large as the value.
TEST_CASE("The difference of a value to itself is small")
{
    const std::string value = randomText(1'000'000);
    const auto compressed = CompressedValue::compress(value, value);
    REQUIRE(compressed);
    CHECK(compressed->bytes().size() < 4096);
    CHECK(compressed->decompress(value).value() == value);
}

// Guards against a value that is made from the wrong base, or from damaged bytes.
TEST_CASE("A value is not read with another base, from damaged bytes or beyond the limit")
{
    const std::string base = randomText(10'000);
    const std::string value = base + "more";
    const auto compressed = CompressedValue::compress(value, base).value();
    for (const std::string &other : { std::string(), base + "x", value }) {
        const auto read = compressed.decompress(other);
        REQUIRE_FALSE(read);
        CHECK(read.error().code() == make_error_code(ErrorCode::Conflict));
    }
    for (std::size_t end = 0; end < compressed.bytes().size(); ++end) {
        CHECK_FALSE(
                CompressedValue::received(compressed.bytes().substr(0, end), compressed.baseHash())
                        .decompress(base));
    }
    std::string damaged = compressed.bytes();
    damaged.back() = static_cast<char>(damaged.back() + 1);
    CHECK_FALSE(CompressedValue::received(damaged, compressed.baseHash()).decompress(base));
    std::string tooLarge;
    tooLarge.resize(maxMessageBytes + 1);
    const auto huge = CompressedValue::compress(tooLarge, "").value();
    CHECK(huge.decompress("").error().code() == make_error_code(ErrorCode::TooLarge));
}
