#include "currantfall/Admission/EntryLimiter.h"

#include <algorithm>
#include <numeric>
#include <utility>

namespace Currantfall::Admission {

namespace {

// A flow of average weight may hold up to this multiple of the room that its rank still has: alone,
// it reaches 8/9 of the rank's room, and 1/9 stays free for flows that arrive later.
constexpr double flowFactor = 8.0;
// Entry limits say nothing about when room will be free; a short wait spreads the retries.
constexpr absl::Duration retryAfter = absl::Milliseconds(250);

std::vector<double> reservesFor(const std::vector<double> &floors)
{
    const double unfloored
            = std::max(0.0, 1.0 - std::accumulate(floors.begin(), floors.end(), 0.0));
    std::vector<double> reserves;
    double part = unfloored;
    for (std::size_t rank = 0; rank < floors.size(); ++rank) {
        part /= 2.0;
        const bool last = rank + 1 == floors.size();
        reserves.push_back(floors[rank] + (last ? 0.0 : part));
    }
    return reserves;
}

} // namespace

EntryLimiter::EntryLimiter(EntryLimiterSettings settings)
{
    this->reconfigure(std::move(settings));
}

tl::expected<EntryLimiter::Permit, Refusal>
EntryLimiter::tryAcquire(Common::RankIndex rank, const FlowKey &flow, std::size_t bytes)
{
    const std::size_t index = std::min(rank, this->byRank.size() - 1);
    const FlowKey limited = this->limitedFlow(flow);
    const Room room = this->roomOf(index);
    const bool fitsRank = room.requests >= 1.0 && room.bytes >= static_cast<double>(bytes);
    if (!fitsRank || !this->fitsFlow(limited, bytes, room)) {
        return tl::unexpected(Refusal { Common::Reason::Overloaded, retryAfter });
    }
    const Permit permit = ++this->lastPermit;
    this->permits.emplace(permit, Held { index, limited, bytes });
    for (Usage *usage : { &this->total, &this->byRank[index], &this->byFlow[limited] }) {
        ++usage->requests;
        usage->bytes += bytes;
    }
    return permit;
}

void EntryLimiter::release(Permit permit)
{
    const auto found = this->permits.find(permit);
    if (found == this->permits.end()) {
        return;
    }
    const Held held = found->second;
    this->permits.erase(found);
    const auto flow = this->byFlow.find(held.flow);
    for (Usage *usage : { &this->total, &this->byRank[held.rank], &flow->second }) {
        --usage->requests;
        usage->bytes -= held.bytes;
    }
    if (flow->second.requests == 0) {
        this->byFlow.erase(flow);
    }
}

void EntryLimiter::reconfigure(EntryLimiterSettings newSettings)
{
    this->settings = std::move(newSettings);
    if (this->settings.floors.empty()) {
        this->settings.floors.push_back(0.0);
    }
    this->reserves = reservesFor(this->settings.floors);
    // A permit keeps its rank, so ranks that are gone stay countable.
    this->byRank.resize(std::max(this->byRank.size(), this->reserves.size()));
    this->reserves.resize(this->byRank.size(), 0.0);
    this->weights.clear();
    double sum = 1.0;
    for (const TenantWeight &tenant : this->settings.tenants) {
        this->weights[tenant.name] = tenant.weight;
        sum += tenant.weight;
    }
    this->meanWeight = sum / static_cast<double>(this->settings.tenants.size() + 1);
}

std::size_t EntryLimiter::requestsOf(Common::RankIndex rank) const
{
    return rank < this->byRank.size() ? this->byRank[rank].requests : 0;
}

EntryLimiter::Room EntryLimiter::roomOf(Common::RankIndex rank) const
{
    const auto maxRequests = static_cast<double>(this->settings.maxRequests);
    const auto maxBytes = static_cast<double>(this->settings.maxBytes);
    Room room { maxRequests - static_cast<double>(this->total.requests),
                maxBytes - static_cast<double>(this->total.bytes) };
    for (std::size_t other = 0; other < this->byRank.size(); ++other) {
        if (other == rank) {
            continue;
        }
        const Usage &usage = this->byRank[other];
        const double reserve = this->reserves[other];
        room.requests -= std::max(0.0, reserve * maxRequests - static_cast<double>(usage.requests));
        room.bytes -= std::max(0.0, reserve * maxBytes - static_cast<double>(usage.bytes));
    }
    return room;
}

bool EntryLimiter::fitsFlow(const FlowKey &flow, std::size_t bytes, const Room &room) const
{
    const auto found = this->byFlow.find(flow);
    if (found == this->byFlow.end()) {
        // A flow without any request gets its first one.
        return true;
    }
    const double factor = flowFactor * this->relativeWeight(flow.tenant);
    const auto requests = static_cast<double>(found->second.requests + 1);
    const auto bytesHeld = static_cast<double>(found->second.bytes + bytes);
    return requests <= factor * room.requests && (bytes == 0 || bytesHeld <= factor * room.bytes);
}

FlowKey EntryLimiter::limitedFlow(const FlowKey &flow) const
{
    if (this->weights.contains(flow.tenant)) {
        return flow;
    }
    return { Common::TenantName(), flow.service };
}

double EntryLimiter::relativeWeight(const Common::TenantName &tenant) const
{
    const auto found = this->weights.find(tenant);
    const double weight = found == this->weights.end() ? 1.0 : found->second;
    return weight / this->meanWeight;
}

} // namespace Currantfall::Admission
