#include "currantfall/Common/CommandLine.h"

#include <cstdlib>

#include <catch2/catch.hpp>

using namespace Currantfall::Common;

namespace {

const std::vector<Flag> flags = {
    { "port-base", "", "PORT" },
    { "daemon", "", "ADDRESS", true },
    { "json", "", "" },
    { "force", "", "", false, false },
};

Result<CommandLine> parse(std::vector<const char *> arguments)
{
    arguments.insert(arguments.begin(), "program");
    return CommandLine::parse(flags, "COMMANDLINETEST_", static_cast<int>(arguments.size()),
                              arguments.data());
}

/// An environment variable for the duration of a test.
class Variable
{
public:
    Variable(const char *name, const char *value) : name(name) { setenv(name, value, 1); }
    ~Variable() { unsetenv(this->name); }
    Variable(const Variable &other) = delete;
    Variable &operator=(const Variable &other) = delete;

private:
    const char *name;
};

} // namespace

TEST_CASE("Unknown flags, repeated flags and missing values are refused")
{
    REQUIRE_FALSE(parse({ "--unknown" }));
    REQUIRE_FALSE(parse({ "--port-base" }));
    REQUIRE_FALSE(parse({ "--port-base", "1", "--port-base", "1" }));
    REQUIRE_FALSE(parse({ "--json", "--json" }));
}

TEST_CASE("Values with commas are not split, and positional arguments keep their order")
{
    const auto line = parse({ "b,c", "--daemon", "x,y", "a", "--daemon", "z" });
    REQUIRE(line);
    REQUIRE(line->positional() == std::vector<std::string> { "b,c", "a" });
    REQUIRE(line->values("daemon") == std::vector<std::string> { "x,y", "z" });
    REQUIRE_FALSE(line->enabled("json"));
}

TEST_CASE("Numbers outside their range or with other characters are refused")
{
    for (const char *text : { "0", "101", "1x", "", "1.5" }) {
        INFO(text);
        REQUIRE_FALSE(parse({ "--port-base", text })->number("port-base", 7, 1, 100));
    }
    REQUIRE(parse({ "--port-base", "100" })->number("port-base", 7, 1, 100) == 100);
    REQUIRE(parse({})->number("port-base", 7, 1, 100) == 7);
}

TEST_CASE("Environment variables are used for flags that are not on the command line")
{
    const Variable port("COMMANDLINETEST_PORT_BASE", "9");
    const Variable daemons("COMMANDLINETEST_DAEMON", "x,y");
    const Variable json("COMMANDLINETEST_JSON", "1");
    const Variable force("COMMANDLINETEST_FORCE", "1");
    const auto line = parse({});
    REQUIRE(line);
    REQUIRE(line->value("port-base") == "9");
    REQUIRE(line->values("daemon") == std::vector<std::string> { "x", "y" });
    REQUIRE(line->enabled("json"));
    REQUIRE_FALSE(line->enabled("force"));
    REQUIRE(parse({ "--port-base", "8" })->value("port-base") == "8");
}

TEST_CASE("A switch variable that is neither on nor off is refused")
{
    const Variable json("COMMANDLINETEST_JSON", "yes please");
    REQUIRE_FALSE(parse({}));
}
