#include "currantfall/Execution/IdempotencyKey.h"

#include <algorithm>
#include <charconv>
#include <vector>

#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>

namespace Currantfall::Execution {

namespace {

constexpr std::size_t maxUniqueLength = 128;
constexpr std::size_t prefixParts = 6;
constexpr int hexBase = 16;
constexpr int decimalBase = 10;
const char *const formatVersion = "1";
const char *const noDeputy = "-";

tl::unexpected<Common::Error> invalid(std::string detail)
{
    return Common::failure(Common::ErrorCode::InvalidInput, "parse idempotency key", {},
                           std::move(detail));
}

/// Accepts only the canonical form: lower case, no sign, no leading zeros.
std::optional<std::uint64_t> parseNumber(const std::string &text, int base)
{
    std::uint64_t number = 0;
    const char *const end = text.data() + text.size();
    const auto [position, error] = std::from_chars(text.data(), end, number, base);
    if (error != std::errc() || position != end) {
        return std::nullopt;
    }
    const bool leadingZero = text.size() > 1 && text.front() == '0';
    const bool upperCase = std::any_of(text.begin(), text.end(), [](char character) {
        return character >= 'A' && character <= 'Z';
    });
    if (leadingZero || upperCase) {
        return std::nullopt;
    }
    return number;
}

std::optional<VmRun> parseRun(const std::string &vm, const std::string &incarnation)
{
    const std::optional<std::uint64_t> number = parseNumber(incarnation, hexBase);
    if (!Common::isValidName(vm) || !number || *number == 0) {
        return std::nullopt;
    }
    return VmRun { Common::VmName(vm), *number };
}

std::string formatRun(const VmRun &run)
{
    return run.vm.value() + "~" + absl::StrCat(absl::Hex(run.incarnation));
}

bool isVisibleAscii(char character)
{
    return character >= '!' && character <= '~';
}

bool isValidUnique(const std::string &unique)
{
    return !unique.empty() && unique.size() <= maxUniqueLength
           && std::all_of(unique.begin(), unique.end(), isVisibleAscii);
}

} // namespace

Common::Result<KeyPrefix> KeyPrefix::parse(const std::string &text)
{
    const std::vector<std::string> parts = absl::StrSplit(text, '~');
    if (parts.size() != prefixParts || parts[0] != formatVersion) {
        return invalid("a key prefix has the form "
                       "1~<issuer>~<incarnation>~<deputy or ->~<incarnation>~<epoch>");
    }
    const std::optional<VmRun> issuer = parseRun(parts[1], parts[2]);
    if (!issuer) {
        return invalid("the issuer is not a VM name and an incarnation");
    }
    KeyPrefix prefix { *issuer, std::nullopt, 0 };
    if (parts[3] != noDeputy || parts[4] != "0") {
        prefix.deputy = parseRun(parts[3], parts[4]);
        if (!prefix.deputy) {
            return invalid("the deputy is neither -~0 nor a VM name and an incarnation");
        }
    }
    const std::optional<std::uint64_t> epoch = parseNumber(parts[5], decimalBase);
    if (!epoch || *epoch == 0) {
        return invalid("the epoch is not a positive decimal number");
    }
    prefix.epoch = *epoch;
    return prefix;
}

std::string KeyPrefix::toString() const
{
    const std::string deputyText = this->deputy ? formatRun(*this->deputy) : "-~0";
    return "1~" + formatRun(this->issuer) + "~" + deputyText + "~" + std::to_string(this->epoch);
}

Common::Result<IdempotencyKey> IdempotencyKey::parse(const std::string &text)
{
    const std::size_t dot = text.find('.');
    if (dot == std::string::npos) {
        return invalid("an idempotency key has the form <prefix>.<unique>");
    }
    Common::Result<KeyPrefix> prefix = KeyPrefix::parse(text.substr(0, dot));
    if (!prefix) {
        return tl::unexpected<Common::Error>(prefix.error());
    }
    return make(*std::move(prefix), text.substr(dot + 1));
}

Common::Result<IdempotencyKey> IdempotencyKey::make(KeyPrefix prefix, std::string unique)
{
    if (!isValidUnique(unique)) {
        return invalid("the unique part is not 1 to 128 visible ASCII characters");
    }
    return IdempotencyKey(std::move(prefix), std::move(unique));
}

std::string IdempotencyKey::toString() const
{
    return this->keyPrefix.toString() + "." + this->uniquePart;
}

} // namespace Currantfall::Execution
