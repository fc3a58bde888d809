#include "SoakServer.h"

#include <algorithm>
#include <functional>

namespace Currantfall::Tests {

namespace {

constexpr std::uint32_t slots = 8;
// Of this many requests, one is treated as usual during a fault.
constexpr unsigned usualEvery = 3;
constexpr int hangMs = 20'000;
constexpr std::size_t largestResponse = 24'000;
constexpr std::size_t largestRequest = 64'000;

std::string repeated(const std::string &text, std::size_t size)
{
    std::string result;
    while (result.size() < size) {
        result += text;
    }
    return result;
}

} // namespace

std::string requestBodyOf(const std::string &request)
{
    return repeated(request + ">", std::hash<std::string>()(request) % largestRequest);
}

std::string responseBodyOf(const std::string &request)
{
    return repeated(request + "<", std::hash<std::string>()(request) % largestResponse);
}

std::string sealOf(const std::string &request, const std::string &server)
{
    return server + "." + request;
}

SoakServer::SoakServer(ExecutionLedger &ledger, Identity identity, const std::string &address,
                       std::uint16_t port)
    : ledger(ledger), current(std::move(identity)), listenAddress(address),
      backend([this](ScriptedConnection &connection) { this->serve(connection); }, address, port)
{ }

SoakServer::Identity SoakServer::identity() const
{
    const std::lock_guard lock(this->mutex);
    return this->current;
}

void SoakServer::replace(Identity identity)
{
    const std::lock_guard lock(this->mutex);
    this->current = std::move(identity);
    this->leaving = false;
    this->refusesUntil = {};
}

void SoakServer::askForPause(std::chrono::milliseconds duration, std::chrono::milliseconds pause)
{
    const std::lock_guard lock(this->mutex);
    this->refusesUntil = SoakClock::now() + duration;
    this->pause = pause;
}

std::chrono::milliseconds SoakServer::pauseNow() const
{
    const std::lock_guard lock(this->mutex);
    return SoakClock::now() < this->refusesUntil ? this->pause : std::chrono::milliseconds(0);
}

std::string SoakServer::ownHeaders(const Identity &self) const
{
    return "Instance-Id: " + self.id + "\r\n" + (this->leaving ? "Server-Leaving: 1\r\n" : "");
}

nlohmann::json SoakServer::nextRow(const std::string &address, const std::string &state)
{
    const Identity self = this->identity();
    return { { "service", self.service }, { "address", address }, { "zone", self.zone },
             { "version", "v1" },         { "slots", slots },     { "state", state },
             { "cold_remaining_ms", 0 },  { "seq", ++this->rows } };
}

void SoakServer::serve(ScriptedConnection &connection)
{
    for (std::string header = connection.readHeader(); !header.empty();
         header = connection.readHeader()) {
        if (!this->answer(connection, header, this->identity())) {
            return;
        }
    }
}

bool SoakServer::answer(ScriptedConnection &connection, const std::string &header,
                        const Identity &self)
{
    const std::string instance = this->ownHeaders(self);
    const std::chrono::milliseconds pauseAsked = this->pauseNow();
    const std::string pauseHeader
            = "Retry-After: " + std::to_string(static_cast<double>(pauseAsked.count()) / 1000)
              + "\r\n";
    if (header.starts_with("GET /health ")) {
        const bool refuses = this->leaving || pauseAsked.count() > 0;
        connection.write(responseTo(header, refuses ? "503 Service Unavailable" : "200 OK",
                                    instance + (pauseAsked.count() > 0 ? pauseHeader : ""), ""));
        return true;
    }
    const ServerFault applied
            = ++this->requests % usualEvery == 0 ? ServerFault::None : this->fault.load();
    const bool early = applied == ServerFault::AnswersEarly;
    const std::string refusal
            = responseTo(header, "503 Service Unavailable", "Not-Executed: 1\r\n" + instance, "");
    if (early) {
        connection.write(refusal);
    }
    const auto body = connection.readBody(header);
    if (!body) {
        return false;
    }
    if (early) {
        return true;
    }
    const std::string request = header + *body;
    if (headerOf(request, "Expect-Instance") != self.id) {
        connection.write(responseTo(request, "421 Misdirected Request", instance, ""));
        return true;
    }
    this->ledger.arrive({ headerOf(header, "Request-Id"), self.id, this->listenAddress,
                          SoakClock::now(), pauseAsked });
    if (pauseAsked.count() > 0) {
        connection.write(responseTo(header, "503 Service Unavailable",
                                    "Not-Executed: 1\r\n" + instance + pauseHeader, ""));
        return true;
    }
    if (applied == ServerFault::Sheds) {
        connection.write(refusal);
        return true;
    }
    this->run(connection, request, self, applied);
    return applied == ServerFault::None || applied == ServerFault::Fails
           || applied == ServerFault::AnswersTwice;
}

void SoakServer::run(ScriptedConnection &connection, const std::string &request,
                     const Identity &self, ServerFault applied)
{
    const std::string id = headerOf(request, "Request-Id");
    this->ledger.start(id, self.service);
    this->checkUnchanged(request);
    if (connection.closedWithin(applied == ServerFault::Hangs ? hangMs : this->workMs.load())) {
        return;
    }
    const std::string seal = "Server-Seal: " + sealOf(id, self.id) + "\r\nServer-Load: 1,0,"
                             + std::to_string(slots) + "\r\n" + this->ownHeaders(self);
    const std::string body = responseBodyOf(id);
    const std::string whole = responseTo(request, "200 OK", seal, body);
    const std::string unframed = "HTTP/1.1 200 OK\r\nRequest-Id: " + id + "\r\n" + seal
                                 + "Connection: close\r\n\r\n" + body;
    switch (applied) {
    case ServerFault::Fails:
        connection.write(responseTo(request, "500 Internal Server Error", seal, "failed"));
        return;
    case ServerFault::LosesAnswer:
        connection.reset();
        return;
    case ServerFault::Truncates:
        connection.write(whole.substr(0, whole.size() - std::min<std::size_t>(whole.size(), 20)));
        return;
    case ServerFault::SpoilsAnswer:
        connection.write("no response\r\nat all\r\n\r\n");
        return;
    case ServerFault::AnswersTwice:
        connection.write(whole + whole);
        return;
    case ServerFault::OmitsLength:
        connection.write(unframed);
        return;
    case ServerFault::OmitsAndResets:
        connection.write(unframed.substr(0, unframed.size() - body.size() / 2));
        connection.reset();
        return;
    case ServerFault::Hangs:
        return;
    default:
        connection.write(whole);
    }
}

void SoakServer::checkUnchanged(const std::string &request)
{
    const std::string id = headerOf(request, "Request-Id");
    const std::string line = request.substr(0, request.find("\r\n"));
    const std::string body = request.substr(request.find("\r\n\r\n") + 4);
    const bool read = line.starts_with("GET ");
    const std::string path = "/" + headerOf(request, "X-Caller-Route") + "/" + id + "?own=" + id;
    if (line != (read ? "GET " : "POST ") + path + " HTTP/1.1"
        || body != (read ? "" : requestBodyOf(id))) {
        this->ledger.violation("changed on the way: " + id + " arrived as " + line + " with "
                               + std::to_string(body.size()) + " bytes");
    }
    const std::string left = headerOf(request, "Deadline-Ms");
    const std::string total = headerOf(request, "X-Caller-Deadline");
    if (left.empty() || std::stoi(left) > std::stoi(total)) {
        this->ledger.violation("longer deadline than the caller's: " + id + " " + left + " of "
                               + total);
    }
}

} // namespace Currantfall::Tests
