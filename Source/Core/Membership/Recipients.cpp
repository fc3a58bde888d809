#include "currantfall/Membership/Recipients.h"

#include <algorithm>
#include <utility>

#include <xxhash.h>

namespace Currantfall::Membership {

namespace {

std::uint32_t hashOf(const Common::VmName &vm)
{
    return XXH32(vm.value().data(), vm.value().size(), 0);
}

} // namespace

Recipients::Recipients(std::vector<std::uint32_t> hashes) : sorted(std::move(hashes))
{
    std::sort(this->sorted.begin(), this->sorted.end());
}

void Recipients::add(const Common::VmName &vm)
{
    const std::uint32_t hash = hashOf(vm);
    const auto place = std::lower_bound(this->sorted.begin(), this->sorted.end(), hash);
    if (place == this->sorted.end() || *place != hash) {
        this->sorted.insert(place, hash);
    }
}

bool Recipients::contains(const Common::VmName &vm) const
{
    return std::binary_search(this->sorted.begin(), this->sorted.end(), hashOf(vm));
}

std::vector<Common::VmName> Recipients::addMissing(const std::vector<Common::VmName> &peers)
{
    std::vector<Common::VmName> missing;
    for (const Common::VmName &peer : peers) {
        if (!this->contains(peer)) {
            this->add(peer);
            missing.push_back(peer);
        }
    }
    return missing;
}

} // namespace Currantfall::Membership
