#pragma once

#include <cstddef>
#include <vector>

#include "currantfall/Common/Names.h"

namespace Currantfall::Membership {

/// A VM that may read the platform's store for the others.
struct StoreReader
{
    Common::VmName vm;
    /// Share of a processor core that the VM has.
    double processorShare = 0.0;

    friend bool operator==(const StoreReader &left, const StoreReader &right) = default;
};

/// Position of `self` in the order in which the live VMs read the platform's store and tell the
/// others; the first one reads regularly. All VMs with the same list get the same order. VMs with
/// less than half of the largest processor share come last: they have the smallest links as well,
/// and a large row would take seconds to and from them.
std::size_t readerRank(const Common::VmName &self, std::vector<StoreReader> live);

} // namespace Currantfall::Membership
