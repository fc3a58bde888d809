#pragma once

#include <cstddef>
#include <string>
#include <vector>

#include <tl/expected.hpp>

#include "currantfall/Configuration/Environment.h"

namespace Currantfall::Configuration {

/// One fault of a document.
struct Diagnostic
{
    std::size_t line = 0;   ///< 1 for the first line.
    std::size_t column = 0; ///< 1 for the first column.
    std::string path;       ///< Such as "services[2].routes[0].path".
    std::string expected;   ///< What the document must have there instead.

    /// "line:column: path: expected ...".
    std::string toString() const;

    friend bool operator==(const Diagnostic &left, const Diagnostic &right) = default;
};

/// Reads and checks a YAML document. Returns the environment, or every fault in document order.
tl::expected<Environment, std::vector<Diagnostic>> parseEnvironment(const std::string &text);

/// The content hash that names a document in the object store: XXH3-128 as 32 hex digits.
std::string contentHash(const std::string &text);

} // namespace Currantfall::Configuration
