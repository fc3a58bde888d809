#pragma once

#include <string>
#include <vector>

#include "EntryDeployment.h"
#include "SoakCallers.h"

namespace Currantfall::Tests {

/// A time in which an entry VM could not learn of configurations.
struct ConfigurationDelay
{
    std::string entry; ///< Host at which callers reach the VM; all VMs if empty.
    SoakClock::time_point begin;
    SoakClock::time_point end;
    bool restarted = false; ///< Another process serves from the end on.
};

/// Requests that reached a server outside the homes of their route in every configuration that may
/// have been in force for them. A VM that is in touch applies a configuration within two seconds
/// after the store has acknowledged it. It is in touch if its process and its links to the store
/// and to peers, and the store, have been without disruption for three seconds; one that is not may
/// go on with what it knew when it was in touch last, and one that has started since with any
/// configuration.
std::vector<std::string> judgeHomes(const std::vector<SoakRecord> &records,
                                    const EntryDeployment &deployment,
                                    const std::vector<ConfigurationDelay> &delays);

} // namespace Currantfall::Tests
