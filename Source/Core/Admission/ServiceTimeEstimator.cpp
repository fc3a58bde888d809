#include "currantfall/Admission/ServiceTimeEstimator.h"

#include <algorithm>

namespace Currantfall::Admission {

namespace {

constexpr double meanGain = 0.1;
constexpr std::size_t sampleCount = 64;
// The quantile needs a partial sort, which is too dear for every sample.
constexpr std::size_t refreshInterval = 8;
constexpr double highQuantile = 0.9;

} // namespace

ServiceTimeEstimator::ServiceTimeEstimator(absl::Duration initial)
    : average(initial), quantile(initial)
{ }

void ServiceTimeEstimator::record(absl::Duration serviceTime)
{
    if (!this->measured) {
        this->measured = true;
        this->average = serviceTime;
    } else {
        this->average += (serviceTime - this->average) * meanGain;
    }
    if (this->recent.size() < sampleCount) {
        this->recent.push_back(serviceTime);
    } else {
        this->recent[this->nextSample] = serviceTime;
        this->nextSample = (this->nextSample + 1) % sampleCount;
    }
    ++this->sinceRefresh;
    if (this->sinceRefresh<refreshInterval &&this->recent.size()> refreshInterval) {
        return;
    }
    this->sinceRefresh = 0;
    std::vector<absl::Duration> sorted = this->recent;
    const auto position
            = sorted.begin()
              + static_cast<std::ptrdiff_t>(highQuantile * static_cast<double>(sorted.size() - 1));
    std::nth_element(sorted.begin(), position, sorted.end());
    this->quantile = *position;
}

absl::Duration ServiceTimeEstimator::high() const
{
    return std::max(this->average, this->quantile);
}

} // namespace Currantfall::Admission
