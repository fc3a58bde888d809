#pragma once

#include <algorithm>
#include <cstdint>
#include <cstdlib>
#include <string>
#include <vector>

#include <catch2/catch.hpp>

namespace Currantfall::Tests {

/// Fails the test case if there are violations, and shows the first ones.
inline void requireNone(const std::vector<std::string> &violations)
{
    constexpr std::size_t mostShown = 20;
    for (std::size_t index = 0; index < std::min(mostShown, violations.size()); ++index) {
        UNSCOPED_INFO(violations[index]);
    }
    CHECK(violations.empty());
}

/// The number in an environment variable, or `otherwise` if it is not set.
inline std::uint64_t numberFromEnvironment(const char *name, std::uint64_t otherwise)
{
    const char *const text = std::getenv(name);
    return text == nullptr ? otherwise : std::strtoull(text, nullptr, 10);
}

} // namespace Currantfall::Tests
