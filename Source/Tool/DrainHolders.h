#pragma once

#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "currantfall/Platform/EnvironmentRow.h"

#include "Daemons.h"

namespace Currantfall::Tool {

/// What still holds the target of a drain, from the reports of the listed VMs.
class DrainHolders
{
public:
    /// `target` must be drained in `row`.
    DrainHolders(const Platform::EnvironmentRow &row, const Drain::DrainTarget &target,
                 const std::vector<DaemonReport> &reports);

    /// True if there are VMs, every live VM has the drain in force and holds nothing, and no
    /// leaving VM that answers holds anything.
    bool empty() const { return this->holders.empty(); }
    nlohmann::json toJson() const;
    std::string toText() const;

private:
    struct Holder
    {
        std::string vm;
        std::uint64_t held = 0;
        std::string reason; ///< Why what it holds is unknown; empty if it is known.
    };

    void add(const DaemonReport &report, Common::Revision since);

    Drain::DrainTarget target;
    std::vector<Holder> holders;
};

} // namespace Currantfall::Tool
