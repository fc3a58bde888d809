#include "Load/DirectBalancer.h"

#include <algorithm>
#include <cmath>
#include <optional>
#include <string>
#include <utility>

#include <nlohmann/json.hpp>

#include "Load/HttpClient.h"

namespace Currantfall::Load {

namespace {

constexpr absl::Duration reportTimeout = absl::Seconds(1);
/// Share of the newest value in the measured service time.
constexpr double smoothing = 0.1;

/// The load in a server's report; nullopt if it gives none.
std::optional<Placement::BackendServerLoad> readReport(httplib::Client &client,
                                                       const Endpoint &server)
{
    const httplib::Result reply = client.Get("/_health");
    if (!reply || reply->status != 200) {
        return std::nullopt;
    }
    const nlohmann::json report = nlohmann::json::parse(reply->body, nullptr, false);
    if (!report.is_object()) {
        return std::nullopt;
    }
    return Placement::BackendServerLoad { Common::BackendServerName(server.toString()),
                                          report.value("in_use", std::size_t { 0 }),
                                          report.value("slots", std::size_t { 0 }) };
}

} // namespace

DirectBalancer::DirectBalancer(const BalancerSettings &settings, const BalancerGroup &group,
                               std::uint64_t seed)
    : settings(settings), servers(group.servers), random(seed)
{
    for (const Endpoint &server : this->servers) {
        this->reportClients.push_back(makeClient(server, reportTimeout, reportTimeout));
    }
    this->readReports();
    std::size_t slots = 0;
    for (const Placement::BackendServerLoad &report : this->reports) {
        slots += report.slots;
    }
    const double share = static_cast<double>(slots) / static_cast<double>(group.balancers);
    this->limit = static_cast<std::size_t>(std::ceil(this->settings.limitFactor * share));
    this->openConnections();
    this->reader = std::thread([this] { this->readRegularly(); });
}

DirectBalancer::~DirectBalancer()
{
    {
        const std::lock_guard lock(this->mutex);
        this->stopping = true;
    }
    this->changed.notify_all();
    this->reader.join();
}

void DirectBalancer::openConnections()
{
    for (const Endpoint &server : this->servers) {
        Clients &clients = this->idleClients[ServerName(server.toString())];
        for (std::size_t index = 0; index < this->limit; ++index) {
            clients.push_back(makeClient(server, reportTimeout, reportTimeout));
            openConnection(*clients.back());
        }
    }
}

void DirectBalancer::readReports()
{
    std::vector<Placement::BackendServerLoad> read;
    for (std::size_t index = 0; index < this->servers.size(); ++index) {
        if (auto report = readReport(*this->reportClients[index], this->servers[index])) {
            read.push_back(*std::move(report));
        }
    }
    const std::lock_guard lock(this->mutex);
    this->reports = std::move(read);
}

void DirectBalancer::readRegularly()
{
    std::unique_lock lock(this->mutex);
    const auto interval = absl::ToChronoMicroseconds(this->settings.reportInterval);
    while (!this->changed.wait_for(lock, interval, [this] { return this->stopping; })) {
        lock.unlock();
        this->readReports();
        lock.lock();
    }
}

DirectBalancer::Call DirectBalancer::call(absl::Duration deadline, const Send &send)
{
    Call call;
    const Common::Instant ends = Common::monotonicNow() + deadline;
    if (!this->enter(ends)) {
        return call;
    }
    absl::flat_hash_set<ServerName> tried;
    constexpr std::uint64_t maxAttempts = 2;
    while (call.outcome == CallOutcome::NotRun && call.attempts < maxAttempts) {
        ServerName server;
        std::unique_ptr<httplib::Client> client = this->begin(tried, server);
        if (!client) {
            break;
        }
        ++call.attempts;
        const Common::Instant begins = Common::monotonicNow();
        call.outcome = send(*client, ends - begins);
        this->end(server, std::move(client), call.outcome, Common::monotonicNow() - begins);
        tried.insert(server);
    }
    this->leave();
    return call;
}

bool DirectBalancer::enter(Common::Instant ends)
{
    std::unique_lock lock(this->mutex);
    const std::uint64_t ticket = ++this->lastTicket;
    this->waiting.push_back(ticket);
    const absl::Duration allowed = ends - Common::monotonicNow() - this->serviceTime;
    const bool entered
            = this->changed.wait_for(lock, absl::ToChronoMicroseconds(allowed), [this, ticket] {
                  return this->permits < this->limit && this->waiting.front() == ticket;
              });
    this->waiting.erase(std::find(this->waiting.begin(), this->waiting.end(), ticket));
    this->permits += entered ? 1 : 0;
    lock.unlock();
    this->changed.notify_all();
    return entered;
}

void DirectBalancer::leave()
{
    {
        const std::lock_guard lock(this->mutex);
        --this->permits;
    }
    this->changed.notify_all();
}

std::vector<Placement::BackendServerLoad> DirectBalancer::currentLoads() const
{
    std::vector<Placement::BackendServerLoad> loads = this->reports;
    if (!this->settings.countsOwn) {
        return loads;
    }
    for (Placement::BackendServerLoad &load : loads) {
        const auto own = this->inFlight.find(load.name);
        load.inUse = std::max(load.inUse, own == this->inFlight.end() ? 0 : own->second);
    }
    return loads;
}

std::unique_ptr<httplib::Client>
DirectBalancer::begin(const absl::flat_hash_set<ServerName> &excluded, ServerName &chosen)
{
    const std::lock_guard lock(this->mutex);
    const auto choice
            = Placement::DirectPowerOfTwo::choose(this->currentLoads(), excluded, this->random());
    if (!choice) {
        return nullptr;
    }
    chosen = *choice;
    ++this->inFlight[chosen];
    // There is one client for each permit, thus always an idle one.
    Clients &clients = this->idleClients.at(chosen);
    std::unique_ptr<httplib::Client> client = std::move(clients.back());
    clients.pop_back();
    return client;
}

void DirectBalancer::end(const ServerName &server, std::unique_ptr<httplib::Client> client,
                         CallOutcome outcome, absl::Duration took)
{
    const std::lock_guard lock(this->mutex);
    --this->inFlight[server];
    this->idleClients.at(server).push_back(std::move(client));
    if (outcome == CallOutcome::Answered) {
        this->serviceTime = this->serviceTime == absl::ZeroDuration()
                                    ? took
                                    : (1 - smoothing) * this->serviceTime + smoothing * took;
    }
}

} // namespace Currantfall::Load
