#include "currantfall/Telemetry/LatencyHistogram.h"

#include <algorithm>
#include <cmath>

namespace Currantfall::Telemetry {

namespace {

constexpr double firstEdgeMs = 0.05;
constexpr double lastEdgeMs = 600000.0;
// (600 s / 0.05 ms)^(1/330) = 1.0506.
constexpr int binCount = 330;
constexpr int binsPerThinnedBucket = 11;
constexpr double roundingError = 1e-12;

double edgeMs(int bin)
{
    const double part = static_cast<double>(bin) / binCount;
    return firstEdgeMs * std::pow(lastEdgeMs / firstEdgeMs, part);
}

} // namespace

LatencyHistogram::LatencyHistogram()
    : counts(std::tuple<Axis>(Axis(binCount, firstEdgeMs, lastEdgeMs)),
             boost::histogram::dense_storage<std::uint64_t>())
{ }

void LatencyHistogram::record(absl::Duration latency)
{
    // The logarithm of zero or less has no bin.
    this->counts(std::max(absl::ToDoubleMilliseconds(latency), firstEdgeMs / 2.0));
    ++this->total;
    this->totalTime += latency;
}

void LatencyHistogram::merge(const LatencyHistogram &other)
{
    this->counts += other.counts;
    this->total += other.total;
    this->totalTime += other.totalTime;
}

absl::Duration LatencyHistogram::quantile(double q) const
{
    if (this->total == 0) {
        return absl::ZeroDuration();
    }
    // A product such as 0.28 x 25 is slightly more than the whole number and would select the next
    // value.
    const double whole = static_cast<double>(this->total) * (1.0 - roundingError);
    const double rank = std::clamp(q, 0.0, 1.0) * whole;
    auto below = static_cast<double>(this->countAt(-1));
    if (below >= rank && below > 0.0) {
        return absl::Milliseconds(firstEdgeMs);
    }
    for (int bin = 0; bin < binCount; ++bin) {
        const auto inside = static_cast<double>(this->countAt(bin));
        if (inside > 0.0 && below + inside >= rank) {
            const double part = (rank - below) / inside;
            const double ratio = edgeMs(bin + 1) / edgeMs(bin);
            return absl::Milliseconds(edgeMs(bin) * std::pow(ratio, part));
        }
        below += inside;
    }
    return absl::Milliseconds(lastEdgeMs);
}

std::vector<LatencyHistogram::Bucket> LatencyHistogram::thinned() const
{
    std::vector<Bucket> result;
    result.reserve(binCount / binsPerThinnedBucket);
    std::uint64_t cumulative = this->countAt(-1);
    for (int bin = 0; bin < binCount; ++bin) {
        cumulative += this->countAt(bin);
        if ((bin + 1) % binsPerThinnedBucket == 0) {
            result.push_back({ absl::Milliseconds(edgeMs(bin + 1)), cumulative });
        }
    }
    return result;
}

std::uint64_t LatencyHistogram::countAt(int bin) const
{
    return this->counts.at(bin);
}

} // namespace Currantfall::Telemetry
