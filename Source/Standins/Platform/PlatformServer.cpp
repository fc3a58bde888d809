#include "PlatformServer.h"

#include <optional>
#include <sys/socket.h>
#include <utility>

#include <absl/strings/numbers.h>
#include <nlohmann/json.hpp>

#include "currantfall/Common/Time.h"

#include "ConnectionDrop.h"

namespace Currantfall::Standins {

namespace {

using nlohmann::json;

constexpr const char *jsonType = "application/json";

void refuse(httplib::Response &response, int status, const std::string &message)
{
    response.status = status;
    response.set_content(json { { "error", message } }.dump(), jsonType);
}

void setVersion(httplib::Response &response, std::uint64_t version)
{
    response.set_header("ETag", "\"" + std::to_string(version) + "\"");
}

/// The version that the row must have; an inner nullopt means that the row must be absent, an outer
/// one that the request has no valid condition.
std::optional<std::optional<std::uint64_t>> condition(const httplib::Request &request)
{
    const bool match = request.has_header("If-Match");
    const bool absent = request.has_header("If-None-Match");
    if (match == absent) {
        return std::nullopt;
    }
    if (absent) {
        const bool any = request.get_header_value("If-None-Match") == "*";
        return any ? std::optional(std::optional<std::uint64_t>()) : std::nullopt;
    }
    const std::string tag = request.get_header_value("If-Match");
    std::uint64_t version = 0;
    const bool quoted = tag.size() > 2 && tag.front() == '"' && tag.back() == '"';
    if (!quoted || !absl::SimpleAtoi(tag.substr(1, tag.size() - 2), &version)) {
        return std::nullopt;
    }
    return std::optional(version);
}

} // namespace

void PlatformServer::Listener::extendBacklog()
{
    // The library listens with a backlog of 5; the kernel drops further connections for a second.
    constexpr int backlog = 1024;
    ::listen(this->svr_sock_, backlog);
}

PlatformServer::PlatformServer(PlatformServerSettings settings)
    : settings(std::move(settings)), reads(this->settings.readsPerSecond),
      writes(this->settings.writesPerSecond)
{
    this->server.new_task_queue = [threads = this->settings.threads] {
        return new httplib::ThreadPool(threads); // The server deletes it.
    };
    this->server.set_tcp_nodelay(true);
    this->server.set_keep_alive_max_count(1'000'000);
    // Daemons that poll every 30 s keep their connection.
    this->server.set_keep_alive_timeout(60);
    this->server.set_payload_max_length(64UL << 20U);
    // The library's default shares the port with a second process without an error.
    this->server.set_socket_options([](socket_t socket) {
        const int on = 1;
        setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    });
    this->addRoutes();
    this->addControlRoutes();
}

Common::Result<int> PlatformServer::bind()
{
    int port = this->settings.port;
    if (port == 0) {
        port = this->server.bind_to_any_port(this->settings.address);
    } else if (!this->server.bind_to_port(this->settings.address, port)) {
        port = -1;
    }
    if (port < 0) {
        return Common::failure(Common::ErrorCode::Unavailable, "listen",
                               this->settings.address + ":" + std::to_string(this->settings.port));
    }
    this->server.extendBacklog();
    return port;
}

void PlatformServer::run()
{
    this->server.listen_after_bind();
}

void PlatformServer::stop()
{
    {
        const std::lock_guard lock(this->mutex);
        this->stopping = true;
    }
    this->stopped.notify_all();
    this->server.stop();
    dropAllConnections();
}

void PlatformServer::addRoutes()
{
    const std::string row = R"(/tables/([^/]+)/rows/([^/]+))";
    const std::string object = R"(/objects/([^/]+))";
    using Request = httplib::Request;
    using Response = httplib::Response;
    this->server.Get(row, this->guarded(Access::Read, "row_reads",
                                        [this](const Request &request, Response &response) {
                                            this->readRow(request, response);
                                        }));
    this->server.Put(row, this->guarded(Access::Write, "row_writes",
                                        [this](const Request &request, Response &response) {
                                            this->writeRow(request, response);
                                        }));
    this->server.Get(object, this->guarded(Access::Read, "object_reads",
                                           [this](const Request &request, Response &response) {
                                               this->readObject(request, response);
                                           }));
    this->server.Put(object, this->guarded(Access::Write, "object_writes",
                                           [this](const Request &request, Response &response) {
                                               this->writeObject(request, response);
                                           }));
    this->server.Get("/vms", this->guarded(Access::Read, "vm_list_reads",
                                           [this](const Request &request, Response &response) {
                                               const json list = this->directory.listing(
                                                       Common::monotonicNow(),
                                                       this->faults.current().vmListLag,
                                                       request.get_header_value("Host"));
                                               response.set_content(list.dump(), jsonType);
                                           }));
}

void PlatformServer::addControlRoutes()
{
    using Request = httplib::Request;
    using Response = httplib::Response;
    this->server.Post("/_faults", [this](const Request &request, Response &response) {
        this->editFaults(request, response);
    });
    this->server.Get("/_faults", [this](const Request &, Response &response) {
        response.set_content(this->faults.current().toJson().dump(), jsonType);
    });
    this->server.Put(R"(/_vms/([^/]+))", [this](const Request &request, Response &response) {
        this->putVm(request, response);
    });
    this->server.Delete(R"(/_vms/([^/]+))", [this](const Request &request, Response &response) {
        const bool removed
                = this->directory.remove(request.matches[1].str(), Common::monotonicNow());
        response.status = removed ? 204 : 404;
    });
    this->server.Get("/_stats", [this](const Request &, Response &response) {
        this->showStatistics(response);
    });
}

httplib::Server::Handler PlatformServer::guarded(Access access, const std::string &counter,
                                                 Handler handler)
{
    return [this, access, counter, handler = std::move(handler)](const httplib::Request &request,
                                                                 httplib::Response &response) {
        if (!this->answersNormally(access, request, response)) {
            return;
        }
        this->count(access == Access::Read ? "reads" : "writes");
        this->count(counter);
        handler(request, response);
    };
}

bool PlatformServer::answersNormally(Access access, const httplib::Request &request,
                                     httplib::Response &response)
{
    this->delay();
    switch (this->faults.current().outage) {
    case Outage::None:
        break;
    case Outage::Close:
        this->drop(request);
        return false;
    case Outage::ServiceUnavailable:
        this->count("unavailable");
        refuse(response, 503, "outage");
        return false;
    }
    RateLimit &limit = access == Access::Read ? this->reads : this->writes;
    if (!limit.allow(Common::monotonicNow())) {
        this->count("limited");
        response.set_header("Retry-After", "1");
        refuse(response, 429, "rate limit");
        return false;
    }
    return true;
}

void PlatformServer::delay()
{
    const auto duration = absl::ToChronoMilliseconds(this->faults.current().delay);
    std::unique_lock lock(this->mutex);
    this->stopped.wait_for(lock, duration, [this] { return this->stopping; });
}

void PlatformServer::drop(const httplib::Request &request)
{
    this->count("dropped");
    dropConnection(request.remote_addr, request.remote_port);
}

void PlatformServer::count(const std::string &counter)
{
    const std::lock_guard lock(this->mutex);
    ++this->counters[counter];
}

void PlatformServer::readRow(const httplib::Request &request, httplib::Response &response)
{
    const auto row = this->store.readRow(request.matches[1].str(), request.matches[2].str());
    if (!row) {
        refuse(response, 404, "no such row");
        return;
    }
    setVersion(response, row->version);
    response.set_content(row->value, jsonType);
}

void PlatformServer::writeRow(const httplib::Request &request, httplib::Response &response)
{
    const auto expected = condition(request);
    if (!expected) {
        refuse(response, 428, "expected If-Match: \"N\" or If-None-Match: *");
        return;
    }
    if (!json::accept(request.body)) {
        refuse(response, 400, "expected a JSON value");
        return;
    }
    const auto version = this->store.writeRow(request.matches[1].str(), request.matches[2].str(),
                                              request.body, *expected);
    if (!version) {
        refuse(response, 412, "the row has another version");
        return;
    }
    if (this->faults.takeLostAnswer()) {
        this->drop(request);
        return;
    }
    setVersion(response, *version);
    response.status = *expected ? 200 : 201;
}

void PlatformServer::readObject(const httplib::Request &request, httplib::Response &response)
{
    const auto bytes = this->store.readObject(request.matches[1].str());
    if (!bytes) {
        refuse(response, 404, "no such object");
        return;
    }
    response.set_content(*bytes, "application/octet-stream");
}

void PlatformServer::writeObject(const httplib::Request &request, httplib::Response &response)
{
    switch (this->store.writeObject(request.matches[1].str(), request.body)) {
    case ObjectWrite::Created:
        response.status = 201;
        return;
    case ObjectWrite::Same:
        response.status = 200;
        return;
    case ObjectWrite::Different:
        refuse(response, 409, "the object exists with other bytes");
        return;
    }
}

void PlatformServer::editFaults(const httplib::Request &request, httplib::Response &response)
{
    const auto applied = this->faults.apply(json::parse(request.body, nullptr, false));
    if (!applied) {
        refuse(response, 400, applied.error().detail());
        return;
    }
    response.set_content(applied->toJson().dump(), jsonType);
}

void PlatformServer::putVm(const httplib::Request &request, httplib::Response &response)
{
    const auto stored = this->directory.put(request.matches[1].str(),
                                            json::parse(request.body, nullptr, false),
                                            Common::monotonicNow());
    if (!stored) {
        refuse(response, 400, stored.error().detail());
        return;
    }
    response.status = 204;
}

void PlatformServer::showStatistics(httplib::Response &response)
{
    json statistics = json::object();
    for (const char *counter :
         { "reads", "writes", "row_reads", "row_writes", "object_reads", "object_writes",
           "vm_list_reads", "dropped", "unavailable", "limited" }) {
        const std::lock_guard lock(this->mutex);
        statistics[counter] = this->counters[counter];
    }
    response.set_content(statistics.dump(), jsonType);
}

} // namespace Currantfall::Standins
