#include "currantfall/Membership/ReaderOrder.h"

#include <algorithm>
#include <string>
#include <utility>

#include "currantfall/Common/RendezvousHash.h"

namespace Currantfall::Membership {

namespace {

// All VMs must use the same key to agree on which of them reads the store.
constexpr const char *orderKey = "store-readers";
constexpr double minProcessorFraction = 0.5;

} // namespace

std::size_t readerRank(const Common::VmName &self, std::vector<StoreReader> live)
{
    double largest = 0.0;
    for (const StoreReader &reader : live) {
        largest = std::max(largest, reader.processorShare);
    }
    auto order = Common::rankCandidates(
            orderKey, std::move(live),
            [](const StoreReader &reader) -> const std::string & { return reader.vm.value(); });
    std::stable_partition(order.begin(), order.end(), [largest](const StoreReader &reader) {
        return reader.processorShare >= largest * minProcessorFraction;
    });
    const auto found = std::find_if(order.begin(), order.end(), [&self](const StoreReader &reader) {
        return reader.vm == self;
    });
    return static_cast<std::size_t>(found - order.begin());
}

} // namespace Currantfall::Membership
