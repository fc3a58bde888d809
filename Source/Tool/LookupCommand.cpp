#include <algorithm>

#include "currantfall/Common/Json.h"

#include "Commands.h"
#include "Daemons.h"

namespace Currantfall::Tool {

namespace {

/// The entries of a lookup response, one line each; empty if the response is malformed.
std::optional<std::string> describe(const nlohmann::json &response)
{
    if (!response.is_object() || !response.contains("entries")) {
        return std::nullopt;
    }
    std::string text;
    try {
        for (const nlohmann::json &entry : response.at("entries")) {
            const auto port = Common::numberIn<std::uint16_t>(entry.at("port"), 1);
            if (!port) {
                return std::nullopt;
            }
            text += entry.at("vm").get<std::string>() + " " + entry.at("zone").get<std::string>()
                    + " " + entry.at("address").get<std::string>() + ":" + std::to_string(*port)
                    + "\n";
        }
    } catch (const nlohmann::json::exception &) {
        return std::nullopt;
    }
    return text.empty() ? "no entry VM\n" : text;
}

} // namespace

ExitCode lookup(const ToolSettings &settings, Output &output)
{
    if (auto fits = requireArguments(settings, 1, 1); !fits) {
        return output.invalid(fits.error());
    }
    const std::string &service = settings.arguments.front();
    if (!Common::isValidName(service)) {
        return output.invalid(Common::Error(make_error_code(Common::ErrorCode::InvalidInput),
                                            "read settings", {},
                                            "'" + service + "' is not a service name"));
    }
    if (settings.daemons.empty() && !settings.platform) {
        return output.invalid(settings.required(settings.platform, "platform").error());
    }
    auto daemons = findDaemons(settings);
    if (!daemons) {
        return output.fail(daemons.error());
    }
    Common::Error failure(make_error_code(Common::ErrorCode::Unavailable), "lookup " + service, {},
                          "no live VM is listed");
    const Common::Instant deadline = Common::monotonicNow() + settings.timeout;
    for (const Daemon &daemon : *daemons) {
        const absl::Duration remaining = deadline - Common::monotonicNow();
        if (!daemon.expectedLive() || remaining <= absl::ZeroDuration()) {
            continue;
        }
        const auto body = fetch(daemon.lookups(), "/v1/lookup?service=" + service,
                                std::min(remaining, settings.daemonTimeout()));
        if (!body) {
            failure = body.error();
            continue;
        }
        const auto response = Common::parseJson(*body);
        if (const auto text = describe(response)) {
            return output.show(*text, response);
        }
        failure = Common::Error(make_error_code(Common::ErrorCode::Refused), "lookup " + service,
                                daemon.lookups().toString(), "malformed answer");
    }
    return output.fail(failure);
}

} // namespace Currantfall::Tool
