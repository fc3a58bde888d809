#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "currantfall/Common/Error.h"
#include "currantfall/Common/Names.h"
#include "currantfall/Drain/DrainTarget.h"

namespace Currantfall::Tool {

struct SlotUse
{
    std::uint64_t slots = 0;
    double inUse = 0.0; ///< Mean over about ten seconds.

    friend bool operator==(const SlotUse &left, const SlotUse &right) = default;
};

/// What a daemon reports at `GET /status` of its admin port.
struct VmStatus
{
    Common::VmName vm;
    Common::ZoneName zone;
    Common::Incarnation incarnation = 0;
    Common::Revision revision = 0; ///< 0: no configuration is in force.
    std::string state;
    std::map<Drain::DrainTarget, std::uint64_t> held; ///< Work that drains wait for.
    /// The slots that the VM owns.
    std::map<Common::ServiceName, SlotUse> services;
    bool hasServices = false; ///< False: the daemon reports no load.

    /// Ignores members that it does not know, since daemons of a later version may add some.
    static Common::Result<VmStatus> fromText(const std::string &text, const std::string &peer);
};

} // namespace Currantfall::Tool
