#pragma once

#include <fstream>
#include <sstream>
#include <string>

#include <catch2/catch.hpp>

namespace Currantfall::Configuration {

inline std::string exampleText(const std::string &name)
{
    std::ifstream file(std::string(CURRANTFALL_EXAMPLES) + "/" + name + ".yaml");
    std::stringstream text;
    text << file.rdbuf();
    REQUIRE(!text.str().empty());
    return text.str();
}

/// `text` with the only occurrence of `from` replaced.
inline std::string replaced(std::string text, const std::string &from, const std::string &to)
{
    const std::size_t position = text.find(from);
    REQUIRE(position != std::string::npos);
    REQUIRE(text.find(from, position + 1) == std::string::npos);
    return text.replace(position, from.size(), to);
}

} // namespace Currantfall::Configuration
