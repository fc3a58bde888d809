#include "currantfall/Admission/StartWindow.h"

#include <algorithm>
#include <numeric>

namespace Currantfall::Admission {

void StartWindow::record(Common::RankIndex rank)
{
    if (rank >= this->counts.size()) {
        this->counts.resize(rank + 1, 0);
    }
    ++this->counts[rank];
    if (this->ranks.size() < length) {
        this->ranks.push_back(rank);
        return;
    }
    --this->counts[this->ranks[this->next]];
    this->ranks[this->next] = rank;
    this->next = (this->next + 1) % length;
}

double StartWindow::shareBefore(Common::RankIndex rank) const
{
    if (this->ranks.empty()) {
        return 0.0;
    }
    const auto end = this->counts.begin()
                     + static_cast<std::ptrdiff_t>(std::min(rank, this->counts.size()));
    const std::size_t before = std::accumulate(this->counts.begin(), end, std::size_t());
    return static_cast<double>(before) / static_cast<double>(this->ranks.size());
}

std::size_t StartWindow::count(Common::RankIndex rank) const
{
    return rank < this->counts.size() ? this->counts[rank] : 0;
}

} // namespace Currantfall::Admission
