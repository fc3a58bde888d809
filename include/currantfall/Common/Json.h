#pragma once

#include <cmath>
#include <limits>
#include <optional>
#include <string_view>
#include <type_traits>
#include <utility>

#include <nlohmann/json.hpp>

namespace Currantfall::Common {

/// Deepest nesting of arrays and objects that parseJson() accepts. Documents of the platform and of
/// this product have at most eight levels.
constexpr std::size_t maxJsonDepth = 32;

/// Parses JSON that another process wrote. Returns a discarded value if the text is not JSON or is
/// nested too deeply: the library copies and writes values recursively, so that deep nesting would
/// overflow the stack, and each bracket takes about a hundred bytes of memory.
nlohmann::json parseJson(std::string_view text);

/// The number in `value` if it has the wanted kind and is within both bounds; nothing otherwise.
/// Numbers with a fraction or an exponent are not whole numbers.
template<typename Number>
std::optional<Number> numberIn(const nlohmann::json &value,
                               Number least = std::numeric_limits<Number>::lowest(),
                               Number greatest = std::numeric_limits<Number>::max())
{
    static_assert(std::is_arithmetic_v<Number> && !std::is_same_v<Number, bool>);
    if constexpr (std::is_integral_v<Number>) {
        const auto within = [&](auto number) {
            return std::cmp_greater_equal(number, least) && std::cmp_less_equal(number, greatest);
        };
        if (value.is_number_unsigned() && within(value.get<std::uint64_t>())) {
            return static_cast<Number>(value.get<std::uint64_t>());
        }
        if (value.is_number_integer() && !value.is_number_unsigned()
            && within(value.get<std::int64_t>())) {
            return static_cast<Number>(value.get<std::int64_t>());
        }
    } else if (value.is_number()) {
        const auto number = value.get<double>();
        if (std::isfinite(number) && number >= least && number <= greatest) {
            return static_cast<Number>(number);
        }
    }
    return std::nullopt;
}

} // namespace Currantfall::Common
