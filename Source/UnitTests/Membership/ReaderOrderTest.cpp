#include "currantfall/Membership/ReaderOrder.h"

#include <algorithm>
#include <set>

#include <catch2/catch.hpp>

using namespace Currantfall;
using namespace Currantfall::Membership;

namespace {

StoreReader reader(int number, double processorShare)
{
    return { Common::VmName("vm-" + std::to_string(number)), processorShare };
}

/// VMs 0 to 3 are large, the others small.
std::vector<StoreReader> fleet()
{
    constexpr int vms = 16;
    std::vector<StoreReader> result;
    result.reserve(vms);
    for (int number = 0; number < vms; ++number) {
        result.push_back(reader(number, number < 4 ? 0.5 : 0.1));
    }
    return result;
}

} // namespace

// Guards against changes that arrive late because a VM with a small link reads them for all.
TEST_CASE("Large VMs read the store before small ones")
{
    const std::vector<StoreReader> vms = fleet();
    for (const StoreReader &vm : vms) {
        CHECK((readerRank(vm.vm, vms) < 4) == (vm.processorShare == 0.5));
    }
}

// Guards against VMs that read the store at the same time, or leave it to each other.
TEST_CASE("Each VM has a place of its own among the readers, whatever the order of the list")
{
    const std::vector<StoreReader> vms = fleet();
    std::set<std::size_t> ranks;
    const std::vector<StoreReader> reversed(vms.rbegin(), vms.rend());
    for (const StoreReader &vm : vms) {
        const std::size_t rank = readerRank(vm.vm, vms);
        CHECK(readerRank(vm.vm, reversed) == rank);
        ranks.insert(rank);
    }
    CHECK(ranks.size() == vms.size());
    CHECK(*ranks.rbegin() == vms.size() - 1);
}

// Guards against an order that depends on the size alone where all VMs are alike.
TEST_CASE("VMs of one size keep their order when another one joins")
{
    std::vector<StoreReader> vms { reader(1, 0.1), reader(2, 0.1), reader(3, 0.1) };
    const auto before = [&vms](int left, int right) {
        return readerRank(reader(left, 0.1).vm, vms) < readerRank(reader(right, 0.1).vm, vms);
    };
    const bool order = before(1, 2);
    vms.push_back(reader(4, 0.1));
    CHECK(before(1, 2) == order);
}
