#pragma once

#include <nlohmann/json.hpp>

namespace Currantfall::Common {

/// Exit code of a process that found one of its invariants violated.
inline constexpr int invariantExitCode = 5;

/// Logs the violated `rule` of `part` with the part's `state` as one JSON line and ends the process
/// at once: work that is based on a wrong state could break a promise to a caller.
[[noreturn]] void failInvariant(const char *part, const char *rule, const nlohmann::json &state);

/// Ends the process if `holds` is false. `describeState` returns the state of the part as JSON; it
/// is called only then.
template<typename DescribeState>
void requireInvariant(bool holds, const char *part, const char *rule,
                      const DescribeState &describeState)
{
    if (!holds) [[unlikely]] {
        failInvariant(part, rule, describeState());
    }
}

} // namespace Currantfall::Common
