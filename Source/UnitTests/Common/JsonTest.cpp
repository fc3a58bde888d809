#include "currantfall/Common/Json.h"

#include <string>

#include <catch2/catch.hpp>

using namespace Currantfall::Common;
using nlohmann::json;

namespace {

std::string nested(std::size_t depth, const std::string &inner = "1")
{
    return std::string(depth, '[') + inner + std::string(depth, ']');
}

} // namespace

// Guards against a stack overflow while deeply nested JSON of another process is copied or written.
TEST_CASE("JSON that is nested too deeply is refused")
{
    CHECK(parseJson(nested(maxJsonDepth)).is_array());
    CHECK(parseJson(nested(maxJsonDepth + 1)).is_discarded());
    CHECK(parseJson(nested(1'000'000)).is_discarded());
    CHECK(parseJson(std::string(65536, '[')).is_discarded());
    std::string objects;
    for (std::size_t level = 0; level <= maxJsonDepth; ++level) {
        objects += "{\"a\":";
    }
    CHECK(parseJson(objects + "1" + std::string(maxJsonDepth + 1, '}')).is_discarded());
}

// Guards against counting brackets in texts, which would refuse valid documents.
TEST_CASE("Brackets in texts do not count as nesting")
{
    const std::string brackets(100, '[');
    CHECK(parseJson("[\"" + brackets + "\"]")[0] == brackets);
    CHECK(parseJson("[\"\\\"" + brackets + "\"]").is_array());
    CHECK(parseJson("[\"\\\\\"," + nested(maxJsonDepth + 1) + "]").is_discarded());
}

// Guards against malformed JSON that is taken for a value.
TEST_CASE("Text that is not JSON is refused")
{
    for (const char *text : { "", "]", "\"", "\"\\", "{]", "1e999", "NaN", "[Infinity]",
                              "[\"\xff\"]", "[\"\\ud800\"]", "[1] 2" }) {
        INFO(text);
        CHECK(parseJson(text).is_discarded());
    }
}

// Guards against numbers that are cut to the size of their field and then look valid.
TEST_CASE("Numbers outside their range are refused")
{
    CHECK(numberIn<std::uint16_t>(json(65535)) == 65535);
    CHECK_FALSE(numberIn<std::uint16_t>(json(65536)));
    CHECK_FALSE(numberIn<std::uint16_t>(json(-1)));
    CHECK_FALSE(numberIn<std::uint32_t>(json(4294967299)));
    CHECK(numberIn<std::uint64_t>(json(18446744073709551615ULL)) == 18446744073709551615ULL);
    CHECK_FALSE(numberIn<std::int64_t>(json(18446744073709551615ULL)));
    CHECK(numberIn<std::int64_t>(json(-5)) == -5);
    CHECK_FALSE(numberIn<std::int64_t>(json(-5), 0));
    CHECK_FALSE(numberIn<std::int64_t>(json(6), 0, 5));
    CHECK_FALSE(numberIn<int>(json(3.0)));
    CHECK_FALSE(numberIn<int>(json("3")));
    CHECK_FALSE(numberIn<int>(json(true)));
    CHECK(numberIn<double>(json(3)) == 3.0);
    CHECK_FALSE(numberIn<double>(json(1e30), 0.0, 1e6));
    CHECK_FALSE(numberIn<double>(json(std::numeric_limits<double>::infinity())));
    CHECK_FALSE(numberIn<double>(json(std::numeric_limits<double>::quiet_NaN())));
    CHECK_FALSE(numberIn<double>(json(json::value_t::discarded)));
}
