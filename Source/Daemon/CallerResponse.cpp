#include "CallerResponse.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include <absl/strings/match.h>
#include <nlohmann/json.hpp>

namespace Currantfall::Daemon {

namespace {

using Common::Outcome;
using Common::Reason;

constexpr int statusBadRequest = 400;
constexpr int statusNotFound = 404;
constexpr int statusUnavailable = 503;
constexpr int statusGatewayTimeout = 504;

std::string contentTypeOf(const std::vector<Common::Header> &headers)
{
    const auto found = std::find_if(headers.begin(), headers.end(), [](const auto &header) {
        return absl::EqualsIgnoreCase(header.name, "Content-Type");
    });
    return found == headers.end() ? "application/octet-stream" : found->value;
}

std::string describe(const Common::Answer &answer)
{
    const nlohmann::ordered_json body = {
        { "outcome", toString(answer.outcome) },
        { "reason", toString(answer.reason) },
        { "message", answer.message },
        { "retry_after_ms", absl::ToInt64Milliseconds(answer.retryAfter) },
    };
    return body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) + "\n";
}

} // namespace

int statusOf(const Common::Answer &answer)
{
    if (answer.outcome == Outcome::Answered) {
        return answer.status;
    }
    if (answer.outcome == Outcome::OutcomeUnknown) {
        return statusGatewayTimeout;
    }
    switch (answer.reason) {
    case Reason::NoRoute:
        return statusNotFound;
    case Reason::BodyTooLarge:
        return statusPayloadTooLarge;
    case Reason::BadKey:
        return statusBadRequest;
    default:
        return statusUnavailable;
    }
}

void writeAnswer(const Common::Answer &answer, const std::string &requestId, httplib::Response &out)
{
    out.status = statusOf(answer);
    out.set_header(outcomeHeader, toString(answer.outcome));
    out.set_header("Currantfall-Attempt", requestId);
    if (answer.outcome != Outcome::Answered) {
        if (answer.retryAfter > absl::ZeroDuration()) {
            const double seconds = absl::ToDoubleSeconds(answer.retryAfter);
            out.set_header("Retry-After", std::to_string(static_cast<int>(std::ceil(seconds))));
        }
        out.set_content(describe(answer), "application/json");
        return;
    }
    for (const Common::Header &header : answer.headers) {
        if (!absl::EqualsIgnoreCase(header.name, "Content-Type")) {
            out.headers.emplace(header.name, header.value);
        }
    }
    out.set_content(answer.body, contentTypeOf(answer.headers));
}

Common::TenantName tenantOf(const httplib::Request &in,
                            const Configuration::Environment &environment)
{
    Common::TenantName named(in.get_header_value("Currantfall-Tenant"));
    if (environment.findTenant(named) != nullptr) {
        return named;
    }
    return environment.tenants.empty() ? Common::TenantName() : environment.tenants.front().name;
}

} // namespace Currantfall::Daemon
