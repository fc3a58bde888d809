#include "Callers.h"

#include <atomic>

#include <nlohmann/json.hpp>

namespace Currantfall::Tests {

namespace {

using nlohmann::json;

constexpr int callTimeoutSeconds = 15;
constexpr std::uint64_t shortDeadlineEvery = 11;
constexpr std::uint64_t shortDeadlineMs = 60;

// Request ids of several groups of callers must differ.
std::atomic<int> instances { 0 };

/// Whether an answer is whole and belongs to the request. A backend server that gives up at the
/// deadline says so without naming the request.
bool isOwnAnswer(int status, const json &body, const std::string &requestId)
{
    constexpr int deadlinePassed = 504;
    return status == deadlinePassed
                   ? !body.value("finished", true) && body.value("reason", "") == "expired"
                   : body.value("request", "") == requestId;
}

} // namespace

Callers::Callers(const DeploymentFixture &deployment, std::size_t threads, bool keyed,
                 const std::vector<std::string> &zones, CallerOptions options)
    : deployment(deployment), keyed(keyed),
      idPrefix((keyed ? "booking-" : "query-") + std::to_string(++instances) + "-"),
      zones(zones.empty() ? deployment.zoneNames() : zones), options(options)
{
    this->threads.start(threads, [this](std::size_t index) { this->run(index); });
}

Callers::~Callers()
{
    this->finish();
}

std::vector<CallRecord> Callers::finish()
{
    return this->threads.finish();
}

void Callers::run(std::size_t index)
{
    for (std::uint64_t number = 0; !this->threads.stopping(); ++number) {
        const std::string &zone = this->zones[(index + number) % this->zones.size()];
        this->threads.add(this->call(index, number, zone));
    }
}

bool Callers::hasShortDeadline(std::uint64_t number) const
{
    return this->options.shortDeadlines && number % shortDeadlineEvery == 0;
}

std::string Callers::service() const
{
    if (this->options.uploadBytes > 0) {
        return "scrollcast";
    }
    return this->keyed ? "bellbook" : "slotview";
}

httplib::Result Callers::send(httplib::Client &client, const std::string &requestId,
                              const std::string &key, std::uint64_t number) const
{
    httplib::Headers headers { { "Currantfall-Request", requestId }, { "Idempotency-Key", key } };
    if (this->hasShortDeadline(number)) {
        headers.emplace("Currantfall-Deadline-Ms", std::to_string(number % shortDeadlineMs));
    }
    if (this->options.uploadBytes > 0) {
        return client.Put("/scrollcast/recordings/" + requestId, headers,
                          std::string(this->options.uploadBytes, 'x'), "application/octet-stream");
    }
    if (this->keyed) {
        return client.Post("/bellbook/bookings", headers, "body of " + requestId, "text/plain");
    }
    return client.Get("/slotview/availability?id=" + requestId, headers);
}

CallRecord Callers::call(std::size_t index, std::uint64_t number, const std::string &zone)
{
    CallRecord record;
    record.requestId = this->idPrefix + std::to_string(index) + "-" + std::to_string(number);
    record.zone = zone;
    record.keyed = this->keyed;
    record.shortDeadline = this->hasShortDeadline(number);
    record.outcome = "unreachable";
    const json found = this->deployment.lookup(this->service(), zone);
    const json entries = found.value("entries", json::array());
    if (entries.empty()) {
        return record;
    }
    // A repeat goes to another entry VM with the same key.
    const std::string key
            = entries.front().value("key_prefix", std::string()) + "." + record.requestId;
    for (const json &entry : entries) {
        httplib::Client client(entry["address"].get<std::string>(), entry["port"].get<int>());
        client.set_read_timeout(callTimeoutSeconds);
        client.set_tcp_nodelay(true);
        // The address by which an entry VM knows where the caller is.
        client.set_interface(this->deployment.clientIn(zone));
        const auto response = this->send(client, record.requestId, key, number);
        if (!response) {
            record.repeated = true;
            continue;
        }
        record.outcome = response->get_header_value("Currantfall-Outcome");
        record.status = response->status;
        if (record.outcome != "answered" || record.status != 200) {
            record.refusal = entry["vm"].get<std::string>() + ": " + response->body;
        }
        const json body = json::parse(response->body, nullptr, false);
        const json fields = body.is_object() ? body : json::object();
        record.reason = fields.value("reason", std::string());
        record.wrong = record.outcome == "answered"
                       && !isOwnAnswer(record.status, fields, record.requestId);
        return record;
    }
    return record;
}

} // namespace Currantfall::Tests
