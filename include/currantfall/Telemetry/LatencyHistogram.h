#pragma once

#include <cstddef>
#include <cstdint>
#include <tuple>
#include <vector>

#include <absl/time/time.h>
#include <boost/histogram/axis/regular.hpp>
#include <boost/histogram/histogram.hpp>
#include <boost/histogram/storage_adaptor.hpp>

namespace Currantfall::Telemetry {

/// Counts of latencies in buckets that are 5% wide, from 0.05 ms to 600 s. Values outside count in
/// the first and last bucket. Not thread-safe.
class LatencyHistogram
{
public:
    /// Latencies up to `upperEdge`.
    struct Bucket
    {
        absl::Duration upperEdge;
        std::uint64_t cumulativeCount = 0;

        friend bool operator==(const Bucket &left, const Bucket &right) = default;
    };

    LatencyHistogram();

    void record(absl::Duration latency);
    void merge(const LatencyHistogram &other);

    /// The quantile `q` (0..1); zero if nothing was recorded.
    absl::Duration quantile(double q) const;
    std::uint64_t count() const { return this->total; }
    absl::Duration sum() const { return this->totalTime; }
    /// Thirty buckets, for scrapers that can't take all of them; the last edge is 600 s.
    std::vector<Bucket> thinned() const;

private:
    using Axis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
    using Counts = boost::histogram::histogram<std::tuple<Axis>,
                                               boost::histogram::dense_storage<std::uint64_t>>;

    std::uint64_t countAt(int bin) const;

    Counts counts;
    std::uint64_t total = 0;
    absl::Duration totalTime = absl::ZeroDuration();
};

} // namespace Currantfall::Telemetry
