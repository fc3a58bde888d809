#include "AdminService.h"

#include <utility>

#include <nlohmann/json.hpp>

namespace Currantfall::Daemon {

namespace {

constexpr std::size_t mostConnections = 16;
constexpr absl::Duration statusTimeout = absl::Seconds(1);
constexpr int keepAliveIdleSeconds = 2;
constexpr int statusUnavailable = 503;
constexpr const char *jsonType = "application/json";

} // namespace

Common::Result<std::unique_ptr<AdminService>>
AdminService::start(const std::string &address, std::uint16_t port,
                    Telemetry::MetricsRegistry &metrics, QueryStatus queryStatus)
{
    auto created = std::unique_ptr<AdminService>(new AdminService(metrics, std::move(queryStatus)));
    created->installHandlers();
    const auto started = created->listener.start(address, port, "listen for administration");
    if (!started) {
        return tl::unexpected(started.error());
    }
    return created;
}

AdminService::AdminService(Telemetry::MetricsRegistry &metrics, QueryStatus queryStatus)
    : metrics(metrics), queryStatus(std::move(queryStatus)),
      listener(mostConnections, keepAliveIdleSeconds)
{ }

void AdminService::installHandlers()
{
    httplib::Server &server = this->listener.routes();
    server.Get("/metrics", [this](const httplib::Request &, httplib::Response &out) {
        out.set_content(this->metrics.toPrometheus(), "text/plain; version=0.0.4");
    });
    server.Get("/status", [this](const httplib::Request &, httplib::Response &out) {
        const auto document = this->status();
        out.status = document ? out.status : statusUnavailable;
        out.set_content(document.value_or("{\"error\":\"the steering thread is busy\"}\n"),
                        jsonType);
    });
    server.Get("/healthz", [this](const httplib::Request &, httplib::Response &out) {
        const auto document = this->status();
        const auto parsed = document ? nlohmann::json::parse(*document) : nlohmann::json::object();
        const bool ready = parsed.value("revision", 0) > 0 && parsed.value("state", "") == "live";
        if (!ready) {
            out.status = statusUnavailable;
        }
        const nlohmann::ordered_json body = { { "ready", ready },
                                              { "state", parsed.value("state", "unknown") },
                                              { "revision", parsed.value("revision", 0) } };
        out.set_content(body.dump() + "\n", jsonType);
    });
}

std::optional<std::string> AdminService::status()
{
    auto reply = std::make_shared<Completion>();
    if (!this->queryStatus(reply)) {
        return std::nullopt;
    }
    Common::Answer answer = reply->await(statusTimeout);
    if (answer.outcome != Common::Outcome::Answered) {
        return std::nullopt;
    }
    return std::move(answer.body);
}

} // namespace Currantfall::Daemon
