#include <fstream>
#include <sstream>

#include <catch2/catch.hpp>

#include "PlatformFixture.h"

using namespace Currantfall::Tests;
using nlohmann::json;

namespace {

const std::string document = CURRANTFALL_EXAMPLES "/bellringer.yaml";
const std::string environment = "production";

} // namespace

TEST_CASE("A promotion in whose middle the platform goes down fails as unreachable")
{
    // The second write, that of the row, gets no token in the life of the test.
    PlatformFixture platform({ "--writes-per-s", "0.000001" });
    ProcessFixture tool = platform.start("ana", { "promote", document, "--timeout-ms", "4000" });
    waitUntil([&] { return platform.statistics()["limited"] > 0 || !tool.running(); });
    platform.setFaults({ { "outage", true } });
    const ToolResult result = finish(tool);
    REQUIRE(result.exitCode == 3);
    REQUIRE_FALSE(result.errors.empty());
    platform.setFaults({ { "outage", false } });
    REQUIRE(platform.row(environment).is_null());
}

TEST_CASE("A promotion outlasts an outage that ends before its deadline")
{
    const std::string kind = GENERATE("close", "503");
    PlatformFixture platform;
    platform.setFaults({ { "outage", kind } });
    ProcessFixture tool = platform.start("ana", { "promote", document, "--timeout-ms", "60000" });
    waitUntil([&] {
        const json statistics = platform.statistics();
        return statistics["dropped"] > 0 || statistics["unavailable"] > 0;
    });
    platform.setFaults({ { "outage", false } });
    REQUIRE(finish(tool).exitCode == 0);
    REQUIRE(platform.row(environment)["revision"] == 1);
}

TEST_CASE("A platform that hangs ends the tool at its time limit")
{
    PlatformFixture platform;
    platform.process().pause();
    REQUIRE(platform.run({ "promote", document, "--timeout-ms", "500" }).exitCode == 3);
    platform.process().resume();
    REQUIRE(platform.run({ "promote", document }).exitCode == 0);
}

TEST_CASE("A promotion whose answer is lost succeeds once")
{
    PlatformFixture platform;
    REQUIRE(platform.run({ "promote", document }).exitCode == 0);
    platform.setFaults({ { "lose_answers", 1 } });
    const ToolResult result = platform.run({ "promote", document, "--json" });
    REQUIRE(result.exitCode == 0);
    const json row = platform.row(environment);
    REQUIRE(row["revision"] == 2);
    REQUIRE(row["operation"] == json::parse(result.output)["operation"]);
    REQUIRE(platform.statistics()["row_writes"] == 2);
}

TEST_CASE("Of two operators who promote over the same revision exactly one wins")
{
    PlatformFixture platform;
    REQUIRE(platform.run({ "promote", document }).exitCode == 0);
    const std::vector<std::string> command = { "promote", document, "--expect", "1" };
    ProcessFixture ana = platform.start("ana", command);
    ProcessFixture ben = platform.start("ben", command);
    const ToolResult first = finish(ana);
    const ToolResult second = finish(ben);
    REQUIRE(std::min(first.exitCode, second.exitCode) == 0);
    REQUIRE(std::max(first.exitCode, second.exitCode) == 4);
    const std::string winner = first.exitCode == 0 ? "ana" : "ben";
    const std::string &message = first.exitCode == 0 ? second.errors : first.errors;
    REQUIRE(message.find("revision 2 of operator " + winner) != std::string::npos);
    REQUIRE(platform.row(environment)["operator"] == winner);
}

TEST_CASE("Every successful promotion of many operators at once is one revision")
{
    PlatformFixture platform;
    // The delay makes the reads and writes of the operators overlap.
    platform.setFaults({ { "delay_ms", 20 }, { "lose_answers", 2 } });
    constexpr int operators = 8;
    std::vector<ProcessFixture> tools;
    tools.reserve(operators);
    for (int i = 0; i < operators; ++i) {
        tools.push_back(platform.start("operator-" + std::to_string(i), { "promote", document }));
    }
    std::size_t won = 0;
    for (ProcessFixture &tool : tools) {
        const int exitCode = finish(tool).exitCode;
        REQUIRE((exitCode == 0 || exitCode == 4));
        won += exitCode == 0 ? 1 : 0;
    }
    platform.setFaults({ { "delay_ms", 0 }, { "lose_answers", 0 } });
    REQUIRE(won >= 1);
    REQUIRE(platform.row(environment)["revision"] == won);
}

TEST_CASE("A rollback shows in diff and is a new revision")
{
    PlatformFixture platform;
    std::stringstream text;
    text << std::ifstream(document).rdbuf();
    std::string changed = text.str();
    changed.replace(changed.find("ttl_ms: 2000"), 12, "ttl_ms: 2500");
    const std::string path = "changed-" + std::to_string(getpid()) + ".yaml";
    std::ofstream(path) << changed;
    REQUIRE(platform.run({ "promote", document }).exitCode == 0);
    REQUIRE(platform.run({ "diff", path }).output == "lookup.ttl_ms: 2000 -> 2500\n");
    REQUIRE(platform.run({ "diff", document, path }).output == "lookup.ttl_ms: 2000 -> 2500\n");
    REQUIRE(platform.run({ "promote", path }).exitCode == 0);
    std::remove(path.c_str());
    const std::vector<std::string> rollback = { "rollback", "--environment", environment };
    REQUIRE(platform.run(rollback).exitCode == 0);
    REQUIRE(platform.row(environment)["revision"] == 3);
    REQUIRE(platform.run({ "diff", document }).output == "no differences\n");
}

TEST_CASE("Exit codes tell invalid settings, refusals and unreachable platforms apart")
{
    PlatformFixture platform;
    const std::vector<std::pair<int, std::vector<std::string>>> cases = {
        { 0, { "--help" } },
        { 0, { "--version" } },
        { 0, { "check", document } },
        { 2, {} },
        { 2, { "unknown" } },
        { 2, { "check" } },
        { 2, { "check", document, document } },
        { 2, { "check", "no-such-file" } },
        { 2, { "check", "--bogus", document } },
        { 2, { "check", document, "--environment", "other" } },
        { 2, { "check", document, "--force" } },
        { 2, { "check", document, "--to", "1" } },
        { 2, { "promote", document, "--timeout-ms", "0" } },
        { 2, { "promote", document, "--timeout-ms", "1s" } },
        { 2, { "promote", document, "--platform", "localhost" } },
        { 2, { "promote", document, "--json", "--json" } },
        { 2, { "rollback" } },
        { 2, { "drain", "start", "rack", "r1", "--environment", environment } },
        { 2, { "drain", "stop", "zone", "lm-a", "--environment", environment } },
        { 2, { "lookup", "No Name" } },
        { 1, { "rollback", "--environment", environment } },
        { 1, { "status", "--environment", environment } },
        { 1, { "drain", "finish", "zone", "lm-a", "--environment", environment } },
        { 3, { "promote", document, "--platform", ownAddress() + ":1", "--timeout-ms", "300" } },
        { 3, { "lookup", "slotview", "--daemon", ownAddress() + ":6009" } },
        { 4, { "promote", document, "--expect", "5" } },
    };
    for (const auto &[exitCode, arguments] : cases) {
        std::string command;
        for (const std::string &argument : arguments) {
            command += " " + argument;
        }
        INFO(command);
        const ToolResult result = platform.run(arguments);
        INFO(result.errors);
        CHECK(result.exitCode == exitCode);
        CHECK(result.errors.empty() == (exitCode == 0));
    }
}

TEST_CASE("An invalid document is refused with positions and not promoted")
{
    PlatformFixture platform;
    const std::string path = "invalid-" + std::to_string(getpid()) + ".yaml";
    std::ofstream(path) << "version: 1\nenvironment: trial\nunknown: 1\n";
    for (const std::string command : { "check", "promote" }) {
        const ToolResult result = platform.run({ command, path });
        REQUIRE(result.exitCode == 2);
        REQUIRE(result.output.find(path + ":3:") != std::string::npos);
    }
    std::remove(path.c_str());
    REQUIRE(platform.statistics()["writes"] == 0);
}

TEST_CASE("The stand-in ends cleanly on SIGTERM while a client keeps its connection")
{
    PlatformFixture platform;
    platform.statistics();
    platform.process().terminate();
    REQUIRE(platform.process().wait() == 0);
}
