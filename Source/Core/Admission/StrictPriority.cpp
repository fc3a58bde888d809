#include "currantfall/Admission/StrictPriority.h"

#include <algorithm>
#include <iterator>

namespace Currantfall::Admission {

StrictPriority::StrictPriority(const DisciplineSettings &settings)
    : ranks(std::max<std::size_t>(1, settings.floors.size()))
{ }

void StrictPriority::push(const QueueEntry &entry)
{
    this->ranks[this->indexOf(entry.request)].emplace(entry.sequence, entry);
}

std::optional<QueueEntry> StrictPriority::pop(Common::Instant)
{
    for (Fifo &fifo : this->ranks) {
        if (fifo.empty()) {
            continue;
        }
        QueueEntry entry = fifo.begin()->second;
        fifo.erase(fifo.begin());
        return entry;
    }
    return std::nullopt;
}

void StrictPriority::remove(const QueueEntry &entry)
{
    this->ranks[this->indexOf(entry.request)].erase(entry.sequence);
}

std::vector<QueueEntry> StrictPriority::shed(Common::Instant)
{
    return {};
}

std::optional<QueueEntry> StrictPriority::displace(const QueueEntry &entry, std::size_t)
{
    for (std::size_t rank = this->ranks.size() - 1; rank > this->indexOf(entry.request); --rank) {
        Fifo &fifo = this->ranks[rank];
        if (fifo.empty()) {
            continue;
        }
        const auto newest = std::prev(fifo.end());
        QueueEntry victim = newest->second;
        fifo.erase(newest);
        return victim;
    }
    return std::nullopt;
}

WorkAhead StrictPriority::workAhead(const QueuedRequest &request) const
{
    WorkAhead result;
    const std::size_t index = this->indexOf(request);
    for (std::size_t rank = 0; rank < index; ++rank) {
        result.higher += static_cast<double>(this->ranks[rank].size());
    }
    result.own = static_cast<double>(this->ranks[index].size());
    return result;
}

std::size_t StrictPriority::queuedOf(Common::RankIndex rank) const
{
    return rank < this->ranks.size() ? this->ranks[rank].size() : 0;
}

std::size_t StrictPriority::indexOf(const QueuedRequest &request) const
{
    return std::min(request.rank, this->ranks.size() - 1);
}

} // namespace Currantfall::Admission
