#pragma once

#include <cstdint>
#include <vector>

#include "currantfall/Common/Names.h"

namespace Currantfall::Membership {

/// VMs to which a message has been sent, by a short hash of their names. The list travels with the
/// message, so that VMs that pass it on send it to each VM about once. Two names with the same hash
/// cost one of them a message.
class Recipients
{
public:
    Recipients() = default;
    explicit Recipients(std::vector<std::uint32_t> hashes);

    void add(const Common::VmName &vm);
    bool contains(const Common::VmName &vm) const;
    /// Adds the peers and returns those that were not contained.
    std::vector<Common::VmName> addMissing(const std::vector<Common::VmName> &peers);

    /// In ascending order.
    const std::vector<std::uint32_t> &hashes() const { return this->sorted; }

    friend bool operator==(const Recipients &left, const Recipients &right) = default;

private:
    std::vector<std::uint32_t> sorted;
};

} // namespace Currantfall::Membership
