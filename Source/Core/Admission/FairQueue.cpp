#include "currantfall/Admission/FairQueue.h"

#include <algorithm>
#include <cmath>
#include <iterator>

namespace Currantfall::Admission {

namespace {

// A weight of zero would never be served.
constexpr double leastWeight = 0.001;

} // namespace

FairQueue::FairQueue(const std::vector<TenantWeight> &tenants)
{
    for (const TenantWeight &tenant : tenants) {
        this->weights[tenant.name] = std::max(tenant.weight, leastWeight);
    }
}

void FairQueue::push(const QueueEntry &entry)
{
    const FlowKey key = this->keyOf(entry.request);
    Flow &flow = this->flows[key];
    if (flow.entries.empty()) {
        flow.weight = this->weightOf(key);
        flow.tag = std::max(flow.tag, this->virtualTime);
        this->order.emplace(flow.tag, key);
    }
    flow.entries.emplace(entry.sequence, entry);
    ++this->count;
}

std::optional<QueueEntry> FairQueue::pop()
{
    if (this->order.empty()) {
        return std::nullopt;
    }
    const auto found = this->flows.find(this->order.begin()->second);
    this->order.erase(this->order.begin());
    Flow &flow = found->second;
    this->virtualTime = flow.tag;
    QueueEntry entry = flow.entries.begin()->second;
    flow.entries.erase(flow.entries.begin());
    flow.tag += 1.0 / flow.weight;
    if (!flow.entries.empty()) {
        this->order.emplace(flow.tag, found->first);
    }
    this->forgetOne();
    return entry;
}

void FairQueue::remove(const QueueEntry &entry)
{
    const auto found = this->flows.find(this->keyOf(entry.request));
    if (found == this->flows.end() || found->second.entries.erase(entry.sequence) == 0) {
        return;
    }
    if (found->second.entries.empty()) {
        this->order.erase({ found->second.tag, found->first });
    }
    this->forgetOne();
}

std::optional<QueueEntry> FairQueue::displace(const QueuedRequest &incoming)
{
    const auto found = this->longest();
    if (found == this->flows.end()) {
        return std::nullopt;
    }
    const FlowKey key = this->keyOf(incoming);
    const auto own = this->flows.find(key);
    const std::size_t ownCount = own == this->flows.end() ? 0 : own->second.entries.size();
    const double ownLoad = static_cast<double>(ownCount + 1) / this->weightOf(key);
    const double load = static_cast<double>(found->second.entries.size()) / found->second.weight;
    if (found == own || ownLoad >= load) {
        return std::nullopt;
    }
    return this->takeNewest(found);
}

std::optional<QueueEntry> FairQueue::removeLongest()
{
    const auto found = this->longest();
    if (found == this->flows.end()) {
        return std::nullopt;
    }
    return this->takeNewest(found);
}

double FairQueue::ahead(const QueuedRequest &request) const
{
    const FlowKey key = this->keyOf(request);
    const auto own = this->flows.find(key);
    double tag = this->virtualTime;
    double result = 0.0;
    if (own != this->flows.end()) {
        tag = std::max(tag, own->second.tag);
        result = static_cast<double>(own->second.entries.size());
    }
    tag += result / this->weightOf(key);
    for (const auto &[otherKey, flow] : this->flows) {
        if (otherKey == key || flow.entries.empty() || flow.tag > tag) {
            continue;
        }
        const double startsBefore = std::floor((tag - flow.tag) * flow.weight) + 1.0;
        result += std::min(startsBefore, static_cast<double>(flow.entries.size()));
    }
    return result;
}

FlowKey FairQueue::keyOf(const QueuedRequest &request) const
{
    if (this->weights.contains(request.flow.tenant)) {
        return request.flow;
    }
    return { Common::TenantName(), request.flow.service };
}

double FairQueue::weightOf(const FlowKey &key) const
{
    const auto found = this->weights.find(key.tenant);
    return found == this->weights.end() ? 1.0 : found->second;
}

FairQueue::Flows::iterator FairQueue::longest()
{
    auto result = this->flows.end();
    double most = 0.0;
    for (auto flow = this->flows.begin(); flow != this->flows.end(); ++flow) {
        const double load = static_cast<double>(flow->second.entries.size()) / flow->second.weight;
        if (load > most) {
            most = load;
            result = flow;
        }
    }
    return result;
}

QueueEntry FairQueue::takeNewest(Flows::iterator flow)
{
    QueueEntry entry = std::prev(flow->second.entries.end())->second;
    this->remove(entry);
    return entry;
}

void FairQueue::forgetOne()
{
    --this->count;
    if (this->count == 0) {
        // No flow is ahead of another one when there is no work.
        this->flows.clear();
        this->virtualTime = 0.0;
    }
}

} // namespace Currantfall::Admission
