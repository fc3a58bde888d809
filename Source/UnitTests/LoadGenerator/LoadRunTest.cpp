#include "Load/LoadRun.h"

#include <atomic>
#include <cstdint>
#include <cstdlib>
#include <functional>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <thread>

#include <absl/strings/str_cat.h>
#include <catch2/catch.hpp>
#include <httplib.h>
#include <nlohmann/json.hpp>
#include <xxhash.h>

#include "Load/ReportText.h"

using namespace Currantfall::Load;

namespace {

/// Stands for lookups, an entry VM and a backend server on one port.
class FakeEntry
{
public:
    using Handler = std::function<void(const httplib::Request &, httplib::Response &)>;

    explicit FakeEntry(Handler handler = {}) : handler(std::move(handler))
    {
        this->server.set_tcp_nodelay(true);
        this->server.set_keep_alive_max_count(100000);
        this->server.Get("/v1/lookup",
                         [this](const httplib::Request &request, httplib::Response &reply) {
                             {
                                 const std::lock_guard lock(this->mutex);
                                 this->clients.insert(request.get_param_value("client"));
                             }
                             reply.set_content(this->lookupReply(), "application/json");
                         });
        this->server.Post("/_control/executions", [this](const httplib::Request &,
                                                         httplib::Response &reply) {
            const std::lock_guard lock(this->mutex);
            nlohmann::json counts = nlohmann::json::object();
            for (const auto &[id, ran] : this->runs) {
                counts[id] = { { "started", ran }, { "ran", ran } };
            }
            reply.set_content(nlohmann::json { { "requests", counts } }.dump(), "application/json");
        });
        const auto serve = [this](const httplib::Request &request, httplib::Response &reply) {
            this->serve(request, reply);
        };
        this->server.Get("/.*", serve);
        this->server.Post("/.*", serve);
        this->port = this->server.bind_to_any_port("127.0.0.1");
        this->thread = std::thread([this] { this->server.listen_after_bind(); });
        while (!this->server.is_running()) {
            std::this_thread::yield();
        }
    }

    ~FakeEntry()
    {
        this->server.stop();
        this->thread.join();
    }

    /// An entry VM before this one in lookups, which may not exist.
    void putBefore(int otherPort) { this->firstPort = otherPort; }

    Endpoint endpoint() const { return { "127.0.0.1", this->port }; }

    void run(const httplib::Request &request, httplib::Response &reply)
    {
        const std::string id = request.get_header_value("Currantfall-Request");
        const XXH64_hash_t hash = XXH3_64bits(request.body.data(), request.body.size());
        const bool steered = request.path.starts_with("/shop");
        const nlohmann::json echo { { "service", "shop" },
                                    { "server", "shop-1" },
                                    { "method", request.method },
                                    { "path", steered ? request.path.substr(5) : request.path },
                                    { "request", id },
                                    { "body_bytes", request.body.size() },
                                    { "body_hash", absl::StrCat(absl::Hex(hash)) } };
        reply.set_header("Currantfall-Outcome", "answered");
        reply.set_content(echo.dump(), "application/json");
        const std::lock_guard lock(this->mutex);
        ++this->runs[id];
        this->keys.insert(request.get_header_value("Idempotency-Key"));
    }

    std::set<std::string> keysSeen()
    {
        const std::lock_guard lock(this->mutex);
        return this->keys;
    }

    std::set<std::string> clientsSeen()
    {
        const std::lock_guard lock(this->mutex);
        return this->clients;
    }

private:
    std::string lookupReply() const
    {
        nlohmann::json entries = nlohmann::json::array();
        for (const int entryPort : { this->firstPort, this->port }) {
            if (entryPort != 0) {
                entries.push_back({ { "vm", "vm" },
                                    { "zone", "z" },
                                    { "address", "127.0.0.1" },
                                    { "port", entryPort },
                                    { "key_prefix", "1~vm~1~-~0~1" } });
            }
        }
        return nlohmann::json { { "ttl_ms", 50 }, { "entries", entries } }.dump();
    }

    void serve(const httplib::Request &request, httplib::Response &reply)
    {
        if (this->handler) {
            this->handler(request, reply);
        } else {
            this->run(request, reply);
        }
    }

    Handler handler;
    httplib::Server server;
    int port = 0;
    int firstPort = 0;
    std::thread thread;
    std::mutex mutex;
    std::map<std::string, int> runs;
    std::set<std::string> keys;
    std::set<std::string> clients;
};

Settings settingsFor(const FakeEntry &entry, const std::string &requestClass)
{
    Settings settings;
    settings.lookups = { entry.endpoint() };
    settings.verify = { entry.endpoint() };
    settings.classes = { RequestClass::parse(requestClass).value() };
    settings.duration = absl::Milliseconds(500);
    settings.settle = absl::ZeroDuration();
    settings.connections = 4;
    return settings;
}

const std::string order = "service=shop,method=POST,path=/orders,rate=200,body-bytes=100,key=yes";

void setNotRun(httplib::Response &reply)
{
    reply.status = 503;
    reply.headers.erase("Currantfall-Outcome");
    reply.set_header("Currantfall-Outcome", "not-run");
}

} // namespace

TEST_CASE("Correct answers break no invariant, and each request has its own key")
{
    FakeEntry entry;
    const LoadReport report = runLoad(settingsFor(entry, order)).value();
    const ClassResult result = report.total(0, false);
    REQUIRE(result.requests() > 0);
    REQUIRE(result.count(CallOutcome::Answered) == result.requests());
    REQUIRE(entry.keysSeen().size() == result.requests());
    REQUIRE(entry.keysSeen().begin()->starts_with("1~vm~1~-~0~1."));
    REQUIRE(!report.invariantBroken());
}

TEST_CASE("An execution behind a not-run refusal is counted as a false not-run and a duplicate")
{
    FakeEntry *self = nullptr;
    FakeEntry entry([&self](const httplib::Request &request, httplib::Response &reply) {
        self->run(request, reply);
        setNotRun(reply);
    });
    self = &entry;
    entry.putBefore(entry.endpoint().port);
    const LoadReport report = runLoad(settingsFor(entry, order)).value();
    const ClassResult result = report.total(0, false);
    REQUIRE(result.requests() > 0);
    REQUIRE(result.falseNotRun == result.requests());
    REQUIRE(result.duplicates == result.requests());
    REQUIRE(report.invariantBroken());
}

// Guards against a run that does not show that its servers paused or left, or that counts refusals
// of entry VMs as theirs.
TEST_CASE("Refusals by pausing servers and responses by leaving ones are counted")
{
    std::atomic<int> count { 0 };
    FakeEntry *self = nullptr;
    FakeEntry entry([&](const httplib::Request &request, httplib::Response &reply) {
        const int kind = count++ % 6;
        if (kind < 2) {
            self->run(request, reply);
            reply.set_header("Currantfall-Leaving", kind == 0 ? "1" : "0");
            return;
        }
        setNotRun(reply);
        if (kind != 5) {
            reply.set_header("Retry-After", "1");
        }
        if (kind == 2) {
            reply.set_header("Currantfall-Shed", "not-run");
        }
        const bool shed = kind == 3 || kind == 5;
        const nlohmann::json body { { "reason", shed ? "backend-server-shed" : "no-capacity" } };
        reply.set_content(body.dump(), "application/json");
    });
    self = &entry;
    const Settings settings = settingsFor(entry, "service=shop,rate=400");
    const LoadReport report = runLoad(settings).value();
    const ClassResult result = report.total(0, false);
    const auto all = static_cast<std::uint64_t>(count);
    // Of six responses in turn, the first is of a leaving server, the third and fourth are refusals
    // of a pausing one.
    const auto counted = [all](std::uint64_t kind) { return all / 6 + (all % 6 > kind ? 1 : 0); };
    REQUIRE(all >= 6);
    REQUIRE(result.attempts == all);
    REQUIRE(result.leavingResponses == counted(0));
    REQUIRE(result.pauseRefusals == counted(2) + counted(3));
    const auto json = nlohmann::json::parse(reportJson(report, settings)).at("classes").at(0);
    REQUIRE(json.at("leaving_responses") == result.leavingResponses);
    REQUIRE(json.at("pause_refusals") == result.pauseRefusals);
    const std::string line = absl::StrCat(result.pauseRefusals, " refusals by pausing servers, ",
                                          result.leavingResponses, " responses by leaving servers");
    REQUIRE(reportText(report, settings).find(line) != std::string::npos);
    FakeEntry plain;
    const Settings plainSettings = settingsFor(plain, "service=shop,rate=100");
    const std::string text = reportText(runLoad(plainSettings).value(), plainSettings);
    REQUIRE(text.find("by leaving servers") == std::string::npos);
}

TEST_CASE("The answer to another request is counted as wrong")
{
    FakeEntry *self = nullptr;
    FakeEntry entry([&self](const httplib::Request &request, httplib::Response &reply) {
        httplib::Request other = request;
        other.body += "x";
        self->run(other, reply);
    });
    self = &entry;
    const LoadReport report = runLoad(settingsFor(entry, order)).value();
    const ClassResult result = report.total(0, false);
    REQUIRE(result.requests() > 0);
    REQUIRE(result.count(CallOutcome::WrongAnswer) == result.requests());
    REQUIRE(report.invariantBroken());
}

TEST_CASE("A dead first entry costs a second try with the same key, and nothing else")
{
    int unusedPort = 0;
    {
        const FakeEntry gone;
        unusedPort = gone.endpoint().port;
    }
    FakeEntry entry;
    entry.putBefore(unusedPort);
    const ClassResult result = runLoad(settingsFor(entry, order)).value().total(0, false);
    REQUIRE(result.requests() > 0);
    REQUIRE(result.count(CallOutcome::Answered) == result.requests());
    REQUIRE(result.attempts == 2 * result.requests());
    REQUIRE(entry.keysSeen().begin()->ends_with("-0"));
}

TEST_CASE("A lost answer without a key is outcome-unknown and not repeated")
{
    FakeEntry entry([](const httplib::Request &, httplib::Response &reply) {
        reply.set_content_provider(100, "text/plain",
                                   [](size_t, size_t, httplib::DataSink &) { return false; });
    });
    entry.putBefore(entry.endpoint().port);
    const ClassResult result = runLoad(settingsFor(entry, "service=shop,method=POST,rate=50"))
                                       .value()
                                       .total(0, false);
    REQUIRE(result.requests() > 0);
    REQUIRE(result.count(CallOutcome::OutcomeUnknown) == result.requests());
    REQUIRE(result.attempts == result.requests());
}

// Guards against coordinated omission: a slow server must not slow the arrivals down.
TEST_CASE("Latency counts from the scheduled arrival when all connections are busy")
{
    FakeEntry *self = nullptr;
    FakeEntry entry([&self](const httplib::Request &request, httplib::Response &reply) {
        std::this_thread::sleep_for(std::chrono::milliseconds(50));
        self->run(request, reply);
    });
    self = &entry;
    Settings settings = settingsFor(entry, "service=shop,rate=100");
    settings.connections = 1;
    const ClassResult result = runLoad(settings).value().total(0, false);
    REQUIRE(result.requests() > 20);
    REQUIRE(result.answered.maximum() > absl::Milliseconds(500));
    // Answers after the end of the phase are no goodput.
    REQUIRE(result.answeredInPhase < result.requests());
}

// Guards against a flood that lasts until the generator has sent its whole backlog.
TEST_CASE("A planned request that is too late is abandoned and counted")
{
    FakeEntry *self = nullptr;
    FakeEntry entry([&self](const httplib::Request &request, httplib::Response &reply) {
        std::this_thread::sleep_for(std::chrono::milliseconds(100));
        self->run(request, reply);
    });
    self = &entry;
    Settings settings = settingsFor(entry, "service=shop,rate=400,connections=1");
    settings.abandonAfter = absl::Milliseconds(50);
    const LoadReport report = runLoad(settings).value();
    const ClassResult result = report.total(0, false);
    REQUIRE(result.requests() > 0);
    REQUIRE(result.abandoned > result.requests());
    REQUIRE(result.answered.count() == result.requests());
    const auto json = nlohmann::json::parse(reportJson(report, settings));
    REQUIRE(json.at("classes").at(0).at("abandoned") == result.abandoned);
}

// Guards against callers that all come from the zone of the generator.
TEST_CASE("Lookups name the clients of the class in turn, and opening connections is not counted")
{
    FakeEntry entry;
    Settings settings = settingsFor(entry, "service=shop,rate=200,clients=127.11.0.1+127.12.0.1");
    settings.openConnections = true;
    const ClassResult result = runLoad(settings).value().total(0, false);
    REQUIRE(result.requests() > 1);
    REQUIRE(result.count(CallOutcome::Answered) == result.requests());
    REQUIRE(entry.clientsSeen() == std::set<std::string> { "127.11.0.1", "127.12.0.1" });
}

TEST_CASE("Alternating phases report a ratio for each pair")
{
    FakeEntry entry;
    Settings settings = settingsFor(entry, "service=shop,rate=400");
    settings.direct = { entry.endpoint() };
    settings.alternate = 2;
    const LoadReport report = runLoad(settings).value();
    REQUIRE(report.phases.size() == 4);
    REQUIRE(!report.invariantBroken());
    const auto json = nlohmann::json::parse(reportJson(report, settings));
    REQUIRE(json.at("pairs").size() == 2);
    REQUIRE(reportText(report, settings).find("pair 2 shop GET /") != std::string::npos);
}

TEST_CASE("Settings come from the command line, then from the environment, and errors are named")
{
    setenv("CURRANTFALL_LOOKUP", "127.0.0.1:1,127.0.0.2:2", 1);
    setenv("CURRANTFALL_SEED", "5", 1);
    const char *const arguments[] = { "load",    "--class",   "service=a,rate=2.5,key=yes",
                                      "--class", "service=b", "--seed=7" };
    const auto settings = Settings::parse(6, arguments);
    unsetenv("CURRANTFALL_LOOKUP");
    unsetenv("CURRANTFALL_SEED");
    REQUIRE(settings);
    REQUIRE(settings->lookups.size() == 2);
    REQUIRE(settings->classes.size() == 2);
    REQUIRE(settings->classes[0].rate == 2.5);
    REQUIRE(settings->seed == 7);
    for (const std::string text : { "", "rate=1", "service=a,rate=x", "service=a,key=maybe",
                                    "service=a,clients=127.0.0.1+x", "service=a,connections=0" }) {
        REQUIRE(!RequestClass::parse(text));
    }
    REQUIRE(!Endpoint::parse("127.0.0.1"));
    REQUIRE(!Settings::parse(1, arguments));
    const char *const refused[]
            = { "load", "--class=service=a", "--lookup=127.0.0.1:1", "--abandon-after-ms=-1" };
    REQUIRE(!Settings::parse(4, refused));
    REQUIRE(Settings::parse(3, refused));
}

TEST_CASE("Quantiles are within 1% and ignore order")
{
    LatencyHistogram first;
    LatencyHistogram second;
    for (int value = 1; value <= 1000; ++value) {
        (value % 2 == 0 ? first : second).add(absl::Microseconds(value * 10));
    }
    first.merge(second);
    REQUIRE(absl::ToDoubleMicroseconds(first.quantile(0.5)) == Approx(5000).epsilon(0.011));
    REQUIRE(absl::ToDoubleMicroseconds(first.quantile(0.99)) == Approx(9900).epsilon(0.011));
    REQUIRE(first.maximum() == absl::Microseconds(10000));
}
