#pragma once

#include <cstddef>
#include <string>
#include <vector>

#include "currantfall/Common/Error.h"

#include "Load/LookupCache.h"
#include "Load/Results.h"
#include "Load/Settings.h"

namespace Currantfall::Load {

struct Phase
{
    bool direct = false;
    absl::Duration length = absl::ZeroDuration();
    /// In the order of the settings' classes.
    std::vector<ClassResult> classes;
};

struct LoadReport
{
    std::vector<Phase> phases;
    /// True if the backend stand-ins were asked for their executions.
    bool verified = false;
    /// Text of the timeline; empty without one.
    std::string timeline;

    /// All results of one class in phases that are direct or steered.
    ClassResult total(std::size_t classIndex, bool direct) const;
    /// True if a request was executed twice, ran after not-run, or got a wrong answer.
    bool invariantBroken() const;
};

/// Runs the load and the verification. Fails if no lookup is possible or a verification address
/// does not answer.
Common::Result<LoadReport> runLoad(const Settings &settings);

/// Asks all stand-ins how often the requests ran.
Common::Result<Executions> readExecutions(const std::vector<Endpoint> &servers,
                                          const std::vector<std::string> &requestIds,
                                          absl::Duration timeout);

} // namespace Currantfall::Load
