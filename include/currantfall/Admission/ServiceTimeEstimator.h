#pragma once

#include <cstddef>
#include <vector>

#include <absl/time/time.h>

namespace Currantfall::Admission {

/// Mean and a high quantile of recent service times.
class ServiceTimeEstimator
{
public:
    explicit ServiceTimeEstimator(absl::Duration initial);

    void record(absl::Duration serviceTime);

    /// Exponentially weighted moving average.
    absl::Duration mean() const { return this->average; }
    /// 90% quantile of the last samples.
    absl::Duration quantile90() const { return this->quantile; }
    std::size_t samples() const { return this->recent.size(); }
    /// The same, or the mean if it is higher.
    absl::Duration high() const;

private:
    absl::Duration average;
    absl::Duration quantile;
    std::vector<absl::Duration> recent;
    std::size_t nextSample = 0;
    std::size_t sinceRefresh = 0;
    bool measured = false;
};

} // namespace Currantfall::Admission
