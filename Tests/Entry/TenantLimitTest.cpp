#include <algorithm>
#include <chrono>
#include <cstdlib>
#include <iterator>
#include <map>
#include <string>
#include <thread>
#include <vector>

#include <catch2/catch.hpp>
#include <httplib.h>

#include "EntryDeployment.h"
#include "Support/RecordingThreads.h"

using namespace Currantfall::Tests;
using namespace std::chrono_literals;
using nlohmann::json;

namespace {

constexpr auto window = 5s;
constexpr double rate = 20.0;
constexpr double burst = 40.0;
// (rate x window + burst) x (1 + overage) + extra, with the tolerance in the settings of the VMs.
constexpr double allowedInWindow = (rate * 5.0 + burst) * 1.1 + 20.0;
constexpr std::size_t threadsPerVm = 2;
constexpr unsigned freeEvery = 20;
constexpr unsigned objects = 40;

struct Answer
{
    std::string id;
    std::string tenant;
    int status = 0;
    std::string retryAfter;
    SoakClock::time_point sent;
    SoakClock::time_point ended;
};

/// Callers of two tenants, "limited" and "free", that send to all VMs as fast as they are answered,
/// whatever the answers say.
class TenantCallers
{
public:
    explicit TenantCallers(const EntryDeployment &deployment) : deployment(deployment)
    {
        this->threads.start(deployment.vms().size() * threadsPerVm,
                            [this](std::size_t index) { this->send(index); });
    }

    std::vector<Answer> finish() { return this->threads.finish(); }

private:
    void send(std::size_t index)
    {
        const EntryVm &vm = this->deployment.vms()[index / threadsPerVm];
        httplib::Client client(vm.host, EntryDeployment::callersPort);
        client.set_keep_alive(true);
        client.set_tcp_nodelay(true);
        for (unsigned count = 0; !this->threads.stopping(); ++count) {
            Answer answer;
            answer.id = "q" + std::to_string(index) + "-" + std::to_string(count);
            answer.tenant = count % freeEvery == 0 ? "free" : "limited";
            const httplib::Headers headers {
                { "Host", "shop.example" },
                { "Request-Id", answer.id },
                { "Deadline-Ms", "3000" },
                { "X-Caller-Deadline", "3000" },
                { "X-Caller-Route", "read" },
                { "Authorization", "Token key-" + answer.tenant },
                { "Cookie", "Affinity-Key=" + std::to_string(count % objects) }
            };
            answer.sent = SoakClock::now();
            const auto result = client.Get("/read/" + answer.id + "?own=" + answer.id, headers);
            answer.ended = SoakClock::now();
            if (result) {
                answer.status = result->status;
                answer.retryAfter = result->get_header_value("Retry-After");
            } else {
                pauseBetweenChecks();
            }
            this->threads.add(std::move(answer));
        }
    }

    const EntryDeployment &deployment;
    RecordingThreads<Answer> threads;
};

/// Requests of "limited" that were sent and served inside one window, at most.
std::size_t mostServed(const std::vector<Answer> &answers)
{
    std::vector<Answer> served;
    std::copy_if(answers.begin(), answers.end(), std::back_inserter(served),
                 [](const Answer &answer) {
                     return answer.tenant == "limited" && answer.status == 200;
                 });
    std::size_t most = 0;
    for (const Answer &first : served) {
        const auto inside = std::count_if(served.begin(), served.end(), [&](const Answer &other) {
            return other.sent >= first.sent && other.ended <= first.sent + window;
        });
        most = std::max(most, static_cast<std::size_t>(inside));
    }
    return most;
}

/// A deployment with the two tenants in force on all VMs.
class TenantDeployment
{
public:
    TenantDeployment()
    {
        this->deployment.setTenants(json::array(
                { { { "name", "limited" },
                    { "api_keys", json::array({ "key-limited" }) },
                    { "rate_per_s", rate },
                    { "burst", burst } },
                  { { "name", "free" }, { "api_keys", json::array({ "key-free" }) } } }));
        this->deployment.configure(0);
        const std::string inForce = "\"event\":\"configuration\",\"version\":"
                                    + std::to_string(this->deployment.configurationVersion()) + ",";
        for (const EntryVm &vm : this->deployment.vms()) {
            waitUntil([&] { return vm.process->output().find(inForce) != std::string::npos; });
        }
    }

    EntryDeployment deployment;
};

void checkAnswers(const std::vector<Answer> &answers, const ExecutionLedger &ledger)
{
    const auto executions = ledger.executions();
    std::map<std::string, std::size_t> outcomes;
    std::size_t refusedAndRun = 0;
    std::size_t withoutRetryAfter = 0;
    for (const Answer &answer : answers) {
        ++outcomes[answer.tenant + " " + std::to_string(answer.status)];
        if (answer.status == 429) {
            refusedAndRun += executions.contains(answer.id) ? 1 : 0;
            withoutRetryAfter += std::strtod(answer.retryAfter.c_str(), nullptr) > 0.0 ? 0 : 1;
        }
    }
    for (const auto &[outcome, count] : outcomes) {
        UNSCOPED_INFO(outcome << ": " << count);
    }
    CHECK(static_cast<double>(mostServed(answers)) <= allowedInWindow);
    CHECK(outcomes["limited 200"] > 0);
    CHECK(outcomes["limited 429"] > 0);
    CHECK(outcomes["free 429"] == 0);
    CHECK(refusedAndRun == 0);
    CHECK(withoutRetryAfter == 0);
}

} // namespace

// Guards against a tenant that gets more than its limit because its callers use several VMs
// (QUOTA).
TEST_CASE("A tenant gets its limit over all VMs, and no more")
{
    TenantDeployment tenants;
    TenantCallers callers(tenants.deployment);
    std::this_thread::sleep_for(12s);
    checkAnswers(callers.finish(), tenants.deployment.ledger());
}

// Guards against VMs that start with a fresh burst, and against limits that two sides of a cut use
// at the same time (QUOTA).
TEST_CASE("VMs that are killed, restarted and cut off keep the limit of a tenant")
{
    TenantDeployment tenants;
    EntryDeployment &deployment = tenants.deployment;
    std::vector<EntryVm> &vms = deployment.vms();
    TenantCallers callers(deployment);
    for (std::size_t round = 0; round < 4; ++round) {
        std::this_thread::sleep_for(1s);
        const std::size_t cut = (round + 2) % vms.size();
        deployment.setLink(LinkKind::Peers, cut,
                           { { "freeze_to_target", true }, { "freeze_to_caller", true } });
        EntryVm &killed = vms[round];
        killed.process->kill();
        killed.process->wait();
        std::this_thread::sleep_for(500ms);
        deployment.start(killed);
        std::this_thread::sleep_for(1500ms);
        deployment.setLink(LinkKind::Peers, cut,
                           { { "freeze_to_target", false }, { "freeze_to_caller", false } });
    }
    checkAnswers(callers.finish(), deployment.ledger());
}
