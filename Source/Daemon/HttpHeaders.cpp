#include "HttpHeaders.h"

#include <algorithm>
#include <array>

#include <absl/strings/match.h>

namespace Currantfall::Daemon {

namespace {

constexpr std::array notForwarded = {
    "connection",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "content-length",
    "host",
    "expect",
    "idempotency-key",
    "remote_addr",
    "remote_port",
    "local_addr",
    "local_port",
    "currantfall-attempt",
    "currantfall-deadline-ms",
    "currantfall-outcome",
    "currantfall-started-ms",
};

} // namespace

std::vector<Common::Header> endToEndHeaders(const httplib::Headers &headers)
{
    std::vector<Common::Header> result;
    for (const auto &header : headers) {
        const std::string &name = header.first;
        const bool dropped
                = std::any_of(notForwarded.begin(), notForwarded.end(), [&name](const char *other) {
                      return absl::EqualsIgnoreCase(name, other);
                  });
        if (!dropped) {
            result.push_back({ name, header.second });
        }
    }
    return result;
}

} // namespace Currantfall::Daemon
