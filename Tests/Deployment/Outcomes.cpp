#include "Outcomes.h"

#include <catch2/catch.hpp>

namespace Currantfall::Tests {

using nlohmann::json;

void waitForCalls(const Callers &callers, std::size_t more)
{
    const std::size_t wanted = callers.completed() + more;
    waitUntil([&] { return callers.completed() >= wanted; });
}

std::map<std::string, std::size_t> countOutcomes(const std::vector<CallRecord> &records)
{
    std::map<std::string, std::size_t> counts;
    for (const CallRecord &record : records) {
        ++counts[record.outcome];
    }
    return counts;
}

void requireAllAnswered(const std::vector<CallRecord> &records)
{
    CHECK_FALSE(records.empty());
    for (const CallRecord &record : records) {
        if (record.outcome != "answered") {
            INFO(record.requestId << " in " << record.zone << ": " << record.refusal);
            CHECK(record.outcome == "answered");
        }
    }
}

json executionsOf(const DeploymentFixture &deployment, const std::vector<CallRecord> &records)
{
    std::vector<std::string> ids;
    ids.reserve(records.size());
    for (const CallRecord &record : records) {
        ids.push_back(record.requestId);
    }
    return deployment.executions(ids);
}

void requireTrueOutcomes(const DeploymentFixture &deployment,
                         const std::vector<CallRecord> &records)
{
    const json executions = executionsOf(deployment, records);
    for (const CallRecord &record : records) {
        INFO(record.requestId << " " << record.outcome << " " << record.status << " "
                              << record.refusal);
        const json &counts = executions.at(record.requestId);
        const int ran = counts.at("ran").get<int>();
        CHECK_FALSE(record.wrong);
        if (record.keyed) {
            CHECK(counts.at("started").get<int>() <= 1);
        }
        if (record.outcome == "not-run") {
            CHECK(ran == 0);
        }
        if (record.outcome == "answered" && record.status == 200) {
            CHECK(ran >= 1);
        }
    }
}

} // namespace Currantfall::Tests
