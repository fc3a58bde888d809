#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <utility>

namespace Currantfall::Common {

/// A name of one kind of thing. Names of different kinds do not convert into each other.
template<typename Kind>
class Name
{
public:
    Name() = default;
    explicit Name(std::string value) : text(std::move(value)) { }

    const std::string &value() const { return this->text; }
    bool empty() const { return this->text.empty(); }

    // clang-tidy 14 takes the literal zero of rewritten comparisons for a null pointer.
    // NOLINTNEXTLINE(modernize-use-nullptr)
    friend auto operator<=>(const Name &left, const Name &right) = default;

    template<typename State>
    friend State AbslHashValue(State state, const Name &name)
    {
        return State::combine(std::move(state), name.text);
    }

private:
    std::string text;
};

using VmName = Name<struct VmKind>;
using ZoneName = Name<struct ZoneKind>;
using RegionName = Name<struct RegionKind>;
using TenantName = Name<struct TenantKind>;
using ServiceName = Name<struct ServiceKind>;
using RankName = Name<struct RankKind>;
using BackendServerName = Name<struct BackendServerKind>;

/// Distinguishes the runs of a process that has one name: later runs have higher values. It is the
/// wall clock at start, in microseconds.
using Incarnation = std::uint64_t;

/// Counter of accepted configurations of one environment.
using Revision = std::uint64_t;

/// Position of a rank in the document: 0 is served first.
using RankIndex = std::size_t;

/// True if `text` may be a name: 1 to 63 of a-z, 0-9 and '-', starting with a letter or digit.
/// Names must not contain '~' or '.', the separators of idempotency keys.
bool isValidName(const std::string &text);

} // namespace Currantfall::Common
