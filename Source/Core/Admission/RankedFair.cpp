#include "currantfall/Admission/RankedFair.h"

#include <algorithm>

namespace Currantfall::Admission {

namespace {

// Sums of floors such as 20 x 0.05 may fall short of one by rounding.
constexpr double wholeStart = 1.0 - 1e-9;

} // namespace

RankedFair::RankedFair(const DisciplineSettings &settings)
{
    for (const double floor : settings.floors) {
        this->ranks.push_back({ floor, 0.0, FairQueue(settings.tenants) });
    }
    if (this->ranks.empty()) {
        this->ranks.push_back({ 0.0, 0.0, FairQueue(settings.tenants) });
    }
}

void RankedFair::push(const QueueEntry &entry)
{
    this->rankOf(entry.request.rank).queue.push(entry);
}

std::optional<QueueEntry> RankedFair::pop(Common::Instant)
{
    Rank *first = this->firstWithWork();
    if (first == nullptr) {
        return std::nullopt;
    }
    for (Rank &rank : this->ranks) {
        rank.deficit = rank.queue.size() == 0 ? 0.0 : rank.deficit + rank.floor;
    }
    Rank *entitled = this->entitled();
    Rank &chosen = entitled == nullptr ? *first : *entitled;
    chosen.deficit = std::max(0.0, chosen.deficit - 1.0);
    return chosen.queue.pop();
}

void RankedFair::remove(const QueueEntry &entry)
{
    this->rankOf(entry.request.rank).queue.remove(entry);
}

std::vector<QueueEntry> RankedFair::shed(Common::Instant)
{
    return {};
}

std::optional<QueueEntry> RankedFair::displace(const QueueEntry &entry, std::size_t maxQueued)
{
    // Each rank keeps its floor of the queue as well, or a flood of higher ranks would leave it
    // nothing to start.
    const auto exceedsFloor = [maxQueued](const Rank &rank, std::size_t size) {
        return static_cast<double>(size) > rank.floor * static_cast<double>(maxQueued);
    };
    Rank &own = this->rankOf(entry.request.rank);
    const bool keepsFloor = !exceedsFloor(own, own.queue.size() + 1);
    for (auto rank = this->ranks.rbegin(); rank != this->ranks.rend(); ++rank) {
        if (&*rank == &own) {
            if (!keepsFloor) {
                break;
            }
            continue;
        }
        if (exceedsFloor(*rank, rank->queue.size())) {
            return rank->queue.removeLongest();
        }
    }
    return own.queue.displace(entry.request);
}

WorkAhead RankedFair::workAhead(const QueuedRequest &request) const
{
    const std::size_t index = std::min(request.rank, this->ranks.size() - 1);
    WorkAhead result;
    for (std::size_t other = 0; other < this->ranks.size(); ++other) {
        const Rank &rank = this->ranks[other];
        if (other < index) {
            result.higher += static_cast<double>(rank.queue.size());
        } else if (other > index && rank.queue.size() > 0) {
            result.lowerFloors += rank.floor;
        }
    }
    result.own = this->ranks[index].queue.ahead(request);
    result.floor = this->ranks[index].floor;
    return result;
}

std::size_t RankedFair::queuedOf(Common::RankIndex rank) const
{
    return rank < this->ranks.size() ? this->ranks[rank].queue.size() : 0;
}

RankedFair::Rank *RankedFair::entitled()
{
    Rank *result = nullptr;
    for (Rank &rank : this->ranks) {
        if (rank.deficit < wholeStart) {
            continue;
        }
        if (result == nullptr || rank.deficit > result->deficit) {
            result = &rank;
        }
    }
    return result;
}

RankedFair::Rank *RankedFair::firstWithWork()
{
    const auto found = std::find_if(this->ranks.begin(), this->ranks.end(),
                                    [](const Rank &rank) { return rank.queue.size() > 0; });
    return found == this->ranks.end() ? nullptr : &*found;
}

RankedFair::Rank &RankedFair::rankOf(Common::RankIndex rank)
{
    return this->ranks[std::min(rank, this->ranks.size() - 1)];
}

} // namespace Currantfall::Admission
