#include <future>
#include <memory>
#include <string>
#include <unistd.h>

#include <absl/strings/str_cat.h>
#include <absl/time/clock.h>
#include <catch2/catch.hpp>
#include <httplib.h>
#include <xxhash.h>

#include "Fleet.h"
#include "PauseRecord.h"
#include "ServiceTimes.h"

namespace Currantfall::BackendStandin {

namespace {

using Json = nlohmann::json;

constexpr int port = 19'000;
constexpr std::size_t slots = 2;

// Test programs that run at the same time use different addresses.
std::string hostAddress(int server)
{
    const int process = getpid();
    return absl::StrCat("127.", 180 + process % 50, ".", process / 50 % 250, ".", server);
}

// Two servers of one service in one zone.
Configuration::Environment environment()
{
    Configuration::Service service;
    service.name = Common::ServiceName("bellbook");
    for (const int number : { 1, 2 }) {
        service.backendServers.push_back(
                { Common::BackendServerName(absl::StrCat("bellbook-", number)),
                  Common::ZoneName("lm-a"), absl::StrCat(hostAddress(number), ":", port), slots });
    }
    Configuration::Environment result;
    result.services.push_back(service);
    return result;
}

class RunningFleet
{
public:
    RunningFleet() : RunningFleet(Json::object()) { }

    explicit RunningFleet(const Json &behaviour)
    {
        FleetOptions options;
        options.behaviour.serviceTime = absl::Milliseconds(1);
        options.behaviour = changed(options.behaviour, behaviour).value();
        auto started = Fleet::start(environment(), options);
        REQUIRE(started);
        this->running = *std::move(started);
    }

    Fleet &fleet() { return *this->running; }

    static httplib::Client client(int server = 1)
    {
        httplib::Client client(hostAddress(server), port);
        client.set_keep_alive(true);
        return client;
    }

    Json executions() const { return Json::parse(client().Get("/_control/executions")->body); }

    Json requestCount(const std::string &request) const
    {
        const Json ids { { "requests", { request } } };
        const auto response = client().Post("/_control/executions", ids.dump(), "application/json");
        return Json::parse(response->body)["requests"][request];
    }

    // Waits until the first server has this number of requests in progress.
    void awaitInUse(std::size_t count) const
    {
        while (this->executions()["servers"][0]["in_use"] != count) {
            absl::SleepFor(absl::Milliseconds(1));
        }
    }

private:
    std::unique_ptr<Fleet> running;
};

httplib::Headers ids(const std::string &name)
{
    return { { "Idempotency-Key", "k-" + name },
             { "Currantfall-Attempt", "a-" + name },
             { "Currantfall-Request", name } };
}

std::future<httplib::Result> getLater(const std::string &name)
{
    return std::async(std::launch::async,
                      [name] { return RunningFleet::client().Get("/", ids(name)); });
}

// Changes the first server.
void behave(const Json &behaviour)
{
    const auto response = RunningFleet::client().Post("/_control/behaviour", behaviour.dump(),
                                                      "application/json");
    REQUIRE(response->status == 200);
}

std::string hashHex(const std::string &bytes)
{
    return absl::StrCat(absl::Hex(XXH3_64bits(bytes.data(), bytes.size()), absl::kZeroPad16));
}

} // namespace

TEST_CASE("A caller can tell that it has the whole answer to its own request")
{
    const RunningFleet fleet;
    const auto response
            = RunningFleet::client().Post("/bookings?bytes=1001", ids("r1"), "abc", "text/plain");
    REQUIRE(response);
    const std::size_t lineEnd = response->body.find('\n');
    const Json line = Json::parse(response->body.substr(0, lineEnd));
    const std::string content = response->body.substr(lineEnd + 1);
    REQUIRE(line["server"] == "bellbook-1");
    REQUIRE(line["service"] == "bellbook");
    REQUIRE(line["method"] == "POST");
    REQUIRE(line["path"] == "/bookings?bytes=1001");
    REQUIRE(line["request"] == "r1");
    REQUIRE(line["body_bytes"] == 3);
    REQUIRE(line["body_hash"] == hashHex("abc"));
    REQUIRE(content.size() == 1001);
    REQUIRE(line["content_hash"] == hashHex(content));
    REQUIRE(response->get_header_value("Currantfall-Attempt") == "a-r1");
}

TEST_CASE("A connection stays open for many requests, so that warm connections stay warm")
{
    const RunningFleet fleet;
    auto client = RunningFleet::client();
    for (int count = 0; count < 20; ++count) {
        const auto response = client.Get("/");
        REQUIRE(response);
        REQUIRE(response->get_header_value("Connection") != "close");
    }
}

TEST_CASE("A request above the slots is shed and has proven not to run")
{
    const RunningFleet fleet(Json { { "hang", 1 } });
    auto first = getLater("r1");
    auto second = getLater("r2");
    fleet.awaitInUse(slots);
    const auto response = RunningFleet::client().Get("/", ids("r3"));
    REQUIRE(response->status == 503);
    REQUIRE(response->get_header_value("Currantfall-Shed") == "not-run");
    REQUIRE(fleet.requestCount("r3")["started"] == 0);
    RunningFleet::client().Post("/_control/cancel?attempt=a-r1");
    RunningFleet::client().Post("/_control/cancel?attempt=a-r2");
    REQUIRE_FALSE(first.get());
    REQUIRE_FALSE(second.get());
    const Json server = fleet.executions()["servers"][0];
    REQUIRE(server["shed"] == 1);
    REQUIRE(server["slot_overruns"] == 1);
    REQUIRE(server["max_in_use"] == slots);
    REQUIRE(server["cancelled"] == 2);
    REQUIRE(server["in_use"] == 0);
    REQUIRE(fleet.requestCount("r1")["ran"] == 0);
}

TEST_CASE("Cancelled and expired requests release their slots and are not counted as run")
{
    const RunningFleet fleet(Json { { "service_time_ms", 3'000'000 } });
    auto headers = ids("r1");
    headers.emplace("Currantfall-Deadline-Ms", "5");
    const auto expired = RunningFleet::client().Get("/", headers);
    REQUIRE(expired->status == 504);
    REQUIRE(expired->get_header_value("Currantfall-Finished") == "no");
    auto cancelled = getLater("r2");
    fleet.awaitInUse(1);
    const auto response = RunningFleet::client().Post("/_control/cancel?attempt=a-r2");
    REQUIRE(Json::parse(response->body)["cancelled"] == true);
    const auto answer = cancelled.get();
    REQUIRE(answer->status == 503);
    REQUIRE_FALSE(answer->has_header("Currantfall-Shed"));
    REQUIRE(fleet.requestCount("r1") == Json { { "started", 1 }, { "ran", 0 } });
    REQUIRE(fleet.requestCount("r2") == Json { { "started", 1 }, { "ran", 0 } });
    REQUIRE(fleet.executions()["servers"][0]["in_use"] == 0);
}

TEST_CASE("A key that runs on two servers of the process shows as run more than once")
{
    const RunningFleet fleet;
    RunningFleet::client(1).Post("/", ids("r1"), "", "text/plain");
    REQUIRE(fleet.executions()["keys"]["ran_more_than_once"] == 0);
    RunningFleet::client(2).Post("/", ids("r1"), "", "text/plain");
    REQUIRE(fleet.executions()["totals"]["ran"] == 2);
    const Json keys = fleet.executions()["keys"];
    REQUIRE(keys["ran_more_than_once"] == 1);
    REQUIRE(keys["ran_more_than_once_ids"] == Json::array({ "k-r1" }));
    REQUIRE(keys["ran"] == 1);
}

TEST_CASE("Faulty answers are cut, missing or mismatched, but their work is counted")
{
    const RunningFleet fleet;
    behave({ { "truncate", 1 } });
    REQUIRE_FALSE(RunningFleet::client().Get("/?bytes=100000", ids("r1")));
    behave({ { "truncate", 0 }, { "close_after_run", 1 } });
    REQUIRE_FALSE(RunningFleet::client().Get("/", ids("r2")));
    behave({ { "close_after_run", 0 }, { "mismatch", 1 } });
    const auto response = RunningFleet::client().Get("/", ids("r3"));
    REQUIRE(response->get_header_value("Currantfall-Attempt") == "mismatched");
    for (const std::string request : { "r1", "r2", "r3" }) {
        REQUIRE(fleet.requestCount(request)["ran"] == 1);
    }
}

TEST_CASE("Under concurrent callers the counters agree with the answers")
{
    const RunningFleet fleet;
    constexpr int callers = 8;
    constexpr int requests = 50;
    std::vector<std::future<int>> answered;
    answered.reserve(callers);
    for (int caller = 0; caller < callers; ++caller) {
        answered.push_back(std::async(std::launch::async, [caller] {
            auto client = RunningFleet::client();
            int ran = 0;
            for (int request = 0; request < requests; ++request) {
                const auto response = client.Get("/", ids(absl::StrCat(caller, "-", request)));
                ran += response && response->status == 200 ? 1 : 0;
            }
            return ran;
        }));
    }
    int ran = 0;
    for (std::future<int> &caller : answered) {
        ran += caller.get();
    }
    const Json executions = fleet.executions();
    REQUIRE(executions["totals"]["ran"] == ran);
    REQUIRE(executions["totals"]["shed"] == callers * requests - ran);
    REQUIRE(executions["totals"]["max_in_use"] <= slots);
    REQUIRE(executions["requests"]["ran"] == ran);
    REQUIRE(executions["requests"]["ran_more_than_once"] == 0);
}

TEST_CASE("A draining server sheds, and its health lags or lies as told")
{
    const RunningFleet fleet;
    const auto behave = [](const Json &behaviour) {
        return RunningFleet::client().Post("/_control/behaviour?scope=all", behaviour.dump(),
                                           "application/json");
    };
    const auto health = [] { return Json::parse(RunningFleet::client(2).Get("/_health")->body); };
    REQUIRE(behave({ { "draining", true } })->status == 200);
    REQUIRE(health() == Json { { "state", "draining" }, { "in_use", 0 }, { "slots", slots } });
    REQUIRE(RunningFleet::client(2).Get("/")->has_header("Currantfall-Shed"));
    behave({ { "report_lag_ms", 3'600'000 } });
    REQUIRE(health()["state"] == "ready");
    behave({ { "report_in_use", 1 }, { "report_state", "starting" } });
    REQUIRE(health() == Json { { "state", "starting" }, { "in_use", 1 }, { "slots", slots } });
    REQUIRE(behave({ { "drainig", true } })->status == 400);
    REQUIRE(behave({ { "hang", 2 } })->status == 400);
}

// Guards against a leaving server that stops work, or that its health gives away.
TEST_CASE("A leaving server says so in all its answers, works on, and its health says nothing")
{
    const RunningFleet fleet(Json { { "service_time_ms", 200 } });
    auto early = getLater("r1");
    fleet.awaitInUse(1);
    behave({ { "leaving", true }, { "service_time_ms", 1 } });
    REQUIRE(early.get()->get_header_value("Currantfall-Leaving") == "1");
    const auto answer = RunningFleet::client().Get("/", ids("r2"));
    REQUIRE(answer->status == 200);
    REQUIRE(answer->get_header_value("Currantfall-Leaving") == "1");
    REQUIRE(answer->get_header_value_count("Currantfall-Leaving") == 1);
    auto malformed = ids("r3");
    malformed.emplace("Currantfall-Deadline-Ms", "soon");
    REQUIRE(RunningFleet::client().Get("/", malformed)->has_header("Currantfall-Leaving"));
    behave({ { "pause", 1 } });
    const auto refusal = RunningFleet::client().Get("/", ids("r4"));
    REQUIRE(refusal->status == 503);
    REQUIRE(refusal->has_header("Currantfall-Leaving"));
    const auto health = RunningFleet::client().Get("/_health");
    REQUIRE_FALSE(health->has_header("Currantfall-Leaving"));
    REQUIRE(Json::parse(health->body)["state"] == "ready");
    // The other server stays.
    REQUIRE_FALSE(RunningFleet::client(2).Get("/", ids("r5"))->has_header("Currantfall-Leaving"));
    // The start tells the runs of a server apart.
    const std::string start = health->get_header_value("Currantfall-Started-Ms");
    REQUIRE(refusal->get_header_value("Currantfall-Started-Ms") == start);
    behave({ { "leaving", false }, { "pause", 0 } });
    const auto later = RunningFleet::client().Get("/", ids("r6"));
    REQUIRE_FALSE(later->has_header("Currantfall-Leaving"));
    REQUIRE(std::stoll(later->get_header_value("Currantfall-Started-Ms")) > std::stoll(start));
}

// Guards against a refusal without the time to wait, or of a request that runs.
TEST_CASE("A pausing server refuses the commanded share with the time to wait")
{
    const RunningFleet fleet;
    behave({ { "pause", 1 }, { "pause_ms", 2500 } });
    const auto refusal = RunningFleet::client().Get("/", ids("r1"));
    REQUIRE(refusal->status == 503);
    REQUIRE(refusal->get_header_value("Currantfall-Shed") == "not-run");
    REQUIRE(refusal->get_header_value("Currantfall-Attempt") == "a-r1");
    REQUIRE(refusal->get_header_value("Retry-After") == "2.5");
    REQUIRE(fleet.requestCount("r1")["started"] == 0);
    behave({ { "pause", 0.5 }, { "pause_ms", 3000 } });
    auto client = RunningFleet::client();
    constexpr int requests = 200;
    int refused = 0;
    for (int request = 0; request < requests; ++request) {
        const auto answer = client.Get("/", ids(absl::StrCat("s", request)));
        const bool isRefusal = answer->status == 503;
        REQUIRE(answer->has_header("Retry-After") == isRefusal);
        refused += isRefusal ? 1 : 0;
    }
    REQUIRE(refused > requests / 4);
    REQUIRE(refused < requests * 3 / 4);
    const Json totals = fleet.executions()["totals"];
    REQUIRE(totals["paused"] == refused + 1);
    REQUIRE(totals["shed"] == refused + 1);
    REQUIRE(totals["ran"] == requests - refused);
    behave({ { "pause", 0 }, { "draining", true } });
    REQUIRE_FALSE(RunningFleet::client().Get("/", ids("r2"))->has_header("Retry-After"));
}

// Guards against deployment tests that miss requests which a VM sends in a pause.
TEST_CASE("Requests of a VM between half a second after a refusal and the end of the pause count")
{
    PauseRecord record;
    const auto at = [](int milliseconds) {
        return Common::Instant::fromOrigin(absl::Milliseconds(milliseconds));
    };
    record.onRefusal("lm-1.7.b1", at(0), absl::Milliseconds(2000));
    record.onRequest("lm-1.7.b2", at(499));
    record.onRequest("lm-1.7.b3", at(2000));
    // Another VM, another run of the VM, and a request of no VM.
    record.onRefusal("lm-1.7.b1", at(3000), absl::Milliseconds(2000));
    for (const char *const attempt : { "lm-2.7.b1", "lm-1.8.b1", "a-r1", "" }) {
        record.onRequest(attempt, at(4000));
    }
    REQUIRE(record.mostRequests() == 0);
    record.onRequest("lm-1.7.b4", at(3500));
    record.onRequest("lm-1.7.b5", at(4999));
    REQUIRE(record.mostRequests() == 2);
    // A later pause counts anew, a longer one from its own refusal.
    record.onRefusal("lm-1.7.b6", at(6000), absl::Milliseconds(1000));
    record.onRefusal("lm-1.7.b7", at(6400), absl::Milliseconds(3000));
    record.onRequest("lm-1.7.b8", at(6600));
    record.onRequest("lm-1.7.b9", at(6950));
    record.onRequest("lm-1.7.b10", at(7100));
    REQUIRE(record.mostRequests() == 2);
    record.onRequest("lm-1.7.b11", at(7200));
    REQUIRE(record.mostRequests() == 3);
}

// Guards against values that would make the server wait, refuse or leave in an unknown way.
TEST_CASE("Behaviour about leaving and pausing is checked as a whole")
{
    const Behaviour before = changed({}, Json { { "pause", 0.25 }, { "pause_ms", 1500 } }).value();
    REQUIRE(changed({}, toJson(before)).value() == before);
    for (const Json &refused :
         { Json { { "leaving", 1 } }, Json { { "leaving", "1" } }, Json { { "pause", 1.5 } },
           Json { { "pause", -0.5 } }, Json { { "pause", true } }, Json { { "pause_ms", -1 } },
           Json { { "pause_ms", "1 s" } }, Json { { "pause_ms", 4'000'000 } } }) {
        INFO(refused.dump());
        REQUIRE_FALSE(changed(before, refused));
    }
}

TEST_CASE("A stop finishes the request in progress")
{
    RunningFleet fleet(Json { { "service_time_ms", 200 } });
    auto response = getLater("r1");
    fleet.awaitInUse(1);
    fleet.fleet().stop();
    const auto answer = response.get();
    REQUIRE(answer);
    REQUIRE(answer->status == 200);
}

TEST_CASE("Service times repeat with the seed, have the given mean and fall while warming up")
{
    Behaviour behaviour;
    behaviour.distribution = Distribution::Exponential;
    absl::Duration sum;
    constexpr int count = 20'000;
    for (std::uint64_t sequence = 0; sequence < count; ++sequence) {
        const absl::Duration time = draw(behaviour, 7, sequence, 1.0).serviceTime;
        REQUIRE(time == draw(behaviour, 7, sequence, 1.0).serviceTime);
        sum += time;
    }
    const double mean = absl::FDivDuration(sum, behaviour.serviceTime * count);
    REQUIRE(mean == Approx(1.0).epsilon(0.05));
    behaviour.distribution = Distribution::Fixed;
    REQUIRE(draw(behaviour, 7, 0, 0.0).serviceTime == 5 * behaviour.serviceTime);
    REQUIRE(draw(behaviour, 7, 0, 0.5).serviceTime == 3 * behaviour.serviceTime);
}

} // namespace Currantfall::BackendStandin
