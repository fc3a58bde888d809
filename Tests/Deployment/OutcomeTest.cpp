#include <string>
#include <thread>
#include <unistd.h>
#include <vector>

#include <catch2/catch.hpp>
#include <httplib.h>

#include "Callers.h"
#include "DeploymentFixture.h"
#include "Outcomes.h"

using namespace Currantfall::Tests;
using nlohmann::json;

namespace {

constexpr std::size_t callerThreads = 4;
constexpr std::size_t calls = 80;
constexpr std::size_t serversPerZone = 2;

/// The VM that the key prefix names at `index`: 1 for the issuer, 3 for the deputy.
std::string vmInPrefix(const std::string &prefix, std::size_t index)
{
    std::size_t begin = 0;
    for (; index > 0; --index) {
        begin = prefix.find('~', begin) + 1;
    }
    return prefix.substr(begin, prefix.find('~', begin) - begin);
}

} // namespace

// Guards against not-run for a query whose first attempt ran and whose retry was refused.
TEST_CASE("A query that may have run is not called not-run when its retry is refused")
{
    DeploymentFixture deployment;
    // The first attempt in the callers' zone runs and its answer is cut; all others shed.
    for (const std::string &zone : deployment.zoneNames()) {
        const json behaviour
                = zone == "lm-a" ? json { { "truncate", 1 } } : json { { "draining", true } };
        REQUIRE(deployment.setBackendBehaviour(behaviour, "slotview-" + zone) == serversPerZone);
    }
    Callers queries(deployment, callerThreads, false);
    waitForCalls(queries, calls);
    const auto records = queries.finish();
    const json executions = executionsOf(deployment, records);
    std::size_t ranUnanswered = 0;
    for (const CallRecord &record : records) {
        INFO(record.requestId << " " << record.outcome);
        const int ran = executions.at(record.requestId).at("ran").get<int>();
        CHECK((record.outcome != "not-run" || ran == 0));
        ranUnanswered += ran > 0 && record.outcome == "outcome-unknown" ? 1 : 0;
    }
    CHECK(ranUnanswered > 0);
    for (int number = 1; number <= 10; ++number) {
        CHECK(deployment.vm("entry-" + std::to_string(number)).process->running());
    }
}

// Guards against a key that counts as running for ever, because its deadline passed before the
// deputy's reply: its repeats would wait in vain and its issuer could never stop.
TEST_CASE("A VM stops after keys whose deadline passed before their deputy replied")
{
    constexpr int keys = 20;
    constexpr useconds_t deputyDelayMicroseconds = 120'000; // Between deadline and intent timeout.
    DeploymentFixture deployment;
    json entry;
    waitUntil([&] {
        entry = deployment.lookup("bellbook", "lm-a").value("entries", json::array()).at(0);
        return vmInPrefix(entry.value("key_prefix", "1~-~0~-~0~1"), 3) != "-";
    });
    const std::string prefix = entry.at("key_prefix");
    EntryVm &issuer = deployment.vm(vmInPrefix(prefix, 1));
    EntryVm &deputy = deployment.vm(vmInPrefix(prefix, 3));
    deputy.process->pause();
    std::vector<std::thread> callers;
    callers.reserve(keys);
    for (int number = 0; number < keys; ++number) {
        callers.emplace_back([&entry, key = prefix + ".late-" + std::to_string(number)] {
            httplib::Client client(entry.at("address").get<std::string>(),
                                   entry.at("port").get<int>());
            client.Post("/bellbook/bookings",
                        { { "Idempotency-Key", key }, { "Currantfall-Deadline-Ms", "30" } }, "late",
                        "text/plain");
        });
    }
    usleep(deputyDelayMicroseconds);
    deputy.process->resume();
    for (std::thread &caller : callers) {
        caller.join();
    }
    issuer.process->terminate();
    CHECK(issuer.process->wait() == 0);
}
