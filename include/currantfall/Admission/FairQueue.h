#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

#include <absl/container/flat_hash_map.h>

#include "currantfall/Admission/Discipline.h"

namespace Currantfall::Admission {

/// Start-time fair queueing among flows; first come, first served within a flow.
class FairQueue
{
public:
    explicit FairQueue(const std::vector<TenantWeight> &tenants);

    void push(const QueueEntry &entry);
    std::optional<QueueEntry> pop();
    void remove(const QueueEntry &entry);
    /// Removes the newest request of the flow that has the most requests relative to its weight.
    /// Nothing if that flow would be the one of `incoming`.
    std::optional<QueueEntry> displace(const QueuedRequest &incoming);
    /// Removes the newest request of the flow with the most requests relative to its weight.
    std::optional<QueueEntry> removeLongest();
    /// Requests that start before one that is pushed now.
    double ahead(const QueuedRequest &request) const;

    std::size_t size() const { return this->count; }

private:
    struct Flow
    {
        double weight = 1.0;
        /// Virtual time at which the flow's first request may start.
        double tag = 0.0;
        std::map<std::uint64_t, QueueEntry> entries;
    };
    using Flows = std::map<FlowKey, Flow>;

    FlowKey keyOf(const QueuedRequest &request) const;
    double weightOf(const FlowKey &key) const;
    Flows::iterator longest();
    QueueEntry takeNewest(Flows::iterator flow);
    void forgetOne();

    absl::flat_hash_map<Common::TenantName, double> weights;
    Flows flows;
    /// Flows with work, by tag.
    std::set<std::pair<double, FlowKey>> order;
    double virtualTime = 0.0;
    std::size_t count = 0;
};

} // namespace Currantfall::Admission
