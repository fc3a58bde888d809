#include "SoakCallers.h"

#include <algorithm>
#include <atomic>
#include <memory>
#include <thread>

namespace Currantfall::Tests {

namespace {

using nlohmann::json;
using Clock = std::chrono::steady_clock;

constexpr int deadlineMs = 7000;
constexpr int impatientDeadlineMs = 250;
constexpr unsigned impatientEvery = 23;
constexpr unsigned chunkedEvery = 3;
constexpr unsigned objects = 40;
constexpr std::chrono::milliseconds pauseAfterFailure { 30 };
constexpr std::chrono::seconds lookupLifetime { 1 };
constexpr std::uint32_t maxAttempts = 3;

std::atomic<unsigned> groups { 0 };

bool promisesNotRun(int status)
{
    return status == 408 || status == 421 || status == 429 || status == 503;
}

} // namespace

/// The loop of one thread.
class SoakCallers::Caller
{
public:
    Caller(SoakCallers &owner, std::size_t index, const std::string &prefix)
        : owner(owner), index(index), prefix(prefix + std::to_string(index) + "-")
    { }

    void run()
    {
        for (unsigned number = 0; !this->owner.threads.stopping(); ++number) {
            SoakRecord record = this->call(number);
            const bool failed = record.status != 200;
            this->owner.threads.add(std::move(record));
            if (failed) {
                // A new connection, as after any failure.
                this->client.reset();
                std::this_thread::sleep_for(pauseAfterFailure);
            }
        }
    }

private:
    SoakRecord call(unsigned number)
    {
        static const std::vector<std::string> routes { "read",  "order",    "photo",
                                                       "order", "resident", "moving" };
        SoakRecord record;
        record.route = routes[(this->index + number) % routes.size()];
        record.id = this->prefix + std::to_string(number);
        this->lookUp();
        if (!this->client) {
            return record;
        }
        record.entry = this->entry;
        const int deadline = number % impatientEvery == 0 ? impatientDeadlineMs : deadlineMs;
        record.deadline = std::chrono::milliseconds(deadline);
        this->client->set_read_timeout(record.deadline + std::chrono::milliseconds(200));
        const httplib::Headers headers { { "Host", "shop.example" },
                                         { "Request-Id", record.id },
                                         { "Deadline-Ms", std::to_string(deadline) },
                                         { "X-Caller-Deadline", std::to_string(deadline) },
                                         { "X-Caller-Route", record.route },
                                         { "Cookie",
                                           "Affinity-Key=" + std::to_string(number % objects) } };
        const std::string path = "/" + record.route + "/" + record.id + "?own=" + record.id;
        record.started = SoakClock::now();
        const httplib::Result result = this->send(record, path, headers, number);
        record.ended = SoakClock::now();
        record.took = std::chrono::duration_cast<std::chrono::milliseconds>(record.ended
                                                                            - record.started);
        if (!result) {
            record.reason = httplib::to_string(result.error());
            return record;
        }
        record.status = result->status;
        const std::string seal = result->get_header_value("Server-Seal");
        const std::string suffix = "." + record.id;
        if (result->has_header("Server-Leaving")) {
            record.leavingServer = result->get_header_value("Instance-Id");
        }
        record.wholeAnswer
                = result->status == 200 && result->body == responseBodyOf(record.id)
                  && seal.size() > suffix.size()
                  && seal.compare(seal.size() - suffix.size(), suffix.size(), suffix) == 0;
        if (result->status != 200) {
            record.reason = result->body.substr(0, result->body.find('\n'));
        }
        return record;
    }

    httplib::Result send(const SoakRecord &record, const std::string &path,
                         const httplib::Headers &headers, unsigned number)
    {
        if (record.idempotent()) {
            return this->client->Get(path, headers);
        }
        const std::string body = requestBodyOf(record.id);
        if (number % chunkedEvery != 0) {
            return this->client->Post(path, headers, body, "application/octet-stream");
        }
        const auto writeChunks = [&body](std::size_t, httplib::DataSink &sink) {
            constexpr std::size_t chunk = 10'000;
            for (std::size_t sent = 0; sent < body.size(); sent += chunk) {
                sink.write(body.data() + sent, std::min(chunk, body.size() - sent));
            }
            sink.done();
            return true;
        };
        return this->client->Post(path, headers, writeChunks, "application/octet-stream");
    }

    void lookUp()
    {
        const bool faithful = this->index % 2 == 0;
        if (this->client && (faithful || Clock::now() - this->lookedUp < lookupLifetime)) {
            return;
        }
        const std::vector<EntryVm> &vms = this->owner.deployment.vms();
        for (std::size_t offset = 0; offset < vms.size(); ++offset) {
            const EntryVm &asked = vms[(this->index + this->lookups + offset) % vms.size()];
            httplib::Client directory(asked.host, EntryDeployment::directoryPort);
            directory.set_connection_timeout(0, 500'000);
            directory.set_read_timeout(1);
            const auto answer = directory.Get("/resolve?name=shop.example&region=" + asked.region
                                              + "&zone=" + asked.zone);
            if (!answer || answer->status != 200) {
                continue;
            }
            const json addresses = json::parse(answer->body).at("addresses");
            const std::string chosen = addresses.at(this->lookups++ % addresses.size());
            this->lookedUp = Clock::now();
            if (!this->client || chosen != this->entry) {
                this->entry = chosen;
                this->client = std::make_unique<httplib::Client>("http://" + chosen);
                this->client->set_keep_alive(true);
                this->client->set_tcp_nodelay(true);
                this->client->set_connection_timeout(1);
                this->client->set_write_timeout(5);
            }
            return;
        }
        this->client.reset();
    }

    SoakCallers &owner;
    std::size_t index;
    std::string prefix;
    std::string entry;
    std::unique_ptr<httplib::Client> client;
    Clock::time_point lookedUp;
    std::size_t lookups = 0;
};

SoakCallers::SoakCallers(const EntryDeployment &deployment, std::size_t threads)
    : deployment(deployment)
{
    const std::string prefix = "q" + std::to_string(++groups) + "-";
    this->threads.start(threads,
                        [this, prefix](std::size_t index) { Caller(*this, index, prefix).run(); });
}

SoakCallers::~SoakCallers()
{
    this->finish();
}

std::vector<SoakRecord> SoakCallers::finish()
{
    return this->threads.finish();
}

SoakVerdict judge(const std::vector<SoakRecord> &records, const ExecutionLedger &ledger)
{
    SoakVerdict verdict;
    verdict.violations = ledger.violations();
    const auto executions = ledger.executions();
    for (const SoakRecord &record : records) {
        ++verdict.outcomes[record.route + " " + std::to_string(record.status)
                           + (record.reason.empty() ? "" : " " + record.reason)];
        const auto found = executions.find(record.id);
        const Executions seen = found == executions.end() ? Executions() : found->second;
        const auto wrong = [&](const std::string &what) {
            verdict.violations.push_back(what + ": " + record.id + " " + record.route + " at "
                                         + record.entry + ", status "
                                         + std::to_string(record.status) + " " + record.reason
                                         + " after " + std::to_string(record.took.count())
                                         + " ms, started " + std::to_string(seen.started));
        };
        if (!record.idempotent() && seen.started > 1) {
            wrong("executed twice");
        }
        if (seen.started > maxAttempts) {
            wrong("more attempts than allowed");
        }
        if (promisesNotRun(record.status) && seen.started > 0) {
            wrong("false not-run");
        }
        if (record.status == 200 && (!record.wholeAnswer || seen.started == 0)) {
            wrong("wrong or partial answer");
        }
        if (record.status >= 300 && record.status < 500 && !promisesNotRun(record.status)) {
            wrong("refused although it is allowed");
        }
        const auto allowed = EntryDeployment::servicesOf(record.route);
        for (const std::string &service : seen.services) {
            if (std::find(allowed.begin(), allowed.end(), service) == allowed.end()) {
                wrong("ran at service " + service);
            }
        }
    }
    return verdict;
}

} // namespace Currantfall::Tests
