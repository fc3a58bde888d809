#include "currantfall/Admission/AdaptiveLifo.h"

#include <algorithm>
#include <iterator>

namespace Currantfall::Admission {

AdaptiveLifo::AdaptiveLifo(const DisciplineSettings &settings)
    : overloadInterval(settings.overloadInterval), overloadedWait(settings.overloadedWait),
      ranks(std::max<std::size_t>(1, settings.floors.size()))
{ }

void AdaptiveLifo::push(const QueueEntry &entry)
{
    Rank &rank = this->ranks[this->indexOf(entry.request)];
    if (rank.entries.empty()) {
        rank.lastEmpty = entry.arrived;
        rank.overloaded = false;
    }
    rank.entries.emplace(entry.sequence, entry);
}

std::optional<QueueEntry> AdaptiveLifo::pop(Common::Instant now)
{
    for (Rank &rank : this->ranks) {
        if (rank.entries.empty()) {
            continue;
        }
        this->assess(rank, now);
        const auto chosen = rank.overloaded ? std::prev(rank.entries.end()) : rank.entries.begin();
        QueueEntry entry = chosen->second;
        rank.entries.erase(chosen);
        return entry;
    }
    return std::nullopt;
}

void AdaptiveLifo::remove(const QueueEntry &entry)
{
    this->ranks[this->indexOf(entry.request)].entries.erase(entry.sequence);
}

std::vector<QueueEntry> AdaptiveLifo::shed(Common::Instant now)
{
    std::vector<QueueEntry> result;
    for (Rank &rank : this->ranks) {
        this->assess(rank, now);
        while (rank.overloaded && !rank.entries.empty()
               && now - rank.entries.begin()->second.arrived > this->overloadedWait) {
            result.push_back(rank.entries.begin()->second);
            rank.entries.erase(rank.entries.begin());
        }
    }
    return result;
}

std::optional<QueueEntry> AdaptiveLifo::displace(const QueueEntry &entry, std::size_t)
{
    const std::size_t own = this->indexOf(entry.request);
    for (std::size_t index = this->ranks.size(); index-- > own;) {
        Rank &rank = this->ranks[index];
        if (rank.entries.empty() || (index == own && !rank.overloaded)) {
            continue;
        }
        const auto chosen = rank.overloaded ? rank.entries.begin() : std::prev(rank.entries.end());
        QueueEntry victim = chosen->second;
        rank.entries.erase(chosen);
        return victim;
    }
    return std::nullopt;
}

WorkAhead AdaptiveLifo::workAhead(const QueuedRequest &request) const
{
    WorkAhead result;
    const std::size_t index = this->indexOf(request);
    for (std::size_t other = 0; other < index; ++other) {
        result.higher += static_cast<double>(this->ranks[other].entries.size());
    }
    const Rank &own = this->ranks[index];
    result.own = own.overloaded ? 0.0 : static_cast<double>(own.entries.size());
    return result;
}

std::size_t AdaptiveLifo::queuedOf(Common::RankIndex rank) const
{
    return rank < this->ranks.size() ? this->ranks[rank].entries.size() : 0;
}

std::size_t AdaptiveLifo::indexOf(const QueuedRequest &request) const
{
    return std::min(request.rank, this->ranks.size() - 1);
}

void AdaptiveLifo::assess(Rank &rank, Common::Instant now) const
{
    rank.overloaded = !rank.entries.empty() && now - rank.lastEmpty > this->overloadInterval;
}

} // namespace Currantfall::Admission
