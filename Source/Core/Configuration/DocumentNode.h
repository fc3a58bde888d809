#pragma once

#include <cstddef>
#include <string>
#include <vector>

namespace Currantfall::Configuration {

/// A value of a YAML document with its position.
struct DocumentNode
{
    enum class Kind {
        Null,
        Scalar,
        Sequence,
        Map,
    };

    Kind kind = Kind::Null;
    std::size_t line = 1;
    std::size_t column = 1;
    /// A quoted scalar is text even if it reads like a number.
    bool quoted = false;
    std::string scalar;
    /// The elements of a sequence; of a map, keys and values in turn.
    std::vector<DocumentNode> children;
};

} // namespace Currantfall::Configuration
