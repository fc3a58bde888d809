#include "LoadReport.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace Currantfall::BackendStandin {

namespace {

// Bounds the memory of a busy server; at 1000 changes a second this is more than a minute of lag.
constexpr std::size_t maxEntries = 65'536;

} // namespace

void LoadReport::record(Common::Instant now, Sample sample)
{
    this->entries.push_back({ now, std::move(sample) });
    if (this->entries.size() > maxEntries) {
        this->entries.pop_front();
    }
}

LoadReport::Sample LoadReport::at(Common::Instant now, absl::Duration lag) const
{
    const Common::Instant time = now - lag;
    const auto later = std::upper_bound(
            this->entries.begin(), this->entries.end(), time,
            [](Common::Instant instant, const Entry &entry) { return instant < entry.time; });
    return later == this->entries.begin() ? Sample {} : std::prev(later)->sample;
}

} // namespace Currantfall::BackendStandin
