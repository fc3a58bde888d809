#pragma once

#include <cstddef>
#include <map>
#include <string>
#include <vector>

#include "Callers.h"

namespace Currantfall::Tests {

/// Waits for this many further calls.
void waitForCalls(const Callers &callers, std::size_t more);

std::map<std::string, std::size_t> countOutcomes(const std::vector<CallRecord> &records);

/// Requires that every request was answered; a failure shows what the others were told.
void requireAllAnswered(const std::vector<CallRecord> &records);

/// How often each of the requests was started and ran at the backend servers.
nlohmann::json executionsOf(const DeploymentFixture &deployment,
                            const std::vector<CallRecord> &records);

/// Requires that no request ran twice, that every not-run is true, that every answered request ran,
/// and that no answer was wrong.
void requireTrueOutcomes(const DeploymentFixture &deployment,
                         const std::vector<CallRecord> &records);

} // namespace Currantfall::Tests
