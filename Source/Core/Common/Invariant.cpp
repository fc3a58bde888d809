#include "currantfall/Common/Invariant.h"

#include <cstdlib>

#include "currantfall/Common/Log.h"

namespace Currantfall::Common {

void failInvariant(const char *part, const char *rule, const nlohmann::json &state)
{
    Log::forComponent(part).critical(rule, state);
    // No destructors: other threads still run and would be joined.
    std::_Exit(invariantExitCode);
}

} // namespace Currantfall::Common
