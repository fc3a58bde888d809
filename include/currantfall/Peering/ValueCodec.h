#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "currantfall/Common/Error.h"

namespace Currantfall::Peering {

/// Identifies a value that a compressed value refers to: XXH3-64, never 0.
std::uint64_t valueHash(std::string_view value);

/// A value that is compressed for links between VMs (Zstandard, RFC 8878), on its own or as the
/// difference to another value, its base.
class CompressedValue
{
public:
    /// What occurs in `base` as well takes almost no space. Without a base, `base` is empty. Fails
    /// if the library has no memory.
    static Common::Result<CompressedValue> compress(std::string_view value, std::string_view base);
    /// A value that a peer has compressed.
    static CompressedValue received(std::string bytes, std::uint64_t baseHash);

    /// Fails with Conflict if `base` is not the base of this value, with TooLarge if the value
    /// would exceed the largest message, and with InvalidInput if the bytes are damaged.
    Common::Result<std::string> decompress(std::string_view base) const;

    const std::string &bytes() const { return this->frame; }
    /// valueHash() of the base; 0 if there is none.
    std::uint64_t baseHash() const { return this->hash; }

    friend bool operator==(const CompressedValue &left, const CompressedValue &right) = default;

private:
    CompressedValue(std::string bytes, std::uint64_t baseHash);

    std::string frame;
    std::uint64_t hash = 0;
};

} // namespace Currantfall::Peering
