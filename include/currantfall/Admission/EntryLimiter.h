#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

#include <absl/container/flat_hash_map.h>
#include <tl/expected.hpp>

#include "currantfall/Admission/QueuedRequest.h"

namespace Currantfall::Admission {

struct EntryLimiterSettings
{
    std::size_t maxRequests = 0;
    std::size_t maxBytes = 0;
    /// In rank order; sum at most 1.
    std::vector<double> floors;
    std::vector<TenantWeight> tenants;
};

/// Limits the requests and body bytes that one entry VM holds at a time.
///
/// Each rank has a reserve of both: its floor, plus half of the unfloored rest for the first rank,
/// a quarter for the second, and so on; the last rank has only its floor. What remains and what
/// other ranks have in excess of their reserve can be borrowed by any rank. Within that, one flow
/// can't take the last free room: beyond its share by weight, it may hold at most a multiple of
/// what is free (dynamic threshold), so that a flood of one flow leaves room for the others.
class EntryLimiter
{
public:
    /// Names what an admitted request holds. 0 is never a permit.
    using Permit = std::uint64_t;

    explicit EntryLimiter(EntryLimiterSettings settings);

    tl::expected<Permit, Refusal> tryAcquire(Common::RankIndex rank, const FlowKey &flow,
                                             std::size_t bytes);
    /// Does nothing for a permit that has been released.
    void release(Permit permit);

    /// Applies another document; permits stay valid, even if they exceed the new limits.
    void reconfigure(EntryLimiterSettings settings);

    std::size_t requests() const { return this->total.requests; }
    std::size_t bytes() const { return this->total.bytes; }
    std::size_t requestsOf(Common::RankIndex rank) const;

private:
    struct Usage
    {
        std::size_t requests = 0;
        std::size_t bytes = 0;
    };
    struct Held
    {
        Common::RankIndex rank = 0;
        FlowKey flow;
        std::size_t bytes = 0;
    };

    /// What the rank may still take; negative after a document with lower limits.
    struct Room
    {
        double requests = 0.0;
        double bytes = 0.0;
    };

    Room roomOf(Common::RankIndex rank) const;
    bool fitsFlow(const FlowKey &flow, std::size_t bytes, const Room &room) const;
    FlowKey limitedFlow(const FlowKey &flow) const;
    double relativeWeight(const Common::TenantName &tenant) const;

    EntryLimiterSettings settings;
    std::vector<double> reserves;
    absl::flat_hash_map<Common::TenantName, double> weights;
    double meanWeight = 1.0;
    Usage total;
    std::vector<Usage> byRank;
    absl::flat_hash_map<FlowKey, Usage> byFlow;
    absl::flat_hash_map<Permit, Held> permits;
    Permit lastPermit = 0;
};

} // namespace Currantfall::Admission
