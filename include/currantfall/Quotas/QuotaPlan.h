#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "currantfall/Common/Names.h"

namespace Currantfall::Quotas {

/// A registered VM.
struct QuotaVm
{
    Common::VmName vm;
    Common::ZoneName zone;
    double processorShare = 1.0;

    friend bool operator==(const QuotaVm &left, const QuotaVm &right) = default;
};

/// On which VMs permits accrue, and whom VMs ask for more. Follows from the registered VMs only,
/// so that all VMs agree on it whether or not they reach each other.
///
/// Each zone has the same part of every limit. Inside a zone, permits accrue on the VMs that get
/// most callers: those with at least half of the largest processor share, two at least. One of
/// them, the zone's agent, collects permits for the VMs of its zone.
class QuotaPlan
{
public:
    QuotaPlan() = default;
    explicit QuotaPlan(const std::vector<QuotaVm> &registered);

    /// Fraction of every limit that accrues on the VM.
    double shareOf(const Common::VmName &vm) const;
    /// The VMs of a zone on which permits accrue.
    const std::vector<Common::VmName> &holders(const Common::ZoneName &zone) const;
    std::size_t holderCount() const { return this->shares.size(); }
    /// The first VM of the zone on which permits accrue and that can be reached. Safety does not
    /// depend on whether VMs agree on it.
    std::optional<Common::VmName> agent(const Common::ZoneName &zone,
                                        const std::set<Common::VmName> &reachable) const;
    std::vector<Common::ZoneName> zones() const;
    bool isRegistered(const Common::VmName &vm) const { return this->registered.contains(vm); }

    friend bool operator==(const QuotaPlan &left, const QuotaPlan &right) = default;

private:
    std::map<Common::ZoneName, std::vector<Common::VmName>> holdersByZone;
    std::map<Common::VmName, double> shares;
    std::set<Common::VmName> registered;
};

} // namespace Currantfall::Quotas
