#include "VmRow.h"

#include <catch2/catch.hpp>

using namespace Currantfall;
using namespace Currantfall::Entry;

namespace {

const std::string goodRow = R"({"zone":"a","region":"west","address":"10.0.0.1","port_base":7000,)"
                            R"("processor_share":0.5})";

std::string with(const std::string &from, const std::string &to)
{
    std::string result = goodRow;
    const auto position = result.find(from);
    REQUIRE(position != std::string::npos);
    return result.replace(position, from.size(), to);
}

} // namespace

// Guards against a port that is cut to 16 bits, and against a processor share for which the
// directory would name that VM only.
TEST_CASE("A row of a VM with a number out of range is refused")
{
    REQUIRE(readVmRow("vm-1", goodRow));
    const auto [from, to]
            = GENERATE(table<std::string, std::string>({ { "7000", "72536" },
                                                         { "7000", "65530" },
                                                         { "7000", "0" },
                                                         { "7000", "-7000" },
                                                         { "7000", "7000.5" },
                                                         { "0.5", "1e300" },
                                                         { "0.5", "1e999" },
                                                         { "0.5", "-1" },
                                                         { "0.5", "0" },
                                                         { "0.5", "\"1\"" },
                                                         { "0.5", std::string(65536, '[') },
                                                         { "{", "[" },
                                                         { "\"west\"", "7" } }));
    INFO(to.substr(0, 20));
    CHECK_FALSE(readVmRow("vm-1", with(from, to)));
}

// Guards against bounds that refuse the own row, which would be written again without end.
TEST_CASE("A VM reads the row that it wrote")
{
    const auto row = readVmRow("vm-1", goodRow);
    REQUIRE(row);
    CHECK(readVmRow("vm-1", writeVmRow(*row)) == *row);
}
