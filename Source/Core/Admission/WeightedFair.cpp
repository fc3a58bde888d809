#include "currantfall/Admission/WeightedFair.h"

#include <algorithm>
#include <cmath>

namespace Currantfall::Admission {

namespace {

constexpr double weightStep = 4.0;

} // namespace

WeightedFair::WeightedFair(const DisciplineSettings &settings)
{
    const std::size_t count = std::max<std::size_t>(1, settings.floors.size());
    for (std::size_t rank = 0; rank < count; ++rank) {
        const double weight = std::pow(weightStep, static_cast<double>(count - 1 - rank));
        this->ranks.push_back({ weight, 0.0, FairQueue(settings.tenants) });
    }
}

void WeightedFair::push(const QueueEntry &entry)
{
    Rank &rank = this->rankOf(entry.request);
    if (rank.queue.size() == 0) {
        rank.tag = std::max(rank.tag, this->virtualTime);
    }
    rank.queue.push(entry);
}

std::optional<QueueEntry> WeightedFair::pop(Common::Instant)
{
    Rank *chosen = nullptr;
    for (Rank &rank : this->ranks) {
        if (rank.queue.size() > 0 && (chosen == nullptr || rank.tag < chosen->tag)) {
            chosen = &rank;
        }
    }
    if (chosen == nullptr) {
        return std::nullopt;
    }
    this->virtualTime = chosen->tag;
    chosen->tag += 1.0 / chosen->weight;
    return chosen->queue.pop();
}

void WeightedFair::remove(const QueueEntry &entry)
{
    this->rankOf(entry.request).queue.remove(entry);
}

std::vector<QueueEntry> WeightedFair::shed(Common::Instant)
{
    return {};
}

std::optional<QueueEntry> WeightedFair::displace(const QueueEntry &entry, std::size_t)
{
    const auto lessLoaded = [](const Rank &left, const Rank &right) {
        return static_cast<double>(left.queue.size()) / left.weight
               < static_cast<double>(right.queue.size()) / right.weight;
    };
    const auto longest = std::max_element(this->ranks.begin(), this->ranks.end(), lessLoaded);
    Rank &own = this->rankOf(entry.request);
    if (&*longest == &own) {
        return own.queue.displace(entry.request);
    }
    return longest->queue.removeLongest();
}

WorkAhead WeightedFair::workAhead(const QueuedRequest &request) const
{
    const std::size_t index = std::min(request.rank, this->ranks.size() - 1);
    const Rank &own = this->ranks[index];
    WorkAhead result;
    result.own = own.queue.ahead(request);
    double total = own.weight;
    for (std::size_t other = 0; other < this->ranks.size(); ++other) {
        const Rank &rank = this->ranks[other];
        if (other == index || rank.queue.size() == 0) {
            continue;
        }
        total += rank.weight;
        const double startsBefore = (result.own + 1.0) * rank.weight / own.weight;
        result.higher += std::min(startsBefore, static_cast<double>(rank.queue.size()));
    }
    result.floor = own.weight / total;
    return result;
}

std::size_t WeightedFair::queuedOf(Common::RankIndex rank) const
{
    return rank < this->ranks.size() ? this->ranks[rank].queue.size() : 0;
}

WeightedFair::Rank &WeightedFair::rankOf(const QueuedRequest &request)
{
    return this->ranks[std::min(request.rank, this->ranks.size() - 1)];
}

} // namespace Currantfall::Admission
