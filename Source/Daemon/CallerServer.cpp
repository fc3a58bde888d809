#include "CallerServer.h"

#include <algorithm>
#include <utility>

#include <absl/strings/numbers.h>

#include "CallerLocation.h"
#include "CallerResponse.h"
#include "HttpHeaders.h"

namespace Currantfall::Daemon {

namespace {

using Common::Answer;
using Common::Reason;

// A graceful shutdown waits for idle connections, so that this bounds its time.
constexpr int keepAliveIdleSeconds = 5;
// Greatest body limit that a document may set, and room for it on the wire.
constexpr std::size_t greatestBody = std::size_t { 16 } * 1024 * 1024;
// The steering thread answers at the deadline; the caller's thread waits longer only in case that
// it is late.
constexpr absl::Duration completionGrace = absl::Milliseconds(500);

/// "/service/rest?query" as the service and "/rest?query".
struct Target
{
    Common::ServiceName service;
    std::string path; ///< Without the query.
    std::string pathWithQuery;
};

Target parseTarget(const std::string &target)
{
    const std::size_t end = std::min(target.find_first_of("/?", 1), target.size());
    Target result;
    result.service = Common::ServiceName(target.substr(std::min<std::size_t>(1, end), end - 1));
    result.pathWithQuery = target.substr(end);
    if (result.pathWithQuery.empty() || result.pathWithQuery.front() != '/') {
        result.pathWithQuery.insert(0, "/");
    }
    result.path = result.pathWithQuery.substr(0, result.pathWithQuery.find('?'));
    return result;
}

/// Reads the body if it is within `limit`. Otherwise reads and drops it, so that the connection can
/// be used for further requests.
bool readBody(const httplib::ContentReader *reader, std::size_t limit, std::string &body)
{
    if (reader == nullptr) {
        return true;
    }
    bool within = true;
    (*reader)([&](const char *data, std::size_t size) {
        within = within && body.size() + size <= limit;
        if (within) {
            body.append(data, size);
        }
        return true;
    });
    return within;
}

void dropBody(const httplib::ContentReader *reader)
{
    if (reader != nullptr) {
        (*reader)([](const char *, std::size_t) { return true; });
    }
}

absl::Duration requestTimeout(const httplib::Request &in, absl::Duration serviceDeadline)
{
    std::uint32_t milliseconds = 0;
    const std::string header = in.get_header_value("Currantfall-Deadline-Ms");
    if (header.empty() || !absl::SimpleAtoi(header, &milliseconds)) {
        return serviceDeadline;
    }
    return std::min(serviceDeadline, absl::Milliseconds(milliseconds));
}

/// Bytes to reserve for the body: its declared length, or the service's limit if it has none.
std::size_t declaredLength(const httplib::Request &in, const httplib::ContentReader *reader,
                           std::size_t bodyLimit)
{
    if (reader == nullptr) {
        return 0;
    }
    std::uint64_t length = 0;
    if (absl::SimpleAtoi(in.get_header_value("Content-Length"), &length)) {
        return length;
    }
    return in.has_header("Transfer-Encoding") ? bodyLimit : 0;
}

/// A refusal by this VM alone. It proves nothing about a request with a key, since another copy of
/// it may have run: only the key's issuer or deputy may say `not-run` then.
Answer refuseHere(const httplib::Request &in, Reason reason, const std::string &message,
                  absl::Duration retryAfter)
{
    if (!in.has_header("Idempotency-Key")) {
        return Common::notRun(reason, message, retryAfter);
    }
    Answer answer = Common::outcomeUnknown(reason, message + "; repeat the request with its key");
    answer.retryAfter = retryAfter;
    return answer;
}

} // namespace

Common::Result<std::unique_ptr<CallerServer>>
CallerServer::start(Settings settings, const Published<RoutingSnapshot> &routing, EntryGate &gate,
                    Submit submit)
{
    auto created = std::unique_ptr<CallerServer>(
            new CallerServer(std::move(settings), routing, gate, std::move(submit)));
    created->installHandlers();
    const Settings &used = created->settings;
    const auto started = created->listener.start(used.address, used.port, "listen for callers");
    if (!started) {
        return tl::unexpected(started.error());
    }
    return created;
}

CallerServer::CallerServer(Settings settings, const Published<RoutingSnapshot> &routing,
                           EntryGate &gate, Submit submit)
    : settings(std::move(settings)), routing(routing), gate(gate), submit(std::move(submit)),
      log(Common::Log::forComponent("caller")),
      listener(this->settings.connections, keepAliveIdleSeconds)
{ }

void CallerServer::installHandlers()
{
    httplib::Server &server = this->listener.routes();
    server.set_payload_max_length(greatestBody);
    const auto withBody
            = [this](const httplib::Request &in, httplib::Response &out,
                     const httplib::ContentReader &reader) { this->serve(in, &reader, out); };
    const auto withoutBody = [this](const httplib::Request &in, httplib::Response &out) {
        this->serve(in, nullptr, out);
    };
    server.Get(".*", withoutBody);
    server.Options(".*", withoutBody);
    server.Post(".*", withBody);
    server.Put(".*", withBody);
    server.Patch(".*", withBody);
    server.Delete(".*", withBody);
    // Failures that the HTTP library finds itself, before a handler runs.
    server.set_error_handler([this](const httplib::Request &, httplib::Response &out) {
        if (out.has_header(outcomeHeader)) {
            return;
        }
        const bool tooLarge = out.status == statusPayloadTooLarge;
        const Reason reason = tooLarge ? Reason::BodyTooLarge : Reason::NoRoute;
        const int status = out.status;
        writeAnswer(Common::notRun(reason, "the request is malformed or over a limit"),
                    this->nextRequestId(), out);
        out.status = status;
    });
}

void CallerServer::serve(const httplib::Request &in, const httplib::ContentReader *reader,
                         httplib::Response &out)
{
    const std::string requestId = this->nextRequestId();
    const Answer answer = this->process(in, reader, requestId);
    if (answer.outcome != Common::Outcome::Answered) {
        this->log.debug(answer.message, in.remote_addr, requestId);
    }
    writeAnswer(answer, requestId, out);
}

Answer CallerServer::process(const httplib::Request &in, const httplib::ContentReader *reader,
                             const std::string &requestId)
{
    const Common::Instant arrival = Common::monotonicNow();
    const auto snapshot = this->routing.read();
    if (snapshot->environment == nullptr) {
        dropBody(reader);
        return refuseHere(in, Reason::NoConfiguration, "no environment document is in force yet",
                          absl::Seconds(1));
    }
    const Target target = parseTarget(in.target);
    const Configuration::Service *service = snapshot->environment->findService(target.service);
    const Configuration::Route *route
            = service == nullptr ? nullptr : service->findRoute(in.method, target.path);
    if (route == nullptr) {
        dropBody(reader);
        return Common::notRun(Reason::NoRoute, "no service has this path and method");
    }
    if (service->rank != this->settings.rank) {
        dropBody(reader);
        return Common::notRun(Reason::NoRoute,
                              "the service has another rank; use the port of its look-up");
    }
    const std::size_t length = declaredLength(in, reader, service->bodyLimit);
    if (length > service->bodyLimit) {
        dropBody(reader);
        return Common::notRun(Reason::BodyTooLarge,
                              "the body limit is " + std::to_string(service->bodyLimit) + " bytes");
    }
    const Common::TenantName tenant = tenantOf(in, *snapshot->environment);
    const auto permit = this->gate.tryEnter(service->rank, { tenant, service->name }, length);
    if (!permit) {
        dropBody(reader);
        return refuseHere(in, permit.error().reason, "this VM holds too many requests",
                          permit.error().retryAfter);
    }
    auto request = std::make_shared<Request>();
    if (!readBody(reader, service->bodyLimit, request->body)) {
        return Common::notRun(Reason::BodyTooLarge,
                              "the body limit is " + std::to_string(service->bodyLimit) + " bytes");
    }
    const absl::Duration timeout = requestTimeout(in, service->deadline);
    request->id = requestId;
    request->service = service->name;
    request->rank = service->rank;
    request->tenant = tenant;
    request->method = in.method;
    request->path = target.pathWithQuery;
    request->headers = endToEndHeaders(in.headers);
    request->key = in.get_header_value("Idempotency-Key");
    request->callerRegion
            = regionOfCaller(*snapshot->environment, snapshot->clientBlocks.get(), in.remote_addr);
    request->idempotent = route->idempotent;
    request->deadline = arrival + timeout;
    auto completion = std::make_shared<Completion>();
    if (!this->submit(std::move(request), completion)) {
        return refuseHere(in, Reason::Overloaded, "the steering queue is full", absl::Seconds(1));
    }
    return completion->await(timeout + completionGrace);
}

std::string CallerServer::nextRequestId()
{
    return this->settings.vm + "-" + std::to_string(this->settings.rank) + "-"
           + std::to_string(++this->lastRequest);
}

} // namespace Currantfall::Daemon
