#include "Load/Caller.h"

#include <algorithm>
#include <utility>

#include <absl/strings/numbers.h>
#include <absl/time/time.h>
#include <nlohmann/json.hpp>
#include <xxhash.h>

#include "Load/HttpClient.h"

namespace Currantfall::Load {

namespace {

constexpr std::size_t maxTries = 3;
constexpr int firstErrorStatus = 300;
/// A dead VM must not use up the time of the other entries.
constexpr absl::Duration connectTimeout = absl::Seconds(1);
const char *const deadlineHeader = "Currantfall-Deadline-Ms";

void setDeadline(httplib::Request &request, absl::Duration remaining)
{
    request.headers.erase(deadlineHeader);
    request.headers.emplace(deadlineHeader, std::to_string(absl::ToInt64Milliseconds(remaining)));
}

/// A body that no other request has.
std::string bodyOf(const std::string &requestId, std::size_t bytes)
{
    std::string body;
    body.reserve(bytes + requestId.size() + 1);
    while (body.size() < bytes) {
        body += requestId;
        body += ' ';
    }
    body.resize(bytes);
    return body;
}

/// The prefix of `entry` or, if it issues no keys, of the first entry that does.
std::string keyPrefixFor(const Entry &entry, const std::vector<Entry> &entries)
{
    const auto issues = [](const Entry &candidate) { return !candidate.keyPrefix.empty(); };
    if (issues(entry)) {
        return entry.keyPrefix;
    }
    const auto found = std::find_if(entries.begin(), entries.end(), issues);
    return found == entries.end() ? std::string() : found->keyPrefix;
}

bool sameHash(const std::string &hex, const std::string &body)
{
    std::uint64_t hash = 0;
    return absl::SimpleHexAtoi(hex, &hash) && hash == XXH3_64bits(body.data(), body.size());
}

/// True for the refusal of a backend server that wants no requests for some time, also if an entry
/// VM passes it on. Entry VMs that refuse by themselves give other reasons.
bool asksForPause(const httplib::Response &response)
{
    if (!response.has_header("Retry-After")) {
        return false;
    }
    if (response.get_header_value("Currantfall-Shed") == "not-run") {
        return true;
    }
    const nlohmann::json body = nlohmann::json::parse(response.body, nullptr, false);
    return response.get_header_value("Currantfall-Outcome") == "not-run" && body.is_object()
           && body.value("reason", nlohmann::json()) == "backend-server-shed";
}

} // namespace

Caller::Caller(const Settings &settings, const RequestClass &requestClass, LookupCache &lookups,
               BalancerFleet *balancers)
    : settings(settings), requestClass(requestClass), lookups(lookups), balancers(balancers)
{ }

httplib::Client &Caller::client(const Endpoint &endpoint)
{
    std::unique_ptr<httplib::Client> &found = this->clients[endpoint.toString()];
    if (!found) {
        found = makeClient(endpoint, std::min(connectTimeout, this->settings.timeout),
                           this->settings.timeout);
    }
    return *found;
}

const std::string &Caller::clientAddress(std::uint64_t number) const
{
    static const std::string own;
    const std::vector<std::string> &all = this->requestClass.clients;
    return all.empty() ? own : all[number % all.size()];
}

void Caller::openConnections()
{
    std::vector<Endpoint> endpoints;
    if (this->balancers == nullptr) {
        endpoints = this->settings.direct;
    }
    const std::size_t clients = std::max<std::size_t>(1, this->requestClass.clients.size());
    for (std::uint64_t number = 0; number < clients && !this->settings.lookups.empty(); ++number) {
        const auto entries = this->entries(number);
        for (const Entry &entry : entries.value_or(std::vector<Entry>())) {
            endpoints.push_back(entry.endpoint);
        }
    }
    for (const Endpoint &endpoint : endpoints) {
        openConnection(this->client(endpoint));
    }
}

httplib::Request Caller::request(const std::string &requestId, const std::string &path) const
{
    httplib::Request request;
    request.method = this->requestClass.method;
    request.path = path;
    request.headers.emplace("Currantfall-Request", requestId);
    if (!this->requestClass.tenant.empty()) {
        request.headers.emplace("Currantfall-Tenant", this->requestClass.tenant);
    }
    if (this->requestClass.deadline > absl::ZeroDuration()) {
        setDeadline(request, this->requestClass.deadline);
    }
    request.body = bodyOf(requestId, this->requestClass.bodyBytes);
    return request;
}

CallOutcome Caller::classify(const httplib::Response &response, const httplib::Request &request,
                             const std::string &requestId, bool isSteered) const
{
    const std::string outcome = response.get_header_value("Currantfall-Outcome");
    if (outcome == "not-run" || response.get_header_value("Currantfall-Shed") == "not-run") {
        return CallOutcome::NotRun;
    }
    if (outcome == "outcome-unknown") {
        return CallOutcome::OutcomeUnknown;
    }
    if (isSteered && outcome != "answered") {
        return CallOutcome::WrongAnswer; // Every response names its outcome.
    }
    if (response.status >= firstErrorStatus) {
        return CallOutcome::ErrorAnswer;
    }
    if (request.method == "HEAD") {
        return CallOutcome::Answered;
    }
    try {
        const nlohmann::json echo = nlohmann::json::parse(response.body);
        const bool same = echo.at("request") == requestId && echo.at("method") == request.method
                          && echo.at("path") == this->requestClass.path
                          && echo.at("body_bytes") == request.body.size()
                          && sameHash(echo.at("body_hash").get<std::string>(), request.body);
        // A server that is called directly may belong to any service.
        const bool sameService = !isSteered || echo.at("service") == this->requestClass.service;
        return same && sameService ? CallOutcome::Answered : CallOutcome::WrongAnswer;
    } catch (const nlohmann::json::exception &) {
        return CallOutcome::WrongAnswer;
    }
}

CallOutcome Caller::send(httplib::Client &client, const httplib::Request &request,
                         const std::string &requestId, bool isSteered, Call &call) const
{
    const httplib::Result result = client.send(request);
    if (result) {
        call.pauseRefusals += asksForPause(*result) ? 1 : 0;
        call.leavingResponses += result->get_header_value("Currantfall-Leaving") == "1" ? 1 : 0;
        return this->classify(*result, request, requestId, isSteered);
    }
    const bool notConnected = result.error() == httplib::Error::Connection
                              || result.error() == httplib::Error::ConnectionTimeout;
    return notConnected ? CallOutcome::Unreachable : CallOutcome::OutcomeUnknown;
}

Caller::Call Caller::direct(const std::string &requestId, std::uint64_t number)
{
    if (this->balancers != nullptr) {
        return this->balanced(requestId, number);
    }
    const Endpoint &endpoint = this->settings.direct.at(number % this->settings.direct.size());
    const httplib::Request request = this->request(requestId, this->requestClass.path);
    Call call;
    call.attempts = 1;
    call.outcome = this->send(this->client(endpoint), request, requestId, false, call);
    return call;
}

Caller::Call Caller::balanced(const std::string &requestId, std::uint64_t number)
{
    httplib::Request request = this->request(requestId, this->requestClass.path);
    const bool limited = this->requestClass.deadline > absl::ZeroDuration();
    const absl::Duration deadline = limited ? this->requestClass.deadline : this->settings.timeout;
    DirectBalancer &balancer = this->balancers->balancerFor(this->requestClass.service, number);
    Call call;
    const DirectBalancer::Call balanced
            = balancer.call(deadline, [&](httplib::Client &client, absl::Duration remaining) {
                  setDeadline(request, remaining);
                  client.set_read_timeout(absl::ToChronoMilliseconds(this->settings.timeout));
                  client.set_write_timeout(absl::ToChronoMilliseconds(this->settings.timeout));
                  return this->send(client, request, requestId, false, call);
              });
    call.outcome = balanced.outcome;
    call.attempts = balanced.attempts;
    return call;
}

Common::Result<std::vector<Entry>> Caller::entries(std::uint64_t number)
{
    if (this->requestClass.entry) {
        return std::vector<Entry> { Entry { *this->requestClass.entry,
                                            this->requestClass.keyPrefix } };
    }
    return this->lookups.entries(this->requestClass.service, this->clientAddress(number));
}

Caller::Call Caller::steered(const std::string &requestId, std::uint64_t number)
{
    Call call;
    const auto entries = this->entries(number);
    if (!entries) {
        return call;
    }
    httplib::Request request
            = this->request(requestId, "/" + this->requestClass.service + this->requestClass.path);
    std::string key;
    bool unknown = false;
    const Common::Instant ends = Common::monotonicNow() + this->requestClass.deadline;
    for (const Entry &entry : *entries) {
        if (call.attempts == maxTries) {
            break;
        }
        if (this->requestClass.key && key.empty()) {
            // A key that got not-run never runs, so the next try has a fresh one.
            key = keyPrefixFor(entry, *entries) + "." + requestId + "-"
                  + std::to_string(call.attempts);
            request.headers.erase("Idempotency-Key");
            request.headers.emplace("Idempotency-Key", key);
        }
        if (call.attempts > 0 && this->requestClass.deadline > absl::ZeroDuration()) {
            // All tries share the deadline of the request.
            const absl::Duration remaining = ends - Common::monotonicNow();
            if (remaining < absl::Milliseconds(1)) {
                break;
            }
            setDeadline(request, remaining);
        }
        ++call.attempts;
        const CallOutcome outcome
                = this->send(this->client(entry.endpoint), request, requestId, true, call);
        if (outcome == CallOutcome::Unreachable) {
            continue;
        }
        call.outcome = outcome;
        if (outcome == CallOutcome::NotRun) {
            key.clear();
            continue;
        }
        unknown = unknown || outcome == CallOutcome::OutcomeUnknown;
        const bool mayRepeat = this->requestClass.key || this->requestClass.idempotent();
        if (outcome != CallOutcome::OutcomeUnknown || !mayRepeat) {
            break;
        }
    }
    // Without a key, not-run of the last try says nothing about the tries before it.
    if (unknown && call.outcome == CallOutcome::NotRun && !this->requestClass.key) {
        call.outcome = CallOutcome::OutcomeUnknown;
    }
    return call;
}

} // namespace Currantfall::Load
