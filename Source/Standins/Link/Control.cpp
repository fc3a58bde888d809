#include "Control.h"

#include <algorithm>
#include <limits>
#include <optional>
#include <utility>

#include <absl/time/clock.h>
#include <nlohmann/json.hpp>

namespace Currantfall::Standins {

namespace {

using Common::ErrorCode;
using nlohmann::json;

/// Settings of a request; absent ones stay as they are.
struct Change
{
    std::optional<std::string> listen;
    std::optional<absl::Duration> delay;
    std::optional<bool> cut;
    std::optional<bool> freezeToTarget;
    std::optional<bool> freezeToCaller;
    bool reset = false;
    std::optional<double> bytesPerSecond;
};

tl::unexpected<Common::Error> invalid(std::string detail)
{
    return Common::failure(ErrorCode::InvalidInput, "parse control request", {}, std::move(detail));
}

Common::Result<void> setField(Change &change, const std::string &name, const json &value)
{
    const bool amount = value.is_number() && value.get<double>() >= 0;
    if (name == "listen" && value.is_string()) {
        change.listen = value.get<std::string>();
    } else if (name == "delay_ms" && amount) {
        change.delay = absl::Milliseconds(value.get<double>());
    } else if (name == "cut" && value.is_boolean()) {
        change.cut = value.get<bool>();
    } else if (name == "freeze" && value.is_boolean()) {
        change.freezeToTarget = value.get<bool>();
        change.freezeToCaller = value.get<bool>();
    } else if (name == "freeze_to_target" && value.is_boolean()) {
        change.freezeToTarget = value.get<bool>();
    } else if (name == "freeze_to_caller" && value.is_boolean()) {
        change.freezeToCaller = value.get<bool>();
    } else if (name == "reset" && value.is_boolean()) {
        change.reset = value.get<bool>();
    } else if (name == "bytes_per_second" && amount) {
        const double limit = value.get<double>();
        change.bytesPerSecond = limit > 0 ? limit : std::numeric_limits<double>::infinity();
    } else {
        return invalid("unknown or invalid field '" + name + "'");
    }
    return {};
}

Common::Result<Change> parseChange(const std::string &body)
{
    const json document = json::parse(body, nullptr, false);
    if (!document.is_object()) {
        return invalid("the body is no JSON object");
    }
    Change change;
    for (const auto &[name, value] : document.items()) {
        const Common::Result<void> set = setField(change, name, value);
        if (!set) {
            return tl::unexpected(set.error());
        }
    }
    return change;
}

void apply(const Change &change, LinkSettings &settings)
{
    settings.delay = change.delay.value_or(settings.delay);
    settings.cut = change.cut.value_or(settings.cut);
    settings.freeze[0] = change.freezeToTarget.value_or(settings.freeze[0]);
    settings.freeze[1] = change.freezeToCaller.value_or(settings.freeze[1]);
    settings.resets += change.reset ? 1 : 0;
    settings.bytesPerSecond = change.bytesPerSecond.value_or(settings.bytesPerSecond);
}

std::string describe(const Relay &relay)
{
    const std::vector<std::string> names = relay.listening();
    const std::vector<LinkSettings> settings = relay.settings();
    json links = json::array();
    for (std::size_t index = 0; index < names.size(); ++index) {
        const LinkSettings &link = settings[index];
        const bool limited = link.bytesPerSecond < std::numeric_limits<double>::infinity();
        links.push_back({ { "listen", names[index] },
                          { "delay_ms", absl::ToDoubleMilliseconds(link.delay) },
                          { "cut", link.cut },
                          { "freeze_to_target", link.freeze[0] },
                          { "freeze_to_caller", link.freeze[1] },
                          { "bytes_per_second", limited ? link.bytesPerSecond : 0.0 } });
    }
    return json { { "links", links } }.dump();
}

void respondError(httplib::Response &response, const std::string &message)
{
    response.status = 400;
    response.set_content(json { { "error", message } }.dump(), "application/json");
}

} // namespace

Common::Result<std::unique_ptr<Control>> Control::start(Relay &relay, const Endpoint &address)
{
    std::unique_ptr<Control> control(new Control(relay));
    const int port
            = address.port == 0
                      ? control->server.bind_to_any_port(address.address)
                      : (control->server.bind_to_port(address.address, address.port) ? address.port
                                                                                     : -1);
    if (port <= 0) {
        return Common::failure(ErrorCode::Unavailable, "bind control port", toString(address));
    }
    control->boundPort = static_cast<std::uint16_t>(port);
    httplib::Server &server = control->server;
    control->thread = std::thread([&server] { server.listen_after_bind(); });
    // stop() has no effect on a server that has not started to listen.
    while (!server.is_running()) {
        absl::SleepFor(absl::Milliseconds(1));
    }
    return control;
}

Control::Control(Relay &relay) : relay(relay)
{
    // The defaults close a connection after 5 requests and delay small responses.
    this->server.set_keep_alive_max_count(std::numeric_limits<std::size_t>::max());
    this->server.set_tcp_nodelay(true);
    this->addRoutes();
}

Control::~Control()
{
    if (this->thread.joinable()) {
        this->server.stop();
        this->thread.join();
    }
}

void Control::addRoutes()
{
    this->server.Get("/_control", [this](const httplib::Request &, httplib::Response &response) {
        response.set_content(describe(this->relay), "application/json");
    });
    this->server.Post("/_control", [this](const httplib::Request &request,
                                          httplib::Response &response) {
        const Common::Result<Change> change = parseChange(request.body);
        if (!change) {
            respondError(response, change.error().toString());
            return;
        }
        const std::vector<std::string> names = this->relay.listening();
        if (change->listen
            && std::find(names.begin(), names.end(), *change->listen) == names.end()) {
            respondError(response, "no link listens on " + *change->listen);
            return;
        }
        this->relay.update(
                [&](const std::string &name) { return change->listen.value_or(name) == name; },
                [&](LinkSettings &settings) { apply(*change, settings); });
        response.set_content(describe(this->relay), "application/json");
    });
}

} // namespace Currantfall::Standins
