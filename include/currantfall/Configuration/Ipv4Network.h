#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>

#include "currantfall/Common/Error.h"

namespace Currantfall::Configuration {

/// An IPv4 address in host byte order. Only the dotted form with four decimal numbers is accepted.
std::optional<std::uint32_t> parseIpv4Address(const std::string &text);

/// An IPv4 address and port such as "127.11.1.1:9000".
struct Ipv4Endpoint
{
    std::uint32_t address = 0; ///< Host byte order.
    std::uint16_t port = 0;

    static Common::Result<Ipv4Endpoint> parse(const std::string &text);

    // NOLINTNEXTLINE(modernize-use-nullptr): see Common::Name.
    friend auto operator<=>(const Ipv4Endpoint &left, const Ipv4Endpoint &right) = default;
};

/// An IPv4 network in CIDR notation. Bits behind the prefix are zero.
struct Ipv4Network
{
    std::uint32_t address = 0; ///< Host byte order.
    std::uint8_t prefixLength = 0;

    /// Fails if the syntax is wrong or a bit behind the prefix is set.
    static Common::Result<Ipv4Network> parse(const std::string &text);

    std::uint32_t lastAddress() const;
    bool contains(std::uint32_t other) const;
    std::string toString() const;

    // NOLINTNEXTLINE(modernize-use-nullptr): see Common::Name.
    friend auto operator<=>(const Ipv4Network &left, const Ipv4Network &right) = default;
};

} // namespace Currantfall::Configuration
