#include "currantfall/Configuration/Ipv4Network.h"

#include <charconv>

#include <absl/strings/str_cat.h>

namespace Currantfall::Configuration {

namespace {

constexpr unsigned addressBits = 32;
constexpr unsigned octetBits = 8;

// Reads a decimal number without leading zeros that spans the whole text.
std::optional<unsigned> parseNumber(const std::string &text, unsigned greatest)
{
    if (text.empty() || (text.size() > 1 && text.front() == '0')) {
        return std::nullopt;
    }
    unsigned value = 0;
    const char *const end = text.data() + text.size();
    const auto result = std::from_chars(text.data(), end, value);
    if (result.ec != std::errc() || result.ptr != end || value > greatest) {
        return std::nullopt;
    }
    return value;
}

std::uint32_t hostMask(unsigned prefixLength)
{
    return prefixLength == 0 ? UINT32_MAX : (UINT32_MAX >> (prefixLength - 1)) >> 1;
}

} // namespace

std::optional<std::uint32_t> parseIpv4Address(const std::string &text)
{
    std::uint32_t address = 0;
    std::size_t start = 0;
    for (int octet = 0; octet < 4; ++octet) {
        const std::size_t end = octet < 3 ? text.find('.', start) : text.size();
        if (end == std::string::npos || end < start) {
            return std::nullopt;
        }
        const auto value = parseNumber(text.substr(start, end - start), UINT8_MAX);
        if (!value) {
            return std::nullopt;
        }
        address = (address << octetBits) | *value;
        start = end + 1;
    }
    return address;
}

namespace {

struct AddressAndNumber
{
    std::uint32_t address;
    unsigned number;
};

/// Splits `text` at the first `separator`; the number after it is at most `greatest`.
std::optional<AddressAndNumber> parseAddressAndNumber(const std::string &text, char separator,
                                                      unsigned greatest)
{
    const std::size_t position = text.find(separator);
    if (position == std::string::npos) {
        return std::nullopt;
    }
    const auto address = parseIpv4Address(text.substr(0, position));
    const auto number = parseNumber(text.substr(position + 1), greatest);
    if (!address || !number) {
        return std::nullopt;
    }
    return AddressAndNumber { *address, *number };
}

} // namespace

Common::Result<Ipv4Endpoint> Ipv4Endpoint::parse(const std::string &text)
{
    const auto parts = parseAddressAndNumber(text, ':', UINT16_MAX);
    if (!parts || parts->number == 0) {
        return Common::failure(Common::ErrorCode::InvalidInput, "parse endpoint", {}, text);
    }
    return Ipv4Endpoint { parts->address, static_cast<std::uint16_t>(parts->number) };
}

Common::Result<Ipv4Network> Ipv4Network::parse(const std::string &text)
{
    const auto parts = parseAddressAndNumber(text, '/', addressBits);
    if (!parts || (parts->address & hostMask(parts->number)) != 0) {
        return Common::failure(Common::ErrorCode::InvalidInput, "parse network", {}, text);
    }
    return Ipv4Network { parts->address, static_cast<std::uint8_t>(parts->number) };
}

std::uint32_t Ipv4Network::lastAddress() const
{
    return this->address | hostMask(this->prefixLength);
}

bool Ipv4Network::contains(std::uint32_t other) const
{
    return other >= this->address && other <= this->lastAddress();
}

std::string Ipv4Network::toString() const
{
    const std::uint32_t value = this->address;
    return absl::StrCat(value >> 24U, ".", (value >> 16U) & 0xffU, ".", (value >> 8U) & 0xffU, ".",
                        value & 0xffU, "/", static_cast<unsigned>(this->prefixLength));
}

} // namespace Currantfall::Configuration
