#include "currantfall/Platform/HostPort.h"

#include <arpa/inet.h>

#include <absl/strings/numbers.h>

namespace Currantfall::Platform {

Common::Result<HostPort> HostPort::parse(const std::string &text)
{
    const std::size_t colon = text.rfind(':');
    const std::string host = text.substr(0, colon);
    const std::string port = colon == std::string::npos ? "" : text.substr(colon + 1);
    in_addr address {};
    int number = 0;
    const bool digitsOnly = port.find_first_not_of("0123456789") == std::string::npos;
    if (inet_pton(AF_INET, host.c_str(), &address) != 1 || !digitsOnly
        || !absl::SimpleAtoi(port, &number) || number < 1 || number > 65535) {
        return Common::failure(Common::ErrorCode::InvalidInput, "parse address", {},
                               "expected IP:PORT, found '" + text + "'");
    }
    return HostPort { host, number };
}

std::string HostPort::toString() const
{
    return this->host + ":" + std::to_string(this->port);
}

} // namespace Currantfall::Platform
